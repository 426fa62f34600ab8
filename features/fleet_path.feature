@fixture.fleet @alone
Feature: A request runs through separate processes to a backend server

  Three controllers, three routers and four stand-in backend servers run as
  processes. This guards against parts that work alone and not together.

  Scenario Outline: <kind> requests are answered through <router>
    When a fleet caller sends a <kind> request through <router>
    Then the fleet answers with status 200 and the whole answer

    Examples:
      | kind           | router |
      | plain          | r1     |
      | plain          | r2     |
      | plain          | r3     |
      | streaming      | r1     |
      | streaming      | r2     |
      | streaming      | r3     |
      | non-repeatable | r1     |
      | non-repeatable | r2     |
      | non-repeatable | r3     |

  Scenario Outline: a resend through <second> does not run again
    When a fleet caller sends a non-repeatable request through r1
    And the fleet caller sends the same request through <second>
    Then the fleet answers both times alike and the request ran once

    Examples:
      | second |
      | r1     |
      | r2     |

  Scenario Outline: a fleet refuses <case> with <kind>, <execution>
    When a fleet caller sends <case>
    Then the fleet refuses with <status> <kind> and execution <execution>

    Examples:
      | case                          | status | kind                     | execution |
      | an unknown token              | 401    | unauthenticated          | not_run   |
      | an unknown path               | 404    | no_route                 | not_run   |
      | no idempotency key            | 400    | idempotency_key_required | not_run   |
      | a reused key with another body | 422   | idempotency_key_reused   | not_run   |

  @known_red
  Scenario: added latency stays within 5 ms for 95 in 100
    When 200 plain fleet requests go through r1 and 200 directly in turn
    Then the fleet adds at most 5 ms at the 95th percentile

  Scenario Outline: killing <victim> loses no accepted configuration
    Given the fleet accepts an environment with a workspace <workspace>
    When the fleet's <victim> is killed
    Then the fleet serves workspace <workspace> through every running router
    And the fleet's <victim> serves it too after its restart

    Examples:
      | victim  | workspace |
      | leader  | w3        |
      | r2      | w4        |
      | leader  | w5        |

  Scenario: the status names a router that is cut off
    Without it, operators take a change for in force everywhere.

    When the fleet's r3 is cut off and a change is accepted
    Then the fleet's status names r3 as not connected and lagging
    And r3 has the change within 9 s after the cut
