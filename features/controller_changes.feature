Feature: Operators race each other and resend after lost answers

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
