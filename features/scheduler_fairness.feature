Feature: The scheduler shares slots fairly between workspaces

  The bound is the one of section 7 of the design, over every interval in which
  both workspaces are backlogged. The steady workspace is backlogged all the
  time; the other one tries to get more than its share.

  Scenario Outline: the gap in service stays bounded under <fault>
    Given a simulated scheduler with 4 servers of 4 slots and seed <seed>
    And the simulated workspace "steady" with weight <w1>, cost <c1> ms and hint factor <h1>
    And the simulated workspace "greedy" with weight <w2>, cost <c2> ms and hint factor <h2>
    When the simulation runs 40 s with the fault "<fault>"
    Then the service gap between "steady" and "greedy" is within the bound
    And the simulation left no slot idle while a queued request could run
    And no simulated request of "steady" waited longer than 20 s

    Examples:
      | fault            | seed | w1 | c1      | h1  | w2 | c2      | h2  |
      | none             | 1    | 1  | 100-100 | 0   | 1  | 100-100 | 0   |
      | none             | 2    | 1  | 50-150  | 0   | 3  | 100-400 | 0   |
      | none             | 3    | 4  | 20-40   | 0   | 1  | 200-800 | 0   |
      | none             | 4    | 1  | 100-100 | 10  | 1  | 100-100 | 0.1 |
      | none             | 5    | 1  | 50-300  | 0.1 | 1  | 50-300  | 10  |
      | one router       | 6    | 1  | 100-200 | 0   | 1  | 100-200 | 0   |
      | all routers      | 7    | 1  | 100-200 | 0   | 1  | 100-200 | 0   |
      | router restarts  | 8    | 1  | 100-200 | 0   | 1  | 100-200 | 0   |
      | router restarts  | 9    | 2  | 50-100  | 1   | 1  | 100-400 | 10  |
      | leader changes   | 10   | 1  | 100-200 | 0   | 1  | 100-200 | 0   |
      | leader changes   | 11   | 1  | 50-100  | 0.1 | 2  | 100-400 | 10  |
      | delayed reports  | 12   | 1  | 100-200 | 0   | 1  | 100-200 | 0   |

  Scenario Outline: a workspace that returns gets no credit and no debt
    Guards against a workspace that is starved, or starves others, because of
    what happened while only one of them had queued requests.

    Given a simulated scheduler with 2 servers of 4 slots and seed <seed>
    And the simulated workspace "first" with weight 1, cost 100-200 ms and hint factor 0
    And the simulated workspace "second" with weight 1, cost 100-200 ms and hint factor 0
    When only "<early>" has queued requests for 60 s and then both have for 20 s
    Then the service gap between "first" and "second" is within the bound

    Examples:
      | early  | seed |
      | first  | 1    |
      | second | 2    |

  Scenario Outline: counters keep their precision after a long run
    Given a simulated scheduler with 2 servers of 4 slots and seed 3
    And the simulated workspace "first" with weight 1, cost 20-60 ms and hint factor 0
    And the simulated workspace "second" with weight 1, cost 20-60 ms and hint factor 0
    When the simulated leader starts with all counters at <value>
    And the simulation runs 10 s with the fault "none"
    Then the service gap between "first" and "second" is within the bound
    And every scheduler counter is below 2e12

    Examples:
      | value |
      | 1e9   |
      | 2e12  |
      | 1e18  |

  Scenario: an idle workspace has no credit after a leader change
    Guards against a new leader that does not know the virtual time and gives all
    slots to a workspace that was idle for long.

    Given a simulated scheduler with 2 servers of 4 slots and seed 4
    And the simulated workspace "first" with weight 1, cost 100-200 ms and hint factor 0
    And the simulated workspace "second" with weight 1, cost 100-200 ms and hint factor 0
    When only "first" has queued requests for 60 s, then the leader changes and both have for 20 s
    Then the service gap between "first" and "second" is within the bound

  Scenario: requests of one workspace are served in order of arrival across routers
    Guards against a router whose requests wait while later ones of another
    router are served.

    Given a simulated scheduler with 1 servers of 1 slots and seed 5
    And the simulated workspace "only" with weight 1, cost 20-20 ms and hint factor 0
    When the simulation runs 10 s with the fault "none"
    Then the grants of each simulated router differ by at most 40

  Scenario Outline: a slot is given to the next workspace if the first cannot use it
    Guards against slots that stay idle because the workspace with the lowest
    counter has to avoid the free server or waits for another version.

    Given a simulated scheduler with 2 servers of 2 slots and seed 6
    And the simulated workspace "picky" with weight 1000, cost 100-100 ms and hint factor 0
    And the simulated workspace "plain" with weight 1, cost 100-100 ms and hint factor 0
    And the simulated workspace "picky" avoids the server "<avoided>"
    When the simulation runs 10 s with the fault "none"
    Then the simulation left no slot idle while a queued request could run
    And the simulated server "<avoided>" ran at least 90 percent of the time

    Examples:
      | avoided |
      | b0      |
      | b1      |

  Scenario Outline: a service without servers is refused after some seconds
    Given a simulated scheduler with 0 servers of 1 slots and seed 7
    And the simulated workspace "only" with weight 1, cost 20-20 ms and hint factor 0
    When the simulation runs <seconds> s from its start
    Then the simulation has <refused> no_backend_server refusals

    Examples:
      | seconds | refused |
      | 2       | no      |
      | 5       | some    |

  Scenario Outline: a reservation follows the real cost and a hint only within bounds
    Guards against hints that move charges without limit.

    Given a fairness account with mean cost <mean> and largest cost <largest>
    Then a hint of <hint> leads to a reservation of <reservation>

    Examples:
      | mean | largest | hint | reservation |
      | 100  | 400     | 0    | 100         |
      | 100  | 400     | 150  | 150         |
      | 100  | 400     | 1    | 10          |
      | 100  | 400     | 300  | 300         |
      | 100  | 5000    | 1e9  | 1000        |
      | 100  | 400     | 1e9  | 400         |
      | 0    | 0       | 1e9  | 1           |

  Scenario Outline: a request whose end is not reported costs its mean, not its hint
    Guards against callers that lower their charge by a wrong hint whenever a
    router dies, and against charging the seconds until the loss is proven.

    Given a fairness account with mean cost <mean> and largest cost 400
    Then a lost request with reservation <reserved>, progress <progress> and <held> ms on a slot costs <cost> by "<meter>"

    Examples:
      | mean | reserved | progress | held | cost | meter   |
      | 100  | 10       | 0        | 9000 | 100  | slot_ms |
      | 100  | 400      | 0        | 9000 | 100  | slot_ms |
      | 100  | 10       | 250      | 9000 | 250  | slot_ms |
      | 100  | 10       | 0        | 60   | 60   | slot_ms |
      | 100  | 10       | 0        | 60   | 100  | tokens  |
      | 100  | 10       | 250      | 60   | 250  | tokens  |
