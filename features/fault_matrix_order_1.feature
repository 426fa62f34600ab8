@fixture.order_fleet @matrix
Feature: Orders to model engines bear every fault (decided, recorded and sent)

  A fault on the way of an order must not lead to two outstanding orders at an
  engine that ignores fencing numbers, to an old order that is carried out, or
  to an engine that gets no orders any more.

  Scenario Outline: order to an engine | <step> | <fault>
    When the fault "<fault>" strikes a matrix order at step <step>
    Then no matrix engine got a second outstanding or an old order
    And the matrix order got to the step <step> under <fault>
    And both matrix engines run the version that is wanted now

    Examples:
      | step     | fault                   |
      | decided  | none                    |
      | decided  | leader killed           |
      | decided  | leader cut both ways    |
      | decided  | leader frozen           |
      | decided  | all controllers restart |
      | decided  | server killed           |
      | decided  | server restarts         |
      | decided  | answer lost             |
      | recorded | none                    |
      | recorded | leader killed           |
      | recorded | leader cut both ways    |
      | recorded | leader frozen           |
      | recorded | all controllers restart |
      | recorded | server killed           |
      | recorded | server restarts         |
      | recorded | answer lost             |
      | sent     | none                    |
      | sent     | leader killed           |
      | sent     | leader cut both ways    |
      | sent     | leader frozen           |
      | sent     | all controllers restart |
      | sent     | server killed           |
      | sent     | server restarts         |
      | sent     | answer lost             |
