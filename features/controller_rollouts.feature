Feature: The leading controller moves rollouts

  Scenario Outline: a rollout to a <kind> version becomes <phase>
    The leader must feed its samples to the judges and commit their moves. The
    deadline of 12 s alone would take a faulty version back too late.

    Given a group of 3 controllers
    And environment "first" was applied at the number 0
    When an operator starts a rollout of "desk" to version "v2"
    And a fake router runs requests on version "v1" and a <kind> version "v2"
    Then the rollout becomes <phase> within <limit_s> s and its share is <share>
    And the leader's log holds the decision that the rollout becomes <phase>

    Examples:
      | kind   | phase      | share | limit_s |
      | good   | done       | 1.0   | 13      |
      | faulty | taken_back | 0.0   | 6       |

  Scenario: the time of a rollout goes on at the next leader
    A rollout whose time started again with each leader could miss its
    deadline for ever.

    Given a group of 3 controllers
    And environment "first" was applied at the number 0
    When an operator starts a rollout of "desk" to version "v2"
    And 2.5 s later the controller group meets kill -9 of the leader
    Then the rollout has run for at least 1 s and at most 4 s at the new leader

  Scenario: the time without a leader counts for a rollout
    A rollout could end long after its deadline otherwise.

    Given a group of 3 controllers
    And environment "first" was applied at the number 0
    When an operator starts a rollout of "desk" to version "v2"
    And 1.5 s later the controller group meets 4 s without a majority
    And 2.0 s pass
    Then the rollout has run for at least 6 s and at most 11 s at the new leader

  Scenario: the time before a rollout does not count for it
    A rollout that starts after an idle time could be taken back at once.

    Given a group of 3 controllers
    And environment "first" was applied at the number 0
    When 4.0 s pass
    And an operator starts a rollout of "desk" to version "v2"
    And 2.0 s pass
    Then the rollout has run for at least 1 s and at most 3 s at the new leader
