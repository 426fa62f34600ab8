Feature: The adapter translates the messages of the users' platform

  Guards against a configuration that is read in part, against callers that set
  headers reserved for the router, and against names of the platform outside its
  adapter.

  Scenario: the names of the platform stand in its adapter only
    Then no module outside the adapter holds a name of the platform

  Scenario: a settings file becomes the settings of a router
    Given the platform's settings file of a router
    Then its settings have
      | field              | value              |
      | role               | router             |
      | node_id            | front-1            |
      | data_centre        | z1                 |
      | callers            | 127.0.1.1:8783     |
      | operators          | 127.0.1.1:8780     |
      | plaintext          | True               |
      | ready_when_drained | True               |
      | retry_reserve      | 2.7                |
      | shutdown_timeout_s | 4.5                |
      | processor_cores    | 0.0                |
      | max_descriptors    | 1638               |
      | max_open_connections | 1228             |
    And its first controller is 127.0.2.1-7400 at 127.0.2.1:7400 and 127.0.2.1:8785

  Scenario Outline: a faulty settings file is refused, <place>
    Given the platform's settings file of a router
    When <place> is <value> there
    Then the settings are refused at <path>

    Examples:
      | place         | value      | path            |
      | nodeName      | 5          | $.nodeName      |
      | zone          | absent     | $.zone          |
      | internalPorts | [7400]     | $.internalPorts |
      | seeds         | "x"        | $.seeds         |
      | seeds         | ["x"]      | $               |
      | limits        | {}         | $.limits.memoryMb |
      | limits        | {"memoryMb": 300, "maxFds": -1} | $.limits.maxFds |
      | limits        | {"memoryMb": 300, "cores": NaN} | $.limits.cores |
      | cloud         | {}         | $.cloud.address |
      | cloud         | {"address": "x"} | $         |
      | cloud         | {"address": "10.200.0.139:8169", "dutyPerS": 0} | $.cloud.dutyPerS |
      | bounds        | {"usageWindowS": 0} | $.bounds.usageWindowS |
      | bounds        | {"usageLateS": Infinity} | $.bounds.usageLateS |
      | bounds        | {"leaseMs": NaN} | $.bounds.leaseMs |

  Scenario Outline: the settings of duties are read, <case>
    Given the platform's settings file of a router
    When cloud is <cloud> there
    And bounds is {"leaseMs": 4000, "usageWindowS": 2.5, "usageLateS": 7} there
    Then its duties are <duties>

    Examples:
      | case            | cloud | duties |
      | none            | null  | None |
      | an unknown duty | {"address": "10.200.0.139:8169", "ratePerS": 9, "dutyPerS": 40, "duties": ["autoscale", "x"]} | autoscale of front-1 at 10.200.0.139:8169, 4000 40.0 2.5 7.0 |
      | both            | {"address": "10.200.0.139:8169", "duties": ["autoscale", "usage_report"]} | usage_report autoscale of front-1 at 10.200.0.139:8169, 4000 50.0 2.5 7.0 |

  Scenario Outline: a document is <verdict>, <case>
    Given the operators' document of the platform
    When <place> is <value> there
    Then the document is <verdict> with "<reason>"

    Examples:
      | case                   | place               | value                | verdict  | reason |
      | as it is               | version             | 7                    | accepted |        |
      | with an unknown field  | colour              | "blue"               | accepted |        |
      | no number              | version             | absent               | refused  | version |
      | a text for a number    | version             | "7"                  | refused  | version |
      | a negative number      | version             | -1                   | refused  | version |
      | an unknown service     | routes.0.service    | "nobody"             | refused  | unknown services |
      | no service             | routes.0.service    | null                 | refused  | a route needs service or trafficSplit |
      | weights of 0           | routes.1.trafficSplit | [{"service": "s", "weight": 0}] | refused | add up to 0 |
      | a negative weight      | routes.1.trafficSplit.0.weight | -1        | refused  | weight |
      | no time                | routes.0.timeoutMs  | 0                    | refused  | timeoutMs |
      | an endless time        | routes.0.timeoutMs  | Infinity             | refused  | timeoutMs |
      | an endless target      | routes.0.targetLatencyMs | 1e999           | refused  | targetLatencyMs |
      | a negative target      | routes.0.targetLatencyMs | -1              | refused  | targetLatencyMs |
      | an endless cold rate   | services.0.coldPerS | Infinity             | refused  | coldPerS |
      | limits of servers      | services.0.scaling  | {"min": 13, "max": 30, "bootS": 8.0} | accepted | |
      | one limit for both     | services.0.scaling  | {"min": 3, "max": 3} | accepted |       |
      | no limits              | services.0.scaling  | null                 | accepted |        |
      | max below min          | services.0.scaling  | {"min": 3, "max": 2} | refused  | services.0.scaling.max: |
      | a negative min         | services.0.scaling  | {"min": -1, "max": 2} | refused | services.0.scaling.min: |
      | a huge max             | services.0.scaling  | {"min": 1, "max": 1000000000} | refused | services.0.scaling.max: |
      | an endless start       | services.0.scaling  | {"min": 1, "max": 2, "bootS": Infinity} | refused | services.0.scaling.bootS: |
      | a start that is no number | services.0.scaling | {"min": 1, "max": 2, "bootS": NaN} | refused | services.0.scaling.bootS: |
      | limits that are text   | services.0.scaling  | {"min": "1", "max": 2} | refused | services.0.scaling.min: |
      | an unknown kind        | routes.0.kind       | "odd"                | refused  | kind |
      | the same prefix twice  | routes.1.pathPrefix | "/a/"                | refused  | pathPrefix of a route occurs twice |
      | another host           | routes.1.host       | "other.example"      | accepted |        |
      | a prefix without slash | routes.0.pathPrefix | "/a"                 | refused  | slash |
      | a shared key           | tenants.1.apiKeys   | ["k1"]               | refused  | an API key occurs twice |
      | a service twice        | services.1.name     | "s"                  | refused  | the name of a service occurs twice |
      | no attempts            | routes.0.maxAttempts | 0                   | refused  | maxAttempts |
      | a NUL in a tenant      | tenants.0.name      | "a\u0000b"           | refused  | tenants.0.name |
      | an escape in a service | services.1.name     | "\u001b[2J"          | refused  | services.1.name |
      | a tenant beyond ASCII  | tenants.0.name      | "Tan\u010d\u00edrna"  | accepted |        |
      | limits that are text   | limits.maxBodyBytes | "4 MB"               | refused  | limits.maxBodyBytes |
      | a negative limit       | limits.idleTimeoutMs | -1                  | refused  | limits.idleTimeoutMs |

  Scenario Outline: limits of a document apply to callers, <limits>
    Guards against a built-in limit that overrides a limit declared by operators.

    Given the operators' document of the platform
    When limits is <limits> there
    Then callers may send <headers> and <body> bytes, take <take_s> and stay idle for <idle_s> seconds

    Examples:
      | limits                                          | headers | body     | take_s | idle_s |
      | {"maxHeaderBytes": 8192, "maxBodyBytes": 16777216, "headerTimeoutMs": 3000, "idleTimeoutMs": 60000} | 8192 | 16777216 | 3.0 | 60.0 |
      | {"idleTimeoutMs": 2500.5, "tokensPerS": 100000} | None    | None     | None   | 2.5005 |
      | {"maxBodyBytes": 0}                             | None    | None     | None   | None   |

  Scenario: a document that was cut short is refused
    Given the operators' document of the platform
    Then its first half is refused

  Scenario: a document becomes an environment and is read back unchanged
    Given the operators' document of the platform
    Then the environment has these routes
      | path | service | host      | idempotent | public | timeout_s | targets      | max_tries |
      | /a/  | s       | h.example | True       | True   | 2.5       | s:1.0        | 2         |
      | /b/  | s       | h.example | False      | False  | 12.0      | s:9.0 b:1.0  | 1         |
      | /c/  | s       | h.example | True       | False  | 10.0      | s:1.0        | 2         |
    And the document is read back byte for byte

  Scenario Outline: a server announces the limit <value> of connections
    Guards against a heartbeat that is refused, or a limit that is applied,
    because of a malformed field that was ignored before.

    Given the announcement of a backend server of the platform
    When maxConnections is <value> there
    Then the announced limit of connections is <limit>

    Examples:
      | value   | limit |
      | null    | 0     |
      | 256     | 256   |
      | 0       | 0     |
      | -1      | 0     |
      | 2.5     | 0     |
      | "256"   | 0     |
      | true    | 0     |
      | NaN     | 0     |
      | 1000001 | 0     |

  Scenario Outline: an announcement is <verdict>, <case>
    Given the announcement of a backend server of the platform
    When <place> is <value> there
    Then the announcement is <verdict>

    Examples:
      | case               | place           | value       | verdict   |
      | as it is           | slots           | 6           | ready     |
      | a field too many   | colour          | 1           | ready     |
      | it drains          | state           | "draining"  | departing |
      | an unknown state   | state           | "odd"       | refused   |
      | a missing field    | service         | absent      | refused   |
      | a text for slots   | slots           | "6"         | refused   |
      | no port            | address         | "127.0.0.1" | refused   |
      | a fraction of a ms | coldRemainingMs | 12.5        | ready     |
      | a fraction at birth | born           | 12.5        | refused   |
      | a port out of range | address        | "127.0.0.1:70000" | refused |
      | the port 0         | address         | "127.0.0.1:0" | refused   |
      | a negative port    | address         | "127.0.0.1:-1" | refused  |
      | a port of digits   | address         | "127.0.0.1:999999999999999999999" | refused |
      | a name of a host   | address         | "host.example:80" | refused |
      | slots too large    | slots           | 1000000000000000000000000000000 | refused |
      | cold for ever      | coldRemainingMs | Infinity    | refused   |
      | cold for too long  | coldRemainingMs | 1e300       | refused   |
      | born too late      | born            | 1000000000000000000000000000000 | refused |
      | a sequence too large | sequence      | 1000000000000000000000000000000 | refused |
      | lists nested deeply | colour         | nested 100000 lists | refused |
      | nested where a number is due | slots | nested 100000 lists | refused |

  Scenario: an odd entry takes no server away from the others
    Guards against one announcement after which the leader ends or decides nothing.

    Given a scheduler with a backend server that announced itself on the platform
    When odd announcements arrive at the scheduler
      | field   | value                             |
      | slots   | 1000000000000000000000000000000   |
      | slots   | nested 100000 lists               |
      | address | "127.0.0.1:70000"                 |
      | born    | 1000000000000000000000000000000   |
      | coldRemainingMs | Infinity                  |
    Then the scheduler grants the server to a request with a latency target

  Scenario Outline: an odd id of a server is refused, <case>
    Given the announcement of a backend server of the platform
    Then the id "<id>" is refused

    Examples:
      | case             | id          |
      | a line end       | a%0Ab       |
      | a byte of zero   | a%00b       |
      | no character     |             |

  Scenario: a backend server gets only what the system sets
    When a caller's headers are passed on for the workspace "w" with 1500 ms left
      | name            | value       |
      | Authorization   | Bearer k1   |
      | Tenant          | other       |
      | Hold            | h           |
      | Kv-From         | x           |
      | Pin-Ms          | 5           |
      | Deadline-Ms     | 9000        |
      | Expect-Instance | other       |
      | Model           | m           |
      | Prefix-Hash     | a:5         |
      | Connection      | X-Hop       |
      | X-Hop           | 1           |
    Then the backend server gets exactly
      | name            | value   |
      | Model           | m       |
      | Prefix-Hash     | a:5     |
      | Request-Id      | r1      |
      | Tenant          | w       |
      | Expect-Instance | i-1     |
      | Deadline-Ms     | 1500    |

  Scenario Outline: an answer of status <status> with Server-Leaving "<value>" is read
    Then the notice of an answer of status <status> with Server-Leaving "<value>" is <result>

    Examples:
      | status | value | result  |
      | 200    | 1     | leaving |
      | 503    | 1     | leaving |
      | 200    | 0     | nothing |
      | 200    |       | nothing |
      | 421    | 1     | nothing |

  Scenario Outline: the headers <usage> and <prefix> are read
    When a request has the headers "<usage>", "<prefix>" and "<hint>"
    Then its prompt has <tokens> tokens in <parts> and <output> tokens are expected

    Examples:
      | usage   | prefix       | hint | tokens | parts    | output |
      | 1460,80 | a:800,b:410  | 20   | 1460   | a:800 b:410 | 20  |
      | 1460,80 | a:800        |      | 1460   | a:800    | 80     |
      | 1460,80 | a:800        | 900  | 1460   | a:800    | 80     |
      |         |              |      | 0      | -        | 0      |
      | x       | a:b          | y    | 0      | -        | 0      |
      | 5       | a:1,,b:2     |      | 5      | a:1      | 0      |

  Scenario Outline: a request that may have run gets no status that guarantees that it has not run, <kind>
    Then a refusal for <kind> that says <stated> has the status <status>

    Examples:
      | kind                    | stated       | status |
      | queue_timeout           | not_run      | 503    |
      | queue_timeout           | may_have_run | 502    |
      | overloaded              | not_run      | 503    |
      | queue_full              | not_run      | 429    |
      | queue_full              | may_have_run | 502    |
      | backend_connect_failed  | not_run      | 503    |
      | backend_connection_lost | may_have_run | 502    |
      | backend_timeout         | may_have_run | 504    |
      | request_crashes_servers | not_run      | 503    |
      | no_route                | not_run      | 404    |
      | unauthenticated         | not_run      | 401    |

  Scenario Outline: the load that a server states is read, <case>
    Guards against a load that is read although it is malformed.

    Then the Server-Load "<value>" is read as <load>

    Examples:
      | case                | value        | load                |
      | without slowness    | 3,0,6        | 3 0 6 None valid    |
      | with slowness       | 3, 1, 6, 250 | 3 1 6 2.5 valid     |
      | too short           | 3,0          | 0 0 0 None invalid  |
      | too long            | 3,0,6,100,1  | 0 0 0 None invalid  |
      | negative            | -3,0,6       | 0 0 6 None invalid  |
      | not a number        | 3,0,6,nan    | 0 0 0 None invalid  |
      | without bound       | 3,0,6,inf    | 0 0 0 None invalid  |
      | a slowness of zero  | 3,0,6,0      | 3 0 6 0.1 invalid   |
      | too large           | 10000000,0,6 | 1000000 0 6 None invalid |

  Scenario Outline: the share of second copies is "<value>" in the environment
    Given the platform's settings file of a router
    Then with the hedge share "<value>" the settings have <result>

    Examples:
      | value | result                 |
      |       | 0.0                    |
      | 0.02  | 0.02                   |
      | 0.1   | 0.1                    |
      | 0.11  | WAXWINGRACK_HEDGE_SHARE |
      | -1    | WAXWINGRACK_HEDGE_SHARE |
      | nan   | WAXWINGRACK_HEDGE_SHARE |
      | much  | WAXWINGRACK_HEDGE_SHARE |
