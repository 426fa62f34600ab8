@fixture.retrying_platform_fleet
Feature: Paths on the platform are compared with prefixes as they are written

  Real processes on loopback addresses. The document has the routes /jobs/
  (unsafe) of the service jobs, and /jobs/list/ (safe) and /jobs/list/cancel/
  (unsafe) of the service lists, and /-/ (safe) of the service jobs. Both services
  have two backend servers.

  Scenario Outline: the request for <path> is run by <service>
  Guards against requests that reach the service of another route because their
  path was decoded or its slashes were left out of the comparison.
    Given the routes of the services jobs and lists
    When a caller asks the platform for <path>
    Then the request is answered <status> and <service> ran it with the path unchanged

    Examples:
      | path                  | status | service |
      | /jobs/                | 200    | jobs    |
      | /jobs/x               | 200    | jobs    |
      | /jobs/list            | 200    | jobs    |
      | /jobs/list?all=1      | 200    | jobs    |
      | /jobs/list?/jobs/list/ | 200   | jobs    |
      | /jobs/list/           | 200    | lists   |
      | /jobs/list/?all=1     | 200    | lists   |
      | /jobs/list/x          | 200    | lists   |
      | /jobs/list//x         | 200    | lists   |
      | /jobs/listing/x       | 200    | jobs    |
      | /jobs//list/x         | 200    | jobs    |
      | /jobs/%6cist/x        | 200    | jobs    |
      | /jobs/list%2Fx        | 200    | jobs    |
      | /jobs                 | 404    | nobody  |
      | //jobs/list/x         | 404    | nobody  |
      | /%6aobs/x             | 404    | nobody  |
      | /jobs%2Flist/x        | 404    | nobody  |

  Scenario Outline: <method> <path> is run by the service of its route
  Guards against answers of the router itself to requests that have a route: on the
  platform no path is the router's own.
    Given the routes of the services jobs and lists
    When a caller sends <method> to the platform for <path>
    Then the request is answered 200 and jobs ran it with the path unchanged

    Examples:
      | method | path                 |
      | GET    | /-/readyz            |
      | PUT    | /-/backend-servers/x |
      | POST   | /-/x                 |

  Scenario Outline: when its answer is lost, the request for <path> ran <runs>
  Guards against an unsafe request that is sent to a second server because its
  path was taken for that of a safe route.
    Given the routes of the services jobs and lists
    When the backend servers lose their answers to a request for <path>
    Then that request ran <runs>

    Examples:
      | path               | runs  |
      | /jobs/list         | once  |
      | /jobs/%6cist/x     | once  |
      | /jobs//list/x      | once  |
      | /jobs/list/x       | twice |
      | /jobs/list/cancel  | once  |
      | /jobs/list/%63ancel/x | once |
