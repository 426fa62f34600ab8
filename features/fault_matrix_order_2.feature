@fixture.order_fleet @matrix
Feature: Orders to model engines bear every fault (acknowledged and read back)

  A fault on the way of an order must not lead to two outstanding orders at an
  engine that ignores fencing numbers, to an old order that is carried out, or
  to an engine that gets no orders any more.

  Scenario Outline: order to an engine | <step> | <fault>
    When the fault "<fault>" strikes a matrix order at step <step>
    Then no matrix engine got a second outstanding or an old order
    And the matrix order got to the step <step> under <fault>
    And both matrix engines run the version that is wanted now

    Examples:
      | step         | fault                   |
      | acknowledged | none                    |
      | acknowledged | leader killed           |
      | acknowledged | leader cut both ways    |
      | acknowledged | leader frozen           |
      | acknowledged | all controllers restart |
      | acknowledged | server killed           |
      | acknowledged | server restarts         |
      | acknowledged | answer lost             |
      | read back    | none                    |
      | read back    | leader killed           |
      | read back    | leader cut both ways    |
      | read back    | leader frozen           |
      | read back    | all controllers restart |
      | read back    | server killed           |
      | read back    | server restarts         |
      | read back    | answer lost             |
