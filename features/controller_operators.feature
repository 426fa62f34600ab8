Feature: Operators' HTTP API of a controller

  Scenario Outline: <method> <path> <with> answers <status>
    Given a shared group of 3 controllers
    When an operator calls <method> <path> at the leader <with>
    Then the call is answered <status> and names <names>

    Examples: tokens
      | method | path                 | with                    | status | names   |
      | GET    | /v1/status           | without a token         | 401    | bearer  |
      | GET    | /v1/status           | with another token      | 401    | bearer  |
      | PUT    | /v1/environment      | without a token         | 401    | bearer  |
      | GET    | /healthz             | without a token         | 200    | nothing |
      | GET    | /readyz              | without a token         | 200    | nothing |
      | GET    | /v1/status           | with the token          | 200    | routers |
      | GET    | /v1/no-such-call     | with the token          | 404    | message |

    Examples: documents
      | method | path                       | with                         | status | names                 |
      | PUT    | /v1/environment            | with a body that is no JSON  | 400    | $                     |
      | PUT    | /v1/environment            | with an unknown field        | 400    | $.extra               |
      | PUT    | /v1/environment            | without expected             | 400    | $.expected            |
      | PUT    | /v1/environment            | with a negative expected     | 400    | $.expected            |
      | PUT    | /v1/environment            | with two faults              | 400    | $.environment.workspaces[0].weight,$.environment.services[0].routes[0].path |
      | PUT    | /v1/environment            | with an unknown nested field | 400    | $.environment.extra   |
      | PUT    | /v1/environment            | with a body of 2 MiB         | 400    | $                     |
      | PUT    | /v1/environment            | with an old number           | 409    | ada                   |
      | PUT    | /v1/data-centres/a         | with an unknown state        | 400    | $.state               |
      | PUT    | /v1/data-centres/zz        | with state drained           | 409    | zz                    |
      | PUT    | /v1/data-centres/b         | with state drained           | 200    | accepted              |
      | POST   | /v1/rollouts               | with an unknown plan field   | 400    | $.plan.extra          |
      | POST   | /v1/rollouts               | with a watch past the deadline | 400  | $.plan.watch_s        |
      | POST   | /v1/rollouts               | with a deadline of 10 days   | 400    | $.plan.deadline_s     |
      | POST   | /v1/rollouts/zz/take-back  | with a change                | 409    | zz                    |
      | PUT    | /v1/controllers/c9         | with c9 replacing c9         | 409    | itself                |

  Scenario: a change without a majority answers 503 and is known later
    An operator who got 503 cannot know the outcome; the resend must tell it.

    Given a group of 3 controllers
    And environment "first" was applied at the number 0
    When both followers freeze and an operator applies "late" at the number 1
    Then the late change was answered 503 within 4 s
    When both followers resume and the operator sends "late" again
    Then the controllers hold environment "late" with number 2

  Scenario: a controller that knows no leader answers 421 without one
    Given a group of 3 controllers
    When the other two controllers are killed for 4 s
    Then the last controller answers 421 with no leader and is not ready

  Scenario: every grant is logged with its reason
    Given a shared group of 3 controllers
    And the environment "logged" is in force
    When a fake router "r-log" reports a server and 3 requests one by one
    Then the leader's log holds 3 grants to "r-log" with a reason

  Scenario Outline: the metrics show <name>
    Given a shared group of 3 controllers
    Then the leader shows the metric "<name>"

    Examples:
      | name                    |
      | reports_total           |
      | grants_total            |
      | commits_total           |
      | elections_total         |
      | sync_seconds_total      |
      | bytes_sent_total        |
      | messages_received_total |
      | malformed_frames_total  |
      | connected_routers       |
      | lagging_routers         |
      | environment_number      |
      | term                    |
