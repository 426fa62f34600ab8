Feature: A group of controllers under partition, damage and disk loss

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

  Scenario: a new controller catches up by a snapshot larger than one frame
    Frames are bounded, and the stored answers of one day are not that small.

    Given a group of 3 controllers
    And environment "first" was applied at the number 0
    And fake routers "k1" and "k2" at the leader
    When "k1" stores 100 answers of 60000 bytes and claims 2000 further keys
    And a follower is lost with its disk
    And an operator repairs it with a new controller "c4"
    Then the new controller was sent a snapshot in parts
    When the controller group meets kill -9 of the leader
    And fake routers "k3" and "k4" connect to the new leader
    Then "k3" finds the 100 stored answers

  Scenario: a digest that crashes servers is refused and pushed to routers
    Given a group of 3 controllers
    And environment "first" was applied at the number 0
    And a fake router "r1" at the leading controller with a backend server
    When the fake router "r1" reports that digest "boom" crashed the server until it is refused
    Then the status lists the refused digest "boom"
    And the fake router "r1" is told to refuse digest "boom"
