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
