@alone
Feature: A randomised soak of the real programs

  Scenario: a seed gives the same plan again
    Guards against a failed seed that cannot be played again.

    Then the plans of seeds 1 to 20 are the same when drawn again
    And the plans of different seeds differ
    And no two faults of controllers overlap in any of them

  Scenario Outline: a broken promise is found: <case>
    Guards against a soak that cannot fail.

    Given the deposit "k" that was answered "<answers>" and ran <runs> times
    Then the check of runs finds "<found>"

    Examples:
      | case                    | answers                      | runs | found                         |
      | confirmed and ran       | 200                          | 1    |                               |
      | lost answer             | broken 200                   | 1    |                               |
      | never heard of again    | broken                       | 0    |                               |
      | refused                 | 503:not_run                  | 0    |                               |
      | ran twice               | broken 200                   | 2    | k ran 2 times                 |
      | confirmed, did not run  | 200                          | 0    | k was confirmed and did not run |
      | a false refusal         | 503:may_have_run 503:not_run | 1    | k was refused as not run and ran |

  Scenario Outline: a request that is cut at a planned stop is found: <case>
    Given a router that is stopped at 5 s and <other>
    And a request from 4.9 s to 5.4 s that <end>
    Then the check of planned stops finds <count> cut requests

    Examples:
      | case                    | other                         | end            | count |
      | cut                     | no other fault                | was cut        | 1     |
      | answered                | no other fault                | was answered   | 0     |
      | cut by something else   | a server that fails at 4 s    | was cut        | 0     |
      | after another fault     | a server that fails at 0.1 s  | was cut        | 1     |

  Scenario Outline: a request that keeps crashing servers is found: <case>
    Given crashes under one request at "<times>" s
    Then the check of crashes finds <count> broken promises

    Examples:
      | case                     | times                       | count |
      | none                     |                             | 0     |
      | refused after two        | 1 2                         | 0     |
      | many at once             | 1 1.1 1.2 1.3 1.4 1.5 4.1   | 0     |
      | again at a new leader    | 1 2 3 7 9 11                | 0     |
      | for ever                 | 1 2 3 7 9 11 13             | 1     |

  Scenario Outline: a server that is not left alone is found: <case>
    Given a server that left from 2 s to 6 s and served <late> requests late, beside <other>
    And a server that asked for pauses for 4 s and turned <away> requests away
    Then the checks of notices find <count> broken promises

    Examples:
      | case                 | late | other            | away | count |
      | both respected       | 0    | no other fault   | 20   | 0     |
      | requests come later  | 1    | no other fault   | 20   | 1     |
      | a router restarted   | 1    | a router restart | 20   | 0     |
      | asked without end    | 0    | no other fault   | 500  | 1     |

  Scenario Outline: an environment that is taken back is found: <case>
    Given the numbers "<decreases>" shown, <acknowledged> accepted and <final> at the end
    Then the check of numbers finds <count> broken promises

    Examples:
      | case               | decreases | acknowledged | final | count |
      | kept               |           | 7            | 7     | 0     |
      | lost at the end    |           | 7            | 6     | 1     |
      | shown lower        | r1:7:6    | 7            | 7     | 1     |

  Scenario: a soak that is stopped ends the processes that it started
    Guards against fleets that stay behind and load the machine.

    When a soak of 60 seconds is stopped by SIGTERM once its fleet runs
    Then none of its processes is left

  Scenario Outline: a short run with the seed <seed> keeps all promises
    Guards the promises of the brief under faults that overlap.

    When the soak plays seed <seed> for 8 seconds
    Then it has kept all promises and served requests

    Examples:
      | seed |
      | 1    |
      | 3    |
