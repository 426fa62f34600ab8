@fixture.fleet @matrix
Feature: Racing operators and lost answers keep one outcome under a fault

  Two operators with the same expected number must not both win, and a resend
  after a lost answer must not apply the change a second time.

  Scenario Outline: configuration | racing operators | <fault>
    When the fault "<fault>" strikes a matrix race of two operators
    Then the matrix race has one winner that the loser's answer names
    And no matrix process has shown a lower number than before

    Examples:
      | fault                |
      | none                 |
      | links reset          |
      | leader killed        |
      | leader cut both ways |
      | leader cut for 8 s   |
      | leader frozen        |
      | follower killed      |

  Scenario Outline: configuration | lost answer | <fault>
    When the fault "<fault>" strikes a matrix change with a lost answer
    Then the matrix change is kept and the number grew by one
    And no matrix process has shown a lower number than before

    Examples:
      | fault                |
      | none                 |
      | links reset          |
      | leader killed        |
      | leader cut both ways |
      | leader cut for 8 s   |
      | leader frozen        |
      | follower killed      |
