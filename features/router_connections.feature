Feature: A router uses connections to backend servers again

  Scenario Outline: a request that must not be repeated takes a recent connection: <case>
    Guards against a new connection for each request, and against a request that
    is lost on a connection that its server has closed.

    Given a router with one fake backend server and a reuse_idle_s of <limit>
    When two deposits with do=<act> are sent <gap> seconds apart
    Then both are answered with 200 over <connections> connections

    Examples:
      | case                   | limit | act        | gap | connections |
      | idle for a moment      | 2.0   | ok         | 0.1 | 1           |
      | idle for too long      | 0.3   | ok         | 1.0 | 2           |
      | reuse is off           | 0.0   | ok         | 0.1 | 2           |
      | closed by its server   | 2.0   | then_close | 0.1 | 2           |

    Examples: servers that state a timeout
      | case                    | limit | act                           | gap | connections |
      | longer than the setting | 0.3   | stating&timeout=4             | 1.0 | 1           |
      | stated, reuse is off    | 0.0   | stating&timeout=4             | 0.1 | 2           |
      | shorter than the margin | 2.0   | stating&timeout=1             | 0.1 | 2           |
      | not whole seconds       | 0.3   | stating&timeout=4.5           | 1.0 | 2           |
      | closes sooner           | 2.0   | stating&timeout=10&close=0.05 | 0.1 | 2           |
      | closes at once          | 2.0   | stating&timeout=10&close=0    | 0.0 | 2           |

  Scenario: the connection that was used last is taken first
    Guards against keeping all connections of a burst open by using them in turn.

    Given a router with one fake backend server and a reuse_idle_s of 2.0
    When three deposits are sent at once and then three in turn
    Then the three in turn used one connection
