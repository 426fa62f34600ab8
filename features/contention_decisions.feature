Feature: Workspaces that want more than a service can do share it

  Guards against floods that cause refusals for others, against callers that
  come back into the same full queue, and against work that is granted although
  it ends late beside work that is refused.

  Scenario Outline: max-min shares, <case>
    Guards against a share that a small workspace cannot use and a large one does
    not get.

    Given a service that does <rate> a millisecond and the demands "<demands>"
    Then the level is <level> and "<over>" are over their share
    And the queue of a is served at <served>

    Examples:
      | case                    | rate | demands           | level | over | served |
      | all fit                 | 100  | a=10 b=20         | inf   |      | 80     |
      | one is over             | 100  | a=10 b=400        | 90    | b    | 50     |
      | two are over            | 100  | a=10 b=400 c=80   | 45    | b c  | 33.33  |
      | weights count           | 120  | a=10:1 b=400:3    | 36.67 | b    | 30     |
      | not a number, negative  | 100  | a=nan b=-5 c=inf  | inf   |      | 100    |
      | nothing can be done     | 0    | a=10 b=20         | 0     | a b  | 0      |

  Scenario Outline: delays of refused callers, <case>
    Guards against callers that come back together or into the same queue, and
    against delays that callers do not honour.

    When <count> callers with <left> ms left are refused, each with work of 100 at <rate> a millisecond
    Then they are told from <first> to <last> ms
    And at most <bunch> of them come back within 50 ms

    Examples:
      | case                    | count | left  | rate | first | last | bunch |
      | a queue that drains     | 20    | 15000 | 1    | 300   | 1250 | 1     |
      | the share is a tenth    | 9     | 15000 | 0.1  | 300   | 4300 | 1     |
      | more than can come back | 60    | 3000  | 0.1  | 300   | 997  | 14    |
      | almost no time left     | 3     | 30    | 1    | 300   | 300  | 3     |
      | no deadline             | 200   | 0     | 0.1  | 300   | 9987 | 6     |

  Scenario Outline: a caller that comes back <case>
    Guards against room that others take, and against priority for callers that
    do not wait.

    When a caller that was told 1000 ms sends the <what> request again after <after> ms
    Then it is <seen>, and room is kept for <room> more

    Examples:
      | case          | what  | after | seen                      | room |
      | as told       | same  | 1000  | recognised                | 0    |
      | a bit early   | same  | 850   | recognised                | 0    |
      | at once       | same  | 300   | a newcomer                | 50   |
      | much later    | same  | 2300  | a newcomer                | 0    |
      | with another  | other | 1000  | a newcomer                | 50   |

  Scenario: the table of returning callers is bounded and cleared
    When 9000 callers are refused and do not come back
    Then at most 4096 returns are remembered, and none of them 20 s later

  Scenario Outline: the reserve of forecasts after errors of <error> of the target
    Guards against a reserve that one engine's fault or a wrong time moves beyond
    its bounds.

    When 1000 answers come <error> of their target later than expected
    Then the reserve is <reserve> of the target
    And a request that has waited <passed> ms of 1000 has <slack> ms left

    Examples:
      | error | reserve | passed | slack |
      | -0.5  | 0.05    | 200    | 750   |
      | 5     | 0.4     | 200    | 400   |
      | nan   | 0.15    | 200    | 650   |
      | inf   | 0.15    | -100   | 850   |
      | 1e300 | 0.4     | 1e300  | -400  |

  Scenario Outline: large requests of a kind, <case>
    Guards against large requests that are refused first of all.

    Given a kind of which <kind> in 100 and of its largest tenth <large> in 100 are refused
    Then the next large request <kept> kept

    Examples:
      | case                   | kind | large | kept   |
      | refused as often       | 30   | 30    | is not |
      | refused more often     | 10   | 30    | is     |
      | served half as often   | 60   | 75    | is not |
      | served too rarely      | 60   | 95    | is     |

  Scenario Outline: callers that come back once, <case>
    Plays requests of five sizes at engines of two speeds; from the 1st to the
    6th s the loud workspaces send ten times their usual load.

    When <workspaces> workspaces, <loud> of them loud, send for 10 s and the leader changes after <change> ms
    Then at most <refused> in 100 of the others are refused
    And at most 15 in 100 of the answers are late
    And at least <back> in 100 of those refused are served later
    And every size is served at least half as often as all
    And the engines read for at least 90 in 100 of the burst

    Examples:
      | case                 | workspaces | loud | change | refused | back |
      | four of ten are loud | 10         | 4    | 0      | 0       | 45   |
      | fourteen of thirty   | 30         | 14   | 0      | 0       | 40   |
      | the leader changes   | 30         | 14   | 3000   | 1       | 35   |

  Scenario: the time in the router's queue is reported
    Guards against a forecast that ignores what the request has waited already.

    When a request that arrived 40 ms ago waits 25 ms
    Then its report says that 65 ms have passed
