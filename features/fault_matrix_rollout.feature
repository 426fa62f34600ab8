@fixture.fleet @matrix
Feature: A good version is moved in time under a fault

  A fault must not take a good version back, leave the rollout open after its
  deadline, or lose the outcome.


  Scenario Outline: rollout of a good version | <phase> | <fault>
    When the fault "<fault>" strikes a matrix rollout of a good version in the <phase>
    Then the matrix rollout is done by its deadline
    And the matrix controllers show that outcome after a restart

    Examples:
      | phase | fault                   |
      | trial | leader killed           |
      | ramp  | leader cut both ways    |
      | ramp  | all controllers restart |
      | watch | leader killed           |
      | watch | leader frozen           |
