Feature: The leading controller serves routers

  Scenario: a follower sends a router to the leader and ends the connection
    Given a shared group of 3 controllers
    When a fake router "r-lost" connects to a follower
    Then the fake router "r-lost" is told who leads and its connection ends

  Scenario: a router that connects during an election waits for its outcome
    Guards against routers that try one controller after the other with a
    growing back-off during an election, and reach the leader late.

    Given a group of 3 controllers
    When the group restarts and a fake router connects to each controller at once
    Then each fake router is served, told who leads, or sent away after 400 ms

  Scenario: every report is answered with its own time
    A router measures the age of grants from the echoed time.

    Given a shared group of 3 controllers
    When a fake router "r-echo" sends 5 reports 100 ms apart
    Then each report of "r-echo" was answered with its own time

  Scenario: grants follow a report at once
    Given a shared group of 3 controllers
    And the environment "routers" is in force
    When a fake router "r-grant" reports a server and 20 requests one by one
    Then each request of "r-grant" got a grant, half of them within 20 ms

  Scenario Outline: <event> ends the session of a router
    Guards against a lost router that keeps its grants and its node id in use.

    Given a shared group of 3 controllers
    And a fake router "r-gone" that the status shows
    When the fake router "r-gone" <event>
    Then the status shows no router "r-gone" within <limit_s> s

    Examples:
      | event                          | limit_s |
      | falls silent                   | 3       |
      | closes its connection          | 1       |

  Scenario: a new incarnation of a router replaces the old one
    Given a shared group of 3 controllers
    And a fake router "r-twice" that the status shows
    When a new incarnation of the fake router "r-twice" connects
    Then the old connection of "r-twice" ends and the status shows it once

  Scenario: an environment reaches every router within seconds
    Given a shared group of 3 controllers
    And 5 fake routers of which "p4" does not take environments
    When an operator applies environment "pushed"
    Then 4 fake routers have environment "pushed" within 2 s
    And the fake router "p4" is sent environment "pushed" again after about 1 s
    And the status names only "p4" as lagging

  Scenario: a router with the environment in force is not sent it again
    Guards against needless control traffic, as each push carries the whole
    document.

    Given a shared group of 3 controllers
    And the environment "routers" is in force
    When a fake router "r-same" connects with the number in force
    Then the fake router "r-same" gets no environment within 0.6 s

  Scenario Outline: the number rises and routers learn of <change>
    Given a shared group of 3 controllers
    And the environment "routers" is in force
    And a fake router "r-<state>" at the leader
    When an operator sets data centre "b" to <state>
    Then the fake router "r-<state>" is told drained data centres "<drained>"

    Examples:
      | change    | state      | drained |
      | a drain   | drained    | b       |
      | a restore | in_service |         |

  Scenario Outline: a malformed frame of <kind> is refused and counted
    Given a shared group of 3 controllers
    And a fake router "r-bad" at the leader
    When the fake router "r-bad" sends a frame of <kind>
    Then the leader counts one more malformed frame
    And the reports of "r-bad" are still answered

    Examples:
      | kind                  |
      | no CBOR               |
      | an unknown tag        |
      | an unknown field      |
      | a field of wrong type |
      | broken compression    |
      | 64 MiB when expanded  |

  Scenario: a message that a router may not send is refused and counted
    Given a shared group of 3 controllers
    And a fake router "r-odd" at the leader
    When the fake router "r-odd" sends a vote request
    Then the leader counts one more unexpected message
    And the reports of "r-odd" are still answered

  Scenario: the queued requests of a lost router are removed
    Guards against grants to a router that cannot use them.

    Given a shared group of 3 controllers
    And the environment "routers" is in force
    And a fake router "r-wants" with 20 requests for a server with 1 slot
    When the fake router "r-wants" closes its connection
    Then no request is waiting at the leader within 1 s
