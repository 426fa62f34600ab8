Feature: Idempotency records in the replicated state

  Guards against running a request twice that may run once only.

  Scenario Outline: every command in every state of a replicated key
    Given the replicated key of r1 is <before>
    When <owner> sends <command> for the replicated key
    Then the replicated key answers <answer> and is <after>

    Examples:
      | before       | owner | command       | answer       | after        |
      | absent       | r1    | claim         | granted      | claimed      |
      | absent       | r1    | answer        | absent       | absent       |
      | absent       | r1    | unknown       | absent       | absent       |
      | absent       | r1    | release       | absent       | absent       |
      | claimed      | r1    | claim         | running      | claimed      |
      | claimed      | r2    | claim         | running      | claimed      |
      | claimed      | r2    | other request | mismatch     | claimed      |
      | claimed      | r1    | answer        | answered     | answered     |
      | claimed      | r2    | answer        | running      | claimed      |
      | claimed      | r1    | unknown       | may_have_run | may_have_run |
      | claimed      | r2    | unknown       | running      | claimed      |
      | claimed      | r1    | release       | absent       | absent       |
      | claimed      | r2    | release       | running      | claimed      |
      | answered     | r1    | claim         | answered     | answered     |
      | answered     | r2    | claim         | answered     | answered     |
      | answered     | r2    | other request | mismatch     | answered     |
      | answered     | r1    | answer        | answered     | answered     |
      | answered     | r2    | answer        | answered     | answered     |
      | answered     | r1    | unknown       | answered     | answered     |
      | answered     | r1    | release       | answered     | answered     |
      | answered     | r2    | release       | answered     | answered     |
      | may_have_run | r1    | claim         | may_have_run | may_have_run |
      | may_have_run | r2    | claim         | may_have_run | may_have_run |
      | may_have_run | r2    | other request | mismatch     | may_have_run |
      | may_have_run | r1    | answer        | answered     | answered     |
      | may_have_run | r2    | answer        | may_have_run | may_have_run |
      | may_have_run | r1    | unknown       | may_have_run | may_have_run |
      | may_have_run | r1    | release       | may_have_run | may_have_run |
      | may_have_run | r2    | release       | may_have_run | may_have_run |
      | released     | r1    | claim         | granted      | claimed      |
      | released     | r2    | claim         | granted      | claimed      |
      | expired      | r1    | claim         | expired      | absent       |
      | expired      | r2    | claim         | expired      | absent       |
      | expired      | r1    | answer        | absent       | absent       |

  Scenario Outline: a lookup of a replicated key
    Given the replicated key of r1 is <before>
    Then a lookup of the replicated key with <digest> and live owners <live> finds <state>

    Examples:
      | before       | digest | live  | state        |
      | absent       | same   | r1    | absent       |
      | claimed      | same   | r1,r2 | running      |
      | claimed      | same   | r2    | may_have_run |
      | claimed      | other  | r1    | mismatch     |
      | answered     | same   | r2    | answered     |
      | answered     | other  | r2    | mismatch     |
      | may_have_run | same   | r1    | may_have_run |
      | released     | same   | r1    | absent       |
      | expired      | same   | r1    | expired      |

  Scenario Outline: the replicated floor refuses keys by their date
    Given the replicated key of r1 is expired
    When r2 claims the replicated key <key> of workspace <workspace>
    Then the replicated claim is <answer>

    Examples:
      | key                    | workspace | answer  |
      | 1700000000-x           | w         | expired |
      | 1699999999-x           | w         | expired |
      | 1700000001-x           | w         | claimed |
      | 1700000000-x           | other     | claimed |
      | no date                | w         | expired |
      | -1                     | other     | expired |
      | 0-x                    | other     | expired |
      | 1700000001             | w         | expired |
      | ١٧٠٠٠٠٠٠٠١-x           | w         | expired |
      | 1111111111111-x        | w         | expired |

  Scenario Outline: a replicated record lives for the retention period
    Given the replicated key of r1 is <before>
    When <seconds> s of leader-counted time pass with a replicated retention of 50 s
    Then the replicated key is <after>

    Examples:
      | before       | seconds | after    |
      | claimed      | 49.5    | claimed  |
      | claimed      | 50      | absent   |
      | answered     | 49.5    | answered |
      | answered     | 50      | absent   |
      | may_have_run | 50      | absent   |

  Scenario: a replicated key claimed again after a release lives from then on
    Given the replicated key of r1 is released
    When 30 s of leader-counted time pass with a replicated retention of 50 s
    And r2 sends claim for the replicated key
    And 30 s of leader-counted time pass with a replicated retention of 50 s
    Then the replicated key is claimed

  Scenario Outline: a full replicated store refuses new keys and keeps the old ones
    Given a replicated store that is full by <bound>
    When r2 claims the replicated key 1700000001-x of workspace w
    Then the replicated claim is store_full
    And all keys of the replicated store are kept
    When the retention of the replicated store has passed
    And r2 claims the replicated key 1700000002-x of workspace w
    Then the replicated claim is claimed

    Examples:
      | bound |
      | count |
      | bytes |

  Scenario Outline: large answers are not kept in the replicated store
    Given the replicated key of r1 is claimed
    When r1 records a replicated answer of <bytes> bytes
    Then the stored replicated answer has <kept> bytes and truncated is <truncated>

    Examples:
      | bytes | kept  | truncated |
      | 65536 | 65536 | False     |
      | 65537 | 0     | True      |

  Scenario: claims and expiry do not slow down with the replicated keys held
    Given a replicated store with 40000 keys
    Then a replicated claim takes less than 10 times as long as with 400 keys
    And a replicated checkpoint takes less than 10 times as long as with 400 keys
