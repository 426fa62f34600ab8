Feature: The speed of each backend server is learned and used

  Guards against engines that idle or queue prompts because all are taken for equally
  fast, against slow application servers that are preferred because they are near, and
  against odd values that move a bound.

  Scenario Outline: a load of "<text>" is read
    Then the platform's load "<text>" has the slowness <slowness> and is <verdict>

    Examples:
      | text          | slowness | verdict |
      | 3,0,6,250     | 2.5      | valid   |
      | 3,0,6         | None     | valid   |
      | 3, 0, 6, 100  | 1.0      | valid   |
      | 3,0,6,nan     | None     | invalid |
      | 3,0,6,1e999   | None     | invalid |
      | 3,0,6,-50     | 0.1      | invalid |
      | 3,0,6,1e300   | 20.0     | invalid |
      | -3,0,6,100    | 1.0      | invalid |
      | 3,0,6,x       | None     | invalid |
      | 3,0           | None     | invalid |
      | 3,0,6,100,1   | None     | invalid |

  Scenario Outline: a router reports a slowness, <case>
    When answers state the slowness "<stated>" at "<times>" ms
    Then it is reported at "<reported>" ms

    Examples:
      | case                      | stated      | times         | reported  |
      | never                     | 1 1 1       | 0 300 600     |           |
      | as it changes             | 1 2.5 1     | 0 300 600     | 300 600   |
      | not for small changes     | 2.5 2.6 2.4 | 0 300 400     | 0         |
      | not too often             | 2.5 1 2 1   | 0 100 150 250 | 0 250     |
      | again before it expires   | 2.5 2.5 2.5 | 0 300 600     | 0 600     |

  Scenario Outline: a stated slowness of <stated> counts as <counted> after <age> ms
    Then a slowness of <stated> counts as <counted> after <age> ms

    Examples:
      | stated | age  | counted |
      | 2.5    | 0    | 2.5     |
      | 2.5    | 500  | 1.75    |
      | 2.5    | 1000 | 1.0     |
      | 2.5    | 9000 | 1.0     |
      | inf    | 0    | 20.0    |
      | nan    | 0    | 1.0     |
      | -1     | 0    | 0.1     |

  Scenario Outline: odd times of an engine keep its rate within bounds, <first_byte>
    Given engines of the speeds "1 1" with "64 64" slots
    When the engine e0 begins 50 answers after <first_byte> ms each
    Then all reading rates are from <lowest> to <highest>

    Examples:
      | first_byte | lowest | highest |
      | nan        | 40     | 40      |
      | -1         | 40     | 40      |
      | inf        | 40     | 40      |
      | 1e300      | 40     | 40      |
      | 0          | 40     | 2000    |
      | 599999     | 2      | 2000    |

  Scenario: each engine gets its own rate
    Given engines of the speeds "0.55 1.2 1.2 1.2" with "64 64 64 64" slots
    And the workspace flood that sends 3 times the capacity in prompts of 2000 tokens for 800 ms
    When they send for 4 s
    Then each reading rate is within 5 in 100 of that of its engine

  Scenario: engines of four kinds are kept busy while requests wait
    Half and twice the speed, 8 and 96 slots.

    Given engines of the speeds "0.5 0.5 2 2 0.5 0.5 2 2" with "8 8 8 8 96 96 96 96" slots
    And the workspace flood that sends 3 times the capacity in prompts of 2000 tokens for 800 ms
    When they send for 4 s
    Then the answers are above 0.9 of what is possible
    And at least 90 in 100 of the answers begin within 800 ms

  Scenario Outline: an application server is chosen, <case>
    Given the servers near and far with 6 slots, of which <near> and <far> are used
    And near stated the slowness <slowness> <age> ms ago
    And requests at near took <factor> times as long as at far
    Then a request of the data centre of near gets <server>

    Examples:
      | case                           | near | far | slowness | age  | factor | server |
      | equal                          | 0    | 0   | 1        | 0    | 1      | near   |
      | equal, the near one is busier  | 5    | 0   | 1        | 0    | 1      | near   |
      | equal, the near one is full    | 6    | 0   | 1        | 0    | 1      | far    |
      | it is slow now                 | 1    | 0   | 2.5      | 0    | 1      | far    |
      | a little slow, in use          | 5    | 0   | 1.3      | 0    | 1      | far    |
      | a little slow, the far in use  | 0    | 3   | 1.3      | 0    | 1      | near   |
      | it was slow                    | 1    | 0   | 2.5      | 1100 | 1      | near   |
      | it is always slow              | 1    | 0   | 1        | 0    | 3      | far    |
      | slower by chance               | 1    | 0   | 1        | 0    | 1.3    | near   |
      | slow, but the far is full      | 1    | 6   | 2.5      | 0    | 1      | near   |
      | no number                      | 1    | 0   | nan      | 0    | 1      | near   |

  Scenario: one report does not move all requests
    Given the servers near and far with 6 slots, of which 0 and 0 are used
    And near stated the slowness 1.4 0 ms ago
    When 6 requests of the data centre of near wait
    Then near and far get at least 1 each
