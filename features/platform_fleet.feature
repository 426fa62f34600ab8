@fixture.platform_fleet
Feature: Routers and controllers run as the users' platform starts them

  Real processes on loopback addresses, each with the platform's settings file.
  Guards against processes that do not find each other, against an older
  configuration in force, and against controllers that cannot be replaced without
  an operator.

  Scenario: a caller is served through any controller's announcements
    When the document 1 is sent to every controller
    And a backend server announces itself at every controller
    Then a caller of the workspace gets the whole answer of the backend server
    And the backend server got its own id, the workspace and no key
    And a caller with an unknown key gets 401 and one without a route 404
    And the router is ready

  Scenario Outline: a stream <case>
    When a caller asks for a stream and <act>
    Then <end>

    Examples:
      | case             | act                     | end |
      | passes whole     | reads it                | every event arrives as it is sent |
      | breaks           | the backend server breaks off | the answer does not look whole |
      | is left          | leaves after an event   | the backend server is let go within 500 ms |

  Scenario: a request that the backend server refused is answered as not run
    When the backend server refuses its requests unrun
    Then a caller gets 503 with a time to come back and nothing ran

  Scenario: a configuration of a lower or equal revision changes nothing
    When the document 9 is sent to every controller
    And other content is sent with the revision 9 and the revision 4
    Then every order was acknowledged and the document 9 is read back

  Scenario: a data centre that is taken out gets no request until it is back
    When the data centre of the backend server is taken out
    Then a caller gets no answer of the backend server and the router is ready
    When the data centre of the backend server is taken back
    Then a caller of the workspace gets the whole answer of the backend server

  Scenario: a controller whose disk was lost and one at a new address join
    When a controller is killed, loses its disk and starts again
    Then the group has 5 members that all vote
    When another controller is killed and one starts at a new address
    Then the group has 5 members that all vote
    And the document that was acknowledged last is read back

  Scenario: a new leader knows the backend servers of the one before
    When the leader is killed and the backend server announces itself no more
    Then a caller is served within 4 s
    And the killed leader comes back

  Scenario: a controller whose disk was full takes part again
    When the disk of a controller takes no more bytes while a document is sent
    Then the group has 4 members that answer
    When its disk takes bytes again
    Then the group has 5 members that answer

  Scenario: controllers whose disks were full one after another take changes
    Guards against changes that are refused, or stay unanswered, for good.

    When the disk of each controller in turn takes no more bytes for 2 s while documents are sent
    Then the group has 5 members that answer
    And another document is acknowledged within 5 s
    And the document that was acknowledged last is read back

  Scenario: every controller is killed at once
    When all controllers are killed and start again
    Then the document that was acknowledged last is read back
    And a caller of the workspace gets the whole answer of the backend server

  Scenario Outline: a body without end to <path> of <process> is cut off
  Guards against processes whose disk or memory a faulty server fills; machines
  with a controller have 128 MB of disk.
    When a backend server sends a body without end to <path> of <process>
    Then the process closes the connection before it has taken 128 MB
    And it has stored at most 1 MiB of it

    Examples:
      | process    | path                         |
      | the leader | /api/instances/i-9/heartbeat |
      | a follower | /api/instances/i-9/heartbeat |
      | the router | /api/ready                   |

  Scenario Outline: <mib> MiB to <path> are answered <status>
  Guards against calls that fill the disk or memory of a controller.
    When an operator sends <mib> MiB to <path> of the leader
    Then the operator gets <status>

    Examples:
      | mib | path                         | status |
      | 2   | /api/instances/i-9/heartbeat | 413    |
      | 2   | /api/rollouts/start          | 413    |
      | 2   | /api/config/replace          | 400    |
      | 17  | /api/config/replace          | 413    |
