Feature: What one connection may cost is decided from what it has cost

  Scenario Outline: a body of <parts> chunks and <size> bytes beside <waiting> others
  A body in tiny chunks must yield, an ordinary one must not, and one caller
  alone must not be refused.
    Then the budget of a body of <parts> chunks with <size> bytes beside <waiting> costly connections says <verdict>

    Examples:
      | parts  | size    | waiting | verdict  |
      | 0      | 0       | 0       | continue |
      | 512    | 512     | 100     | continue |
      | 513    | 513     | 0       | yield    |
      | 513    | 8207    | 0       | yield    |
      | 513    | 8208    | 100     | continue |
      | 400000 | 400000  | 0       | yield    |
      | 400000 | 400000  | 8       | yield    |
      | 4096   | 4096    | 9       | yield    |
      | 4097   | 4097    | 9       | refuse   |
      | 4097   | 1048576 | 100     | continue |

  Scenario Outline: <count> requests that wait on a connection with a limit of <limit>
  Requests sent ahead of an answer must yield, and only too many are refused.
    Then the budget of <count> waiting requests with a limit of <limit> says <verdict>

    Examples:
      | count | limit | verdict  |
      | 0     | 1     | continue |
      | 1     | 1     | yield    |
      | 2     | 1     | refuse   |
      | 256   | 256   | yield    |
      | 257   | 256   | refuse   |

  Scenario: unread answers are looked at less and less often
  A constant short wait would cost as much as the answers with many callers.
    Then the waits for unread answers are 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1, 1 seconds

  Scenario Outline: costly work of <owners> owners leaves the loop to others
  Costly work that took the whole loop would make a router saturated.
    Given <owners> owners of costly steps of 2 milliseconds on an event loop
    When the loop runs for 0.4 seconds
    Then the loop did costly work for at most half of the time and for each owner in turn

    Examples:
      | owners |
      | 1      |
      | 5      |

  Scenario: a request sent ahead waits while earlier answers are unread
  Answers that nobody reads would fill the memory of a router.
    Given a connection whose caller reads nothing
    When 3 requests are sent ahead on it and 10 seconds pass
    Then 1 of them is answered and the connection is not read
    And 3 of them are answered in order once the caller reads
