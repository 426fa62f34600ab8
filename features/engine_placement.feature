Feature: Prompts go to the model engine that starts them first

  Guards against engines that read shared parts of prompts again and again,
  long queues of prompts inside an engine, and cold engines that crash.

  Background:
    Given a scheduler with 3 model engines of 100000 tokens

  Scenario Outline: <case>
    Given the engine e1 has read the parts <kept>
    And the engine e1 has <unread> tokens to read
    When a request with the parts <parts> has waited <waited> ms
    Then it is granted <engine>

    Examples:
      | case                                    | kept        | unread | parts       | waited | engine |
      | the engine that keeps the prompt        | a:500 b:4000 | 0     | a:500 b:4000 | 0     | e1     |
      | a busier engine keeps most of it        | a:500 b:4000 | 1500  | a:500 b:4000 | 0     | e1     |
      | it keeps too little to wait for         | a:100        | 5000  | a:100 c:300  | 0     | not e1 |
      | a part counts only after those before it | b:4000      | 5000  | a:500 b:4000 | 0     | not e1 |
      | the keeper is full, the request waits   | a:500 b:4000 | 9000  | a:500 b:4000 | 0     | nowhere |
      | it has waited long enough               | a:500 b:4000 | 9000  | a:500 b:4000 | 300   | not e1 |

  Scenario Outline: engines fetch from each other: <case>
    Given a scheduler with 3 model engines and links of <link> Mbit/s
    And the engine e1 <state> the parts <kept>
    And the engine e1 has <unread> tokens to read
    When a request with the parts <parts> has waited 0 ms
    Then it is granted <engine>
    And it fetches from <source>

    Examples:
      | case                                | link     | state      | kept         | parts        | unread | engine  | source  |
      | the keeper is free                  | 1000000  | has read   | a:500 b:4000 | a:500 b:4000 | 0      | e1      | nowhere |
      | the keeper is full                  | 1000000  | has read   | a:500 b:4000 | a:500 b:4000 | 9000   | not e1  | e1      |
      | the keeper keeps the first part     | 1000000  | has read   | a:500        | a:500 b:4000 | 9000   | not e1  | e1      |
      | too little to fetch                 | 1000000  | has read   | a:50         | a:50 b:4000  | 9000   | not e1  | nowhere |
      | the keeper is still reading         | 1000000  | is reading | a:500 b:4000 | a:500 b:4000 | 9000   | nowhere | nowhere |
      | fetching is slower than reading     | 10000    | has read   | a:500 b:4000 | a:500 b:4000 | 9000   | nowhere | nowhere |
      | the keeper leaves                   | 1000000  | has read   | a:500 b:4000 | a:500 b:4000 | leaves | not e1  | nowhere |

  Scenario: a prompt that was not read is not kept
    Given the engine e1 is reading the parts a:500 b:4000
    When its request is cancelled
    And a request with the parts a:500 b:4000 has waited 0 ms
    Then its engine has 4500 tokens to read

  Scenario Outline: an engine reads on while nothing is reported, <case>
    Guards against engines that wait for work, and against a hung engine that
    gets ever more because it should have read what it has.

    Given every engine reads a prompt of <first> tokens
    And another prompt of <next> tokens follows there
    When a request with the parts x:500 has waited <waited> ms
    Then it is granted <engine>

    Examples:
      | case                            | first | next  | waited | engine       |
      | it has just begun               | 12000 | 0     | 0      | nowhere      |
      | it has read most of it          | 12000 | 0     | 270    | e1, e2 or e3 |
      | another long prompt follows     | 12000 | 12000 | 270    | nowhere      |
      | it should have read both by far | 12000 | 12000 | 1500   | nowhere      |

  Scenario: engines whose queues are full get nothing
    Given every engine has 9000 tokens to read
    When a request with the parts x:500 has waited 900 ms
    Then it is granted nowhere
    When all answers begin
    Then it is granted e1, e2 or e3

  Scenario Outline: no engine has room, a request has waited <waited> ms of <target>
    Guards against requests that more urgent ones pass until their callers leave.

    Given every engine has 9000 tokens to read
    When a request with the parts x:500 has waited <waited> ms
    Then it is granted nowhere
    And it is <ending>

    Examples:
      | waited | target | ending                           |
      | 1500   | 800    | kept waiting                     |
      | 1700   | 800    | refused with a time to come back |

  Scenario: a request waits until its memory is free
    Given every engine runs a request of 60000 tokens
    When a request with the parts x:50000 has waited 900 ms
    Then it is granted nowhere
    When all answers end
    Then it is granted e1, e2 or e3

  Scenario Outline: a cold engine gets <rate> requests a second, <case>
    Given only the engine e1, cold for 3000 ms at <rate> requests a second
    When 200 requests wait for <seconds> s
    Then no second has more than <most> grants and <least> or more are granted

    Examples:
      | case      | rate | seconds | most | least |
      | slow      | 5    | 2       | 8    | 9     |
      | as usual  | 14   | 2       | 17   | 25    |

  Scenario Outline: engines of a restored data centre count as cold until <case>
    Engines may have become cold while their data centre was drained, and tell so
    in their next announcement only.

    Given only the engine e1, which bears 14 requests a second while it is cold
    And its data centre was drained and is restored
    And it announces itself as <state> after <after> ms
    When 60 requests wait for 1 s
    Then no second has more than <most> grants and <least> or more are granted

    Examples:
      | case                         | state | after | most | least |
      | they announce themselves     | cold  | 600   | 16   | 12    |
      | they say that they are warm  | warm  | 600   | 60   | 40    |
      | more than a late one is seen | warm  | 50    | 16   | 12    |

  Scenario: requests that no engine takes cost the leader little
    With a function call for each pair of request and engine, the leader of the
    grown deployments had no processor time left while requests waited.

    Given a scheduler with 60 model engines of which one has room
    When 40 requests wait for engines that are full
    Then the tick made fewer function calls than there are pairs of them

  Scenario: random requests get the engine of the lowest rank
    Guards against shortcuts in the search that change what it finds.

    Given 8 model engines in two data centres with random prompts and queues
    When 400 requests with random prompts look for an engine
    Then each found the engine that a search over all of them finds
