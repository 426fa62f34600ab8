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

  Scenario: an orderly stop of a controller exits with code 0
    Given a group of 3 controllers
    When the leading controller is stopped by SIGTERM
    Then that controller's process has ended with code 0
    And another controller leads

  Scenario: of operators racing with one expected number exactly one wins
    Given a group of 3 controllers
    When 5 operators apply documents at the number 0 at the same time
    Then exactly one operator was accepted with number 1
    And the other operators were answered 409 with the winner

  Scenario Outline: a resend with the same operation id gets the first outcome
    The operator's program lost the answer. A resend that applied the change
    again, or reported a conflict with itself, would mislead the operator.

    Given a group of 3 controllers
    When an operator applies a document and the answer is lost
    And the controller group meets <fault>
    And the operator sends the same operation again
    Then the resend was accepted with number 1
    And the controllers hold environment "lost" with number 1

    Examples:
      | fault                 |
      | no fault              |
      | kill -9 of the leader |
