Feature: A request with an idempotency key runs at most once

  Scenario Outline: the record of a key decides before anything is sent
  A request whose outcome is not known must not run again, and the refusal must
  not promise that it has not run.
    Given a shared router whose leader answers <message> with <state>
    When the router's caller requests POST /sketch/deposit
    Then the router's caller gets <status> <kind> with execution <execution>
    And the router's backend servers ran 0 request
    And the router gave back the grants it had

    Examples:
      | message   | state        | status | kind                    | execution    |
      | KeyLookup | running      | 409    | request_still_running   | may_have_run |
      | KeyLookup | may_have_run | 409    | outcome_unknown         | may_have_run |
      | KeyLookup | mismatch     | 422    | idempotency_key_reused  | not_run      |
      | KeyLookup | expired      | 422    | idempotency_key_expired | may_have_run |
      | KeyLookup | unavailable  | 503    | control_unavailable     | may_have_run |
      | KeyClaim  | running      | 409    | request_still_running   | may_have_run |
      | KeyClaim  | may_have_run | 409    | outcome_unknown         | may_have_run |
      | KeyClaim  | mismatch     | 422    | idempotency_key_reused  | not_run      |
      | KeyClaim  | store_full   | 503    | idempotency_store_full  | not_run      |

  Scenario Outline: a resend gets what is known of the first request
    Given a shared router with 1 fake backend servers
    When the router's caller sends a deposit twice with do=<act>
    Then the router's first deposit is <first> and the second is <second>
    And the router's backend servers ran 1 request

    Examples:
      | act              | first | second          |
      | ok               | whole | replayed        |
      | stream           | whole | replayed        |
      | status&code=500  | whole | replayed        |
      | status&code=204  | whole | replayed        |
      | large&bytes=65536 | whole | replayed       |
      | large&bytes=65537 | whole | answer_not_kept |
      | cut_length       | cut   | outcome_unknown |
      | drop             | 502   | outcome_unknown |
      | status&code=000  | 502   | outcome_unknown |
      | status&code=%2B200 | 502 | outcome_unknown |

  Scenario: two requests with one key at the same time run once
    Given a router with 1 fake backend servers
    When the router's callers send 5 deposits with one key at the same time
    Then one deposit of the router ran and 4 were refused as request_still_running

  Scenario: the key of a running request with another body is refused
    Given a router with 1 fake backend servers
    When the router's caller sends another deposit with the key of a running one
    Then the router's caller gets 422 idempotency_key_reused with execution not_run

  Scenario Outline: the caller sees the end only once the answer is recorded
  A caller that saw the end and then asks another router must find the record.
    Given a router with 1 fake backend servers
    And the router's leader ignores the first KeyOutcome
    When the router's caller requests POST /sketch/deposit?do=<act>
    Then the router's caller waited for the second KeyOutcome and got <status>

    Examples:
      | act             | status |
      | stream          | 200    |
      | ok              | 200    |
      | status&code=204 | 204    |

  Scenario: an outcome is repeated after the control connection was lost
    Given a router with 1 fake backend servers
    When the router loses its leader during a deposit and the leader returns
    Then the router's caller gets 200 with its own answer
    And the router's leader has the answer in its record

  Scenario Outline: a running request with a key goes on when its caller leaves
    Given a router with 1 fake backend servers
    When the router's caller leaves during a deposit with do=<act> and asks again
    Then the router's caller gets the stored answer
    And the router's backend servers ran 1 request

    Examples:
      | act                       |
      | slow&pause=0.4            |
      | stream&events=8&pause=.05 |

  Scenario Outline: a claim whose request was not sent is released first
  A claim that is left behind would block its key for good, and a second claim
  before the release is confirmed could be released while its request runs.
    Given a router with 1 fake backend servers
    And the router's first claim ends with <fault>
    When the router's caller requests POST /sketch/deposit
    Then the router's caller gets 200 with its own answer
    And the router sent KeyClaim, KeyRelease and KeyClaim in this order
    And the router's backend servers ran 1 request

    Examples:
      | fault              |
      | an expired grant   |
      | a lost connection  |
      | a refused commit   |

  Scenario: a resend to another router does not run a second time
    Given 2 routers with one leader
    When the router's caller sends a deposit, its router is killed and the caller asks the other one
    Then the router's caller gets 409 request_still_running with execution may_have_run
    And the router's backend servers ran 1 request
