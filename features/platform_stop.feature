@fixture.platform_fleet
Feature: A planned stop of a router on the platform cuts no request

  Real processes on loopback addresses. Callers send requests on kept and on new
  connections until the router takes no more.

  Scenario Outline: <kind> requests are answered in a stop, backend servers <trouble>
  Guards against requests that are passed on during a stop and end without an
  answer, and against repeats that are sent when its time is over.
    Given a document with unsafe and safe routes
    And backend servers in the mode <trouble>
    When a router is stopped while callers send <kind> requests
    Then each of these requests that was read got a whole answer
    And none that is refused as not run was run
    And the router ended within its grace period

    Examples:
      | trouble | kind   |
      | serve   | unsafe |
      | serve   | safe   |
      | slow    | unsafe |
      | held    | unsafe |
      | slow    | safe   |
      | held    | safe   |

  Scenario: a request that waits too long to be answered before the end is refused
  Guards against orders that are passed on at the end of a stop and cut off, so
  that nobody knows whether they ran.
    Given a document with unsafe and safe routes
    And backend servers in the mode crowded
    When a router is stopped while callers send unsafe requests
    Then each of these requests that was read got a whole answer
    And each unsafe one that was run got the server's answer
    And none that is refused as not run was run
    And the router ended within its grace period
