Feature: The leading controller keeps idempotency keys

  A key that two routers could both claim would run a request twice.

  Scenario Outline: <what>
    Given a shared group of 3 controllers
    And fake routers "k1" and "k2" at the leader
    When a key is used as: <steps>
    Then the answers about the key are: <answers>

    Examples:
      | what                                   | steps                                               | answers                         |
      | an unused key is absent                | k1 lookup                                           | absent                          |
      | one router gets the claim              | k1 claim, k2 claim, k1 claim                        | claimed, running, running       |
      | a claimed key is running               | k1 claim, k2 lookup                                 | claimed, running                |
      | another request with the key differs   | k1 claim, k2 lookup-other, k2 claim-other           | claimed, mismatch, mismatch     |
      | an answer is kept                      | k1 claim, k1 answer, k2 lookup, k2 claim            | claimed, answered, answered, answered |
      | an unknown end is kept                 | k1 claim, k1 unknown, k2 lookup, k2 claim           | claimed, may_have_run, may_have_run, may_have_run |
      | a released key is free                 | k1 claim, k1 release, k2 claim                      | claimed, absent, claimed        |
      | only the owner releases                | k1 claim, k2 release, k2 lookup                     | claimed, running, running       |
      | a lost owner's request may have run    | k1 claim, k1 dies, k2 lookup, k2 claim              | claimed, may_have_run, may_have_run |

  Scenario: a key dated too far ahead is invalid
    Given a shared group of 3 controllers
    And fake routers "k1" and "k2" at the leader
    When a key dated 400 s ahead is looked up and claimed
    Then the answers about the key are: invalid, invalid

  Scenario: a claim survives kill -9 of the leader
    Given a group of 3 controllers
    And fake routers "k1" and "k2" at the leader
    When a key is used as: k1 claim
    And the controller group meets kill -9 of the leader
    And fake routers "k3" and "k4" connect to the new leader
    And after 2.5 s a key is used as: k3 claim
    Then the answers about the key are: claimed, may_have_run

  Scenario: 200 claims at once share disk writes
    Given a shared group of 3 controllers
    And fake routers "k1" and "k2" at the leader
    When "k1" claims 200 keys at once
    Then all 200 keys are claimed with fewer than 100 syncs at the leader
