Feature: A router acts only on what a leader said recently

  Scenario: an expired grant is given back and the request wants a new one
  A grant that is used late adds a request to a server that is full by now.
    Given a router with 1 fake backend servers
    And the router's leader grants with an echo 1500 ms old for 0.5 seconds
    When the router's caller requests GET /sketch/a
    Then the router's caller gets 200 with its own answer
    And the router reported not_dispatched for every grant but the last

  Scenario: a frozen router does not dispatch on a grant from before
    Given a router with 1 fake backend servers
    When the router is frozen for 2.5 seconds while its grant is on the way
    Then the router reported not_dispatched for the grant from before
    And the router's late grants reached no backend server

  Scenario: a router that lost control refuses, keeps running answers and returns
    Given a router with 1 fake backend servers
    And the router's leader stops granting
    And the router passes a stream of 4 seconds and has a waiting request
    When the router's leader is silent
    Then the router's waiting request is refused as control_unavailable with not_run within 3 seconds
    And the router is not ready because of control_unavailable
    And new requests at the router are refused as control_unavailable
    And the router's stream arrives whole
    When the router's leader speaks again
    Then the router is ready and serves requests

  Scenario: the first report of a connection names grants in use and wants
  A new leader would otherwise give the same slots away twice.
    Given a router with 1 fake backend servers
    And the router's leader stops granting
    And the router passes a stream of 4 seconds and has a waiting request
    When the router's leader breaks the connection
    Then the router's first report names 1 running grant and 1 want

  Scenario Outline: a router follows the hint to a leader that it <knows>
    A repair adds controllers that the settings of a router do not name. The
    router may have missed them while it was cut off.

    Given a router that <knows> the leader which its first controller names
    When the router's caller requests GET /sketch/a
    Then the router's caller gets 200 with its own answer

    Examples:
      | knows         |
      | knows         |
      | does not know |

  Scenario Outline: the number of the environment only grows
    Given a router with 1 fake backend servers
    When the router's leader pushes number <number> without routes
    Then the router's caller gets <status> for GET /sketch/a

    Examples:
      | number | status |
      | 0      | 200    |
      | 1      | 200    |
      | 2      | 404    |

  Scenario: the router of a drained data centre serves what arrives
    Given a router with 1 fake backend servers
    When the router's leader drains the router's data centre
    Then the router is not ready because of data_centre_drained
    And the router's caller gets 200 for GET /sketch/a

  Scenario: heartbeats of an idle router are small
    Given a router with 1 fake backend servers
    When the router is idle for 2 seconds
    Then the router sent at most 10 reports and 5 KB/s

  Scenario Outline: how long a leader may be silent: <case>
    Guards against a router that leaves its leader because the network is slow, and
    against one that stays with a leader that is gone.

    Given a router that looks for another leader after 700 ms of silence
    Then with round trips of <round_trip> ms it does so after <silence> ms

    Examples:
      | case                     | round_trip | silence |
      | a fast link              | 4          | 700     |
      | a slow one               | 300        | 1200    |
      | longer than any grant    | 900        | 2000    |

  Scenario: a router finds and keeps its leader over a slow link
    A handshake takes several round trips. A router that begins it anew again and
    again refuses all requests for as long as its link is full.

    Given a router that reaches 5 controllers over links with round trips of 500 ms
    Then the router is ready within 4 seconds
    And it stays with its leader for 3 seconds

  Scenario: a router that was held up sends nothing for a caller that has left
    Guards against a request that runs although its caller left before: a busy
    router reads the grant first and the end of the caller's connection later.

    Given a router with 1 fake backend servers
    And the router has 6 idle connections to its backend server
    And the router's leader stops granting
    When 6 callers leave and are granted while the router is frozen for 0.3 seconds
    Then the router has dispatched none of these requests

  Scenario: requests that waited unread are not sent on after their deadline
    Guards against work for callers that have left, at a router with a flood of
    requests (GONE).

    Given a router of the platform with 1 fake backend servers and room for 800 requests
    When 800 connected callers that wait for 100 ms send a request at the same moment
    Then the router has dispatched some of these requests
    And none later than 150 ms after that moment
    And all others are answered 503 or 504

  Scenario: a connection whose request waits unread is not closed as idle
    Guards against requests that a busy router loses unread.

    Given a router of the platform with 1 fake backend servers and room for 1600 requests, idle for 3 s
    When 1600 callers send a request at the same moment 2.3 s after they connected
    Then all of them get an answer

  Scenario Outline: a router that lost control does not refuse <what> by its old configuration
    Guards against refusals of routes and keys that were added meanwhile (CONFIG).

    Given a router with 1 fake backend servers
    When the router's leader has been silent for 3 seconds
    Then a request with <what> is refused as control_unavailable with not_run
    And a request with <what> is refused as <kind> once the leader speaks again

    Examples:
      | what             | kind               |
      | an unknown path  | no_route           |
      | an unknown token | unauthenticated    |
      | another method   | method_not_allowed |
