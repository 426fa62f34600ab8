Feature: A group of controllers under partition, damage and crashing requests

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

  Scenario: a digest that crashes servers is refused and pushed to routers
    Given a group of 3 controllers
    And environment "first" was applied at the number 0
    And a fake router "r1" at the leading controller with a backend server
    When the fake router "r1" reports that digest "boom" crashed the server until it is refused
    Then the status lists the refused digest "boom"
    And the fake router "r1" is told to refuse digest "boom"

  Scenario: a new leader counts on from the crashes that the former one counted
    Guards against a request that crashes servers and gets as many attempts from
    each new leader.

    Given a group of 3 controllers
    And environment "first" was applied at the number 0
    And a fake router "r1" at the leading controller with a backend server
    When the fake router "r1" reports one crash of the server under digest "boom"
    And the leading controller is killed and "r1" connects to the next one
    And the fake router "r1" reports one crash of the server under digest "boom"
    Then the digest "boom" is refused within 2 s
