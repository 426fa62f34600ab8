Feature: A group of controllers keeps one leader and what it accepted

  Scenario: one of three controllers leads and the others name it
    Given a group of 3 controllers
    Then exactly one controller answers operators as leader
    And the other controllers answer 421 with the leader's address
    And every controller is ready

  Scenario Outline: an accepted environment survives <fault>
    An environment lost or reverted after its acceptance would break I11.

    Given a group of 3 controllers
    And environment "first" was applied at the number 0
    When the controller group meets <fault>
    Then the controllers hold environment "first" with number 1
    And environment "second" can be applied at the number 1

    Examples:
      | fault                                |
      | kill -9 of the leader                |
      | kill -9 and restart of all           |
      | orderly stop and restart of all      |
      | freeze of the leader for 2 s         |

  Scenario: the next leader names routers that were lost before its election
    An operator could not see that a lost router lags behind the environment in
    force, as only the leader that had lost it would know.

    Given a group of 3 controllers
    And environment "first" was applied at the number 0
    And fake routers "r-lost r-late r-left" that the leader has noted
    When the fake router "r-lost" is lost and "r-left" shuts down
    And the controller group meets kill -9 of the leader
    Then environment "second" can be applied at the number 1
    And the status names "r-lost r-late" as lagging at number 1 and not "r-left"

  Scenario: an orderly stop of a controller exits with code 0
    Given a group of 3 controllers
    When the leading controller is stopped by SIGTERM
    Then that controller's process has ended with code 0
    And its log names its start and each step of its stop
    And another controller leads
