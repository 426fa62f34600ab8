Feature: A router stops without cutting requests and shows its state

  Scenario: a graceful stop cuts no request
    Given a router with 1 fake backend servers
    And the router's leader stops granting
    And the router passes a stream of 1.5 seconds and has a waiting request
    When the router is told to stop
    Then the router is not ready because of shutting_down
    And the router accepts requests until the delay is over and refuses later ones as shutting_down
    And the router's stream and waiting request are answered whole
    And the router exits with 0

  Scenario: a stop waits for the record of an answered deposit
  A resend of a deposit whose record was lost is told that it may have run,
  although its answer was known.
    Given a router with 1 fake backend servers
    And the router's leader does not record outcomes for 4 seconds
    When the router's caller requests POST /sketch/deposit
    And the router is told to stop
    Then the router exits with 0
    And the router's leader has the answer in its record

  Scenario: a stop ends requests that outlast the time for it
    Given a router that may take 1 second to stop
    When the router is told to stop with a stream of 9 seconds and a waiting request
    Then the router's waiting request is refused as shutting_down with not_run within 4 seconds
    And the router's stream is cut
    And the router exits with 0

  Scenario Outline: the end of a stop answers a request that still runs, <request>
  Guards against requests that end without an answer, and against requests that are
  taken for ones that crash servers because the router itself broke them off.
    Given a router that may take 1 second to stop and whose servers may take 9
    When the router is told to stop while <request> runs at its server
    Then the router's caller gets <answer> with execution may_have_run
    And the router's backend servers ran 1 request
    And the router exits with 0
    And the router reported it as cancelled and named no crash suspect

    Examples:
      | request                       | answer                      |
      | POST /sketch/deposit?do=stall | 502 backend_connection_lost |
      | GET /sketch/a?do=stall        | 503 shutting_down           |

  Scenario Outline: the operators' port answers
    Given a shared router with 1 fake backend servers
    Then the router's operators get <status> for <path> with text <text>

    Examples:
      | path     | status | text                                     |
      | /healthz | 200    | {}                                       |
      | /readyz  | 200    | {"reason": ""}                           |
      | /metrics | 200    | waxwingrack_router_environment_number 1  |

  Scenario: requests that arrive at any moment of a stop are answered
    Guards against connections that were just accepted, or wait to be accepted, when
    the router closes its port, and are reset without an answer.

    Given a router with 1 fake backend servers
    When 24 callers send requests on new connections until the router has ended
    Then each request whose connection was accepted got a whole answer
    And some of them were served and some refused as shutting_down
    And the router exits with 0

  Scenario: a port that closes resets no connection that it accepted
    Guards against connections that are made between the last accept and the close
    of the port, and are reset with the requests on them.

    When 30 ports are closed in turn while 8 callers connect without a pause
    Then each caller that was connected got its answer
