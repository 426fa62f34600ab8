Feature: Operators' commands repeat a change safely and show state

  A lost answer must not make the same change twice, and an operator must see
  what a document changes before it is in force.

  Scenario Outline: an unknown outcome leads to a resend with the same operation
    Given fake controllers that answer <first> and <second>
    When the operators' command "<command>" runs with a time limit of 5 s
    Then the command exits with 0 and prints "(number 8)"
    And every change sent carries the same operation id, at least 2 times
    And the operation id was printed

    Examples:
      | first                 | second   | command                  |
      | lost then accepted    | none     | drain a                  |
      | lost                  | accepted | drain a                  |
      | unavailable then accepted | none | rollout start sketch v2  |
      | broken then accepted  | none     | repair c4 --control 127.0.0.1:1 --operators 127.0.0.1:2 --replaces c1 |

  Scenario: a resend by hand repeats the given operation id
    Given fake controllers that answer accepted and none
    When the operators' command "drain a --operation op-7 --operator ann --expected 7" runs with a time limit of 2 s
    Then the command exits with 0 and prints "(number 8)"
    And the change sent was PUT /v1/data-centres/a with
      """
      {"operation": "op-7", "operator": "ann", "expected": 7, "state": "drained"}
      """

  Scenario: apply without an expected number reads it and shows the changes
    Given fake controllers that answer accepted and none
    When the operators' command "apply {document}" runs with a time limit of 2 s
    Then the command exits with 0 and prints "$.workspaces[north].weight: 1.0 -> 2.0"
    And the change sent expects number 7

  Scenario: a change whose output is closed is not reported as done
    Given fake controllers that answer accepted and none
    When the operators' command apply runs with its output closed
    Then the command exits with 4 and prints "the output was closed"

  Scenario Outline: state is printed as a table or as JSON
    Given fake controllers that answer accepted and none
    When the operators' command "<command>" runs with a time limit of 2 s
    Then the command exits with 0 and prints "<text>"

    Examples:
      | command               | text                    |
      | status                | leader c1, term 3       |
      | status                | r1  a            6       True |
      | status --json         | "lagging": true         |
      | rollout status        | move-1  sketch   v1    v2  trial |
      | rollout status --json | "phase": "trial"        |
