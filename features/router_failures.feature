Feature: A router tells the truth about requests that failed

  Background:
    Given a router with 2 fake backend servers

  Scenario Outline: a request without an answer is refused truthfully
  A caller that reads "not run" repeats the request, so that must be true, and
  a request that may not be repeated runs at most once.
    When the router's caller requests <method> <path>?do=<act>
    Then the router's caller gets <status> <kind> with execution may_have_run
    And the router's backend servers ran <runs> request
    And the router reports the outcome <outcome>

    Examples:
      | method | path            | act      | status | kind                    | runs | outcome         |
      | GET    | /sketch/a       | drop     | 502    | backend_connection_lost | 3    | connection_lost |
      | GET    | /sketch/a       | reset    | 502    | backend_connection_lost | 3    | connection_lost |
      | GET    | /sketch/a       | garbage  | 502    | backend_connection_lost | 3    | connection_lost |
      | GET    | /sketch/a       | cut_head | 502    | backend_connection_lost | 3    | connection_lost |
      | GET    | /sketch/a       | stall    | 504    | backend_timeout         | 3    | timed_out       |
      | POST   | /sketch/deposit | drop     | 502    | backend_connection_lost | 1    | connection_lost |
      | POST   | /sketch/deposit | reset    | 502    | backend_connection_lost | 1    | connection_lost |
      | POST   | /sketch/deposit | stall    | 504    | backend_timeout         | 1    | timed_out       |

  Scenario Outline: an answer with the status <code> is no answer on <method> <path>
  A server in trouble may write a status that HTTP does not have. Its answer must
  not reach the caller, who would take it for the result of the request.
    When the router's caller requests <method> <path>?do=status&code=<code>
    Then the router's caller gets 502 backend_connection_lost with execution may_have_run
    And the router's backend servers ran <runs> request
    And the router reports the outcome connection_lost

    Examples:
      | method | path            | code    | runs |
      | GET    | /sketch/a       | 000     | 3    |
      | GET    | /sketch/a       | 099     | 3    |
      | GET    | /sketch/a       | 20      | 3    |
      | GET    | /sketch/a       | 2000    | 3    |
      | GET    | /sketch/a       | -20     | 3    |
      | GET    | /sketch/a       | %2B200  | 3    |
      | GET    | /sketch/a       | 600     | 3    |
      | GET    | /model/a        | 000     | 3    |
      | GET    | /model/a        | %2B200  | 3    |
      | POST   | /sketch/deposit | 000     | 1    |
      | POST   | /sketch/deposit | 2000    | 1    |
      | POST   | /sketch/deposit | %2B200  | 1    |

  Scenario Outline: a failed try goes to the other server where it may
    Given the router's next try fails with <fault>
    When the router's caller requests <method> <path>
    Then the router's caller gets 200 with its own answer
    And the router's backend servers ran <runs> request
    And the router avoided the server that failed

    Examples:
      | fault  | method | path            | runs |
      | drop   | GET    | /sketch/a       | 2    |
      | refuse | GET    | /sketch/a       | 1    |
      | refuse | POST   | /sketch/deposit | 1    |

  Scenario Outline: a request that waits again after a try may have run
  A refusal of the second wait that says "not run" would hide the first try.
    Given the router's next try fails with <fault>
    And the router's leader grants once and then refuses with <kind>
    When the router's caller requests GET /sketch/a
    Then the router's caller gets 503 <kind> with execution <execution>

    Examples:
      | fault  | kind              | execution    |
      | drop   | queue_timeout     | may_have_run |
      | reset  | no_backend_server | may_have_run |
      | refuse | queue_timeout     | not_run      |

  Scenario Outline: a request that reached no server has not run
    Given the router's backend servers refuse connections
    When the router's caller requests <method> <path>
    Then the router's caller gets 502 backend_connect_failed with execution not_run

    Examples:
      | method | path            |
      | GET    | /sketch/a       |
      | POST   | /sketch/deposit |
