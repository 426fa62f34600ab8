Feature: A lost controller is replaced

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
