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

  Scenario: a leader that is cut off grants nothing and sends routers away
    A cut-off leader that went on granting would exceed the slots that its
    successor also grants.

    Given a group of 3 controllers that can be cut off
    And environment "first" was applied at the number 0
    And a fake router "r1" at the leading controller with a backend server
    When the leading controller is cut off from the others for 3 s
    And the fake router "r1" asks for a grant 1 s after the cut
    Then the fake router "r1" got no grant and was sent away
    And another controller leads
    And a fake router "r2" at the leading controller gets a grant

  Scenario: a controller whose storage is damaged takes no part
    A replica that forgot its promises could vote twice in one term.

    Given a group of 3 controllers
    And environment "first" was applied at the number 0
    When a follower restarts with a damaged log
    Then that controller answers 503 at /readyz and says that its storage is damaged
    And environment "second" can be applied at the number 1

  Scenario: a repair survives the loss of a second controller right after it
    Given a group of 3 controllers
    And environment "first" was applied at the number 0
    When a follower is lost with its disk
    And an operator repairs it with a new controller "c4"
    And the other old follower is killed
    Then environment "second" can be applied at the number 1 or later
    And the status shows the new controller "c4" as a voter and not the lost one
