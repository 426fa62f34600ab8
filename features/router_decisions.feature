Feature: Decisions of a router without sockets

  Scenario Outline: a try is repeated only where that cannot do harm
  A non-idempotent request that may have run must not run again, and retries
  must not multiply the load of a failing service.
    When the router decides on a retry after <fault> with repeatable <repeatable>, tries <tries>, started <started> and budget <budget>
    Then the router's retry decision is <retry> because of <reason>

    Examples:
      | fault           | repeatable | tries | started | budget | retry | reason            |
      | connection_lost | yes        | 1     | no      | 1.0    | yes   | connection_lost   |
      | connection_lost | yes        | 1     | no      | 0.9    | no    | retry_budget_used |
      | connection_lost | yes        | 1     | yes     | 9.0    | no    | answer_started    |
      | connection_lost | no         | 1     | no      | 9.0    | no    | not_repeatable    |
      | connection_lost | yes        | 3     | no      | 9.0    | no    | too_many_tries    |
      | timed_out       | yes        | 1     | no      | 9.0    | yes   | timed_out         |
      | timed_out       | no         | 1     | no      | 9.0    | no    | not_repeatable    |
      | connect_failed  | no         | 1     | no      | 9.0    | yes   | connect_failed    |
      | connect_failed  | no         | 3     | no      | 9.0    | no    | too_many_tries    |
      | connect_failed  | no         | 1     | no      | 0.0    | no    | retry_budget_used |
      | grant_expired   | no         | 9     | no      | 0.0    | yes   | grant_expired     |
      | claim_lost      | no         | 9     | no      | 0.0    | yes   | claim_lost        |

  Scenario: the retry budget is a share of the requests
  A service whose requests all fail would otherwise get three times its load.
    When the router serves 1000 requests that all fail with connection_lost
    Then the router repeated between 100 and 111 of them

  Scenario Outline: a refusal says not run only where that is certain
    When the router refuses with <kind>, sent <sent> and record unread <unread>
    Then the router's refusal says <execution>

    Examples:
      | kind                    | sent | unread | execution    |
      | queue_timeout           | no   | no     | not_run      |
      | queue_timeout           | yes  | no     | may_have_run |
      | control_unavailable     | no   | yes    | may_have_run |
      | backend_connect_failed  | yes  | no     | may_have_run |
      | backend_connection_lost | no   | no     | may_have_run |
      | answer_not_kept         | yes  | yes    | ran          |

  Scenario Outline: queues keep order, limits and places
  A flood must not fill the reports, and a retried request must not lose its
  place.
    When the router's queue sees "<events>"
    Then the router's queue reports "<wants>" and refuses <refused>

    Examples:
      | events                                            | wants     | refused |
      | add:1 add:2 report                                | 1 2       | 0       |
      | add:1 report report                               | 1         | 0       |
      | add:1 add:2 remove:1 report                       | 2         | 0       |
      | add:1 report remove:1 add:2 retry:3@1 report      | 1 3 2     | 0       |
      | add:1 report connect report                       | 1 1       | 0       |
      | add:1 add:2 add:3 add:4 add:5 report              | 1 2 3 4   | 1       |
      | add:1 add:2 add:3 add:4 report retry:9@1          | 1 2 3 4   | 0       |
      | add:1 remove:1 remove:1 add:2 report              | 2         | 0       |

  Scenario Outline: at most 256 wants of a queue are reported at a time, of <count>
    Guards against reports without a bound, and against the requests of a burst
    that the leader does not know and so cannot refuse in time.

    When the router's queue takes <count> requests and 5 of the reported ones are granted
    Then the router's queue reported <first> wants first and <later> later

    Examples:
      | count | first | later |
      | 200   | 200   | 0     |
      | 300   | 256   | 5     |

  Scenario Outline: a grant is valid for its lifetime on the router's clock
    When a router's grant echoes <echo> and the clock shows <now>
    Then the router's grant is <validity>

    Examples:
      | echo | now  | validity |
      | 1000 | 1000 | valid    |
      | 1000 | 1999 | valid    |
      | 1000 | 2000 | expired  |
      | 1000 | 999  | expired  |

  Scenario Outline: what follows from the record of a key
  A request whose outcome is not known must never be sent again.
    When the router reads <state> with answer <answer> after a <message>
    Then the router's key decision is <decision>

    Examples:
      | message | state        | answer    | decision                       |
      | lookup  | absent       | none      | proceed                        |
      | lookup  | answered     | kept      | replay                         |
      | lookup  | answered     | truncated | answer_not_kept                |
      | lookup  | running      | none      | request_still_running          |
      | lookup  | may_have_run | none      | outcome_unknown                |
      | lookup  | mismatch     | none      | idempotency_key_reused         |
      | lookup  | expired      | none      | idempotency_key_expired        |
      | lookup  | invalid      | none      | idempotency_key_invalid        |
      | lookup  | unavailable  | none      | control_unavailable unread     |
      | claim   | claimed      | none      | proceed                        |
      | claim   | running      | none      | request_still_running          |
      | claim   | answered     | kept      | replay                         |
      | claim   | may_have_run | none      | outcome_unknown                |
      | claim   | mismatch     | none      | idempotency_key_reused         |
      | claim   | store_full   | none      | idempotency_store_full         |
      | claim   | unavailable  | none      | release                        |
      | claim   | absent       | none      | release                        |

  Scenario Outline: the idempotency key is checked
    When the router checks the key "<key>" on an idempotent route <idempotent>
    Then the router's key check gives <outcome>

    Examples:
      | key          | idempotent | outcome                  |
      | 1700000000-a | no         | accepted                 |
      | 1700000000-a | yes        | accepted                 |
      |              | yes        | accepted                 |
      |              | no         | idempotency_key_required |
      | abc          | no         | idempotency_key_invalid  |
      | 17-          | no         | idempotency_key_invalid  |
      | -a           | no         | idempotency_key_invalid  |
      | 17-a b       | no         | idempotency_key_invalid  |
      | 1-{x*199}    | no         | idempotency_key_invalid  |

  Scenario Outline: the longest path by whole segments decides
  A deposit that fell back to the idempotent route above it would be repeated.
    When the router matches <method> <path>
    Then the router's match is <outcome>

    Examples:
      | method | path                 | outcome            |
      | GET    | /sketch              | read               |
      | GET    | /sketch/x/y          | read               |
      | GET    | /sketchbook          | no_route           |
      | POST   | /sketch/deposit/1    | deposit            |
      | POST   | /sketch/%64eposit    | deposit            |
      | POST   | //sketch//deposit    | deposit            |
      | GET    | /sketch/deposit      | method_not_allowed |
      | POST   | /sketch/x/../deposit | no_route           |
      | POST   | /sketch/%2e%2e/model | no_route           |
      | GET    | /                    | no_route           |

  Scenario Outline: as text, <path> has the route <route> and its requests <repeat>
  A path is compared with the prefixes as it is written. A request that a backend
  server could take for one of an unsafe route must not be repeated.
    When a router that compares text gets <path>
    Then the router's match is <route>
    And its requests <repeat>

    Examples:
      | path                | route    | repeat          |
      | /jobs/x             | submit   | run at most once |
      | /jobs/list          | submit   | run at most once |
      | /jobs/list/         | list     | may be repeated |
      | /jobs/list/x//y     | list     | may be repeated |
      | /jobs/%6cist/x      | submit   | run at most once |
      | /jobs/list/%63ancel/x | list   | run at most once |
      | /jobs/list/cancel   | list     | run at most once |
      | /jobs/list/cancel/  | cancel   | run at most once |
      | /jobs/list//cancel/ | list     | run at most once |
      | /old/x              | old      | may be repeated |
      | /%c3%a9/x           | no_route | match nothing   |
      | /jobs               | no_route | match nothing   |
      | //jobs/x            | no_route | match nothing   |
      | /jobs/../list/x     | no_route | match nothing   |
      | /jobs/list/%2e%2e/x | no_route | match nothing   |

  Scenario Outline: a path of many segments is matched in time, <matching>
  Guards against a router that is busy for seconds with one long path.
    When 100 paths of 8,000 segments are matched by <matching>
    Then that took less than 5 seconds

    Examples:
      | matching |
      | segments |
      | text     |

  Scenario Outline: cost is measured while the answer passes
    When the router measures <meter> of "<content>" in chunks "<chunks>" after <elapsed> ms
    Then the router's cost is <cost>

    Examples:
      | meter   | content           | chunks                                                  | elapsed | cost |
      | slot_ms | text/plain        | abc                                                     | 250     | 250  |
      | tokens  | text/event-stream | data: a\n\nda,ta: b\n\n                                 | 9       | 2    |
      | tokens  | text/event-stream | data: a\n\n,data: [DONE]\n\n                            | 9       | 1    |
      | tokens  | text/event-stream | data: a\n\ndata: {"usage": {"total_tokens": 42}}\n\n    | 9       | 42   |
      | tokens  | application/json  | {"usage": {"total_,tokens": 7}}                         | 9       | 7    |
      | tokens  | application/json  | {"usage": null}                                         | 9       | 1    |
      | tokens  | text/plain        | abc                                                     | 9       | 1    |

  Scenario Outline: all faults of an announcement are named at once
    When the router checks an announcement with <changes>
    Then the router's faults of the announcement are "<faults>"

    Examples:
      | changes                                          | faults                    |
      | {}                                               |                           |
      | {"slots": 0, "port": 0, "host": "name"}          | host port slots           |
      | {"service": "nowhere", "data_centre": "z"}       | service data_centre       |
      | {"colour": "red", "load": -1, "service": "x"}    | service load colour       |
      | {"cache_events": [{"sequence": 1, "prefix": 2}]} | cache_events.0.prefix cache_events.0.stored |

  Scenario Outline: with <left> ms left of a stop, a request of a route with answers of <known> ms is <verdict>
  Guards against requests that are sent to a server shortly before their router ends.
  Nor may a router refuse everything as soon as it is told to stop.
    When a stopping router has <left> ms, a request <deadline> ms and its route had answers of <known> ms
    Then the request is <verdict>

    Examples:
      | left  | deadline | known             | verdict |
      | 7000  | 10000    | none              | sent    |
      | 1     | 10000    | none              | sent    |
      | 0     | 10000    | none              | refused |
      | -50   | 10000    | none              | refused |
      | 2000  | 10000    | 500               | sent    |
      | 900   | 10000    | 500               | refused |
      | 900   | 800      | 5000              | sent    |
      | 700   | none     | 500 500 500 500 500 500 500 500 500 500 500 500 | sent |
      | 3000  | 10000    | 500 500 500 500 500 500 500 500 6000 | refused |
      | 5000  | 10000    | 1000 2000 3000 1000 2000 3000 1000 2000 3000 | sent |
      | 2500  | 10000    | 1000 2000 3000 1000 2000 3000 1000 2000 3000 | refused |

  Scenario Outline: a request with <left> ms that waited <waited> ms on a route of <limit> ms has <time> ms
    Guards against servers that are given time which their callers no longer have (GONE).

    Then a request with <left> ms that waited <waited> ms on a route of <limit> ms has <time> ms

    Examples:
      | left | waited | limit | time |
      | 900  | 0      | 2000  | 900  |
      | 900  | 300    | 2000  | 600  |
      | 5000 | 300    | 2000  | 1700 |
      | none | 300    | 2000  | 1700 |
      | 900  | 900    | 2000  | 0    |
      | 900  | 9000   | none  | 0    |
      | none | 9000   | none  | None |
