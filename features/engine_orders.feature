Feature: The leader orders model engines to load versions

  Scenario: the leader is killed between an order and its answer
    Guards against a second order to an engine that ignores fencing numbers
    while the first may still take effect. At an engine that checks them, it
    guards against an old order that wins. A service without orders must be left
    alone.

    Given a fleet with the engines "checks" and "ignores" that hold orders
    When the environment wants "v2" of all services
    And the leader is killed once both engines have an order
    And the engines go on once the new leader has read both back
    Then both engines run "v2", as the status of the new leader says
    And "ignores" has applied 1 order and has never had 2 at a time
    And "checks" has ended at the order with the highest number
    And the server of the service without orders got no order

  Scenario: a trial moves one engine, and taking back moves it back
    Guards against a rollout that reaches no engine or leaves one behind.

    Given a fleet with the engines "checks" and "ignores" that take orders
    When the environment wants "v1" of all services
    And an operator starts a rollout of the engines to "v2"
    Then 1 engine announces "v2" and the orders have a reason in the log
    When an operator takes the rollout of the engines back
    Then 0 engines announce "v2" and the orders have a reason in the log

  Scenario Outline: an engine answers without end, <pace>
    Guards against a leader whose memory an engine fills, and against calls that
    go on after their time limit.

    Given a fleet with the engines "checks" and "ignores" that take orders
    When both engines send <bytes> bytes/s without end to calls about orders
    And the environment wants "v2" of all services within 1 s an answer
    Then the leader logs and counts failed calls to both engines as "<cause>"
    And both engines have at most 1 endless answer under way for 3 s
    When both engines answer calls about orders as they should
    Then both engines run "v2", as the status of the new leader says

    Examples:
      | pace         | bytes    | cause     |
      | byte by byte | 20       | timeout   |
      | very fast    | 10000000 | too_large |

  Scenario: an order that was lost on the way does not block its engine
    Guards against an engine that ignores numbers and gets no order until it
    restarts, and against a second order before the bound has passed.

    Given a fleet with the engines "checks" and "ignores" that lose orders
    When the environment wants "v2" with order delays of at most 3 s
    And "ignores" has lost 2 orders
    Then the first order to "ignores" was recorded as "lost" after 3 s at least
    When both engines take orders again
    Then both engines run "v2", as the status of the new leader says
    And "ignores" has applied 1 order and has never had 2 at a time

  Scenario Outline: a leader that is <stopped> may still send its order
    Guards against a new leader that ends an order which an earlier leader can
    still send, and against an engine that stays blocked after its return. A
    connection that ends without a reset may still deliver its last bytes.

    Given a fleet with the engines "checks" and "ignores" that lose orders
    When the environment wants "v2" with order delays of at most 1 s
    And the leader is <stopped> once "ignores" has lost an order
    Then "ignores" gets no other order for 6 s under a new leader
    When both engines take orders again
    And the leader that was <stopped> comes back
    Then "ignores" saw the connections of all lost orders reset
    And both engines run "v2", as the status of the new leader says
    And "ignores" has applied 1 order and has never had 2 at a time

    Examples:
      | stopped |
      | frozen  |
      | killed  |

  Scenario: an operator ends an order that is known to be over
    Guards against an engine that stays blocked where no bound is known, and
    against ending another order than the one that was checked.

    Given a fleet with the engines "checks" and "ignores" that lose orders
    When the environment wants "v2" of all services within 5 s an answer
    Then the command to clear the order to "ignores" is refused as "being sent"
    And "ignores" gets no other order for 8 s
    When both engines take orders again
    Then the command to clear a later order to "ignores" is refused as "the latest order"
    When an operator clears the order to "ignores"
    Then both engines run "v2", as the status of the new leader says
    And the log of the leader says who cleared the order
