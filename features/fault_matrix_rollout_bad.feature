@fixture.fleet @matrix
Feature: A bad version is taken back under a fault

  A fault must not hide a bad version, leave traffic on it, or lose the outcome.


  Scenario Outline: rollout of a bad version | <phase> | <fault>
    When the fault "<fault>" strikes a matrix rollout of a bad version in the <phase>
    Then the matrix rollout is taken back by its deadline
    And no matrix request goes to the bad version after 10 s
    And the matrix controllers show that outcome after a restart

    Examples:
      | phase | fault                   |
      | trial | leader killed           |
      | trial | all controllers restart |
      | ramp  | leader killed           |
      | ramp  | leader cut both ways    |
      | watch | leader killed           |
      | trial | leader frozen           |
      | watch | all controllers restart |
