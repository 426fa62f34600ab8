Feature: Operators' commands find the leader and tell the outcome

  An operator must learn from the exit code whether a change took effect, and a
  lost answer must not make the same change twice.

  Scenario Outline: the exit code tells what happened
    Given fake controllers that answer <first> and <second>
    When the operators' command "<command>" runs with a time limit of 1 s
    Then the command exits with <code> and prints "<text>"

    Examples:
      | first      | second | command                       | code | text                        |
      | accepted   | none   | drain a                       | 0    | (number 8)                  |
      | follower   | accepted | restore a                   | 0    | (number 8)                  |
      | no leader  | accepted | rollout take-back move-1    | 0    | (number 8)                  |
      | refused    | none   | drain a                       | 1    | number 8 was set by mary    |
      | forbidden  | none   | status                        | 1    | token is missing            |
      | invalid    | none   | rollout start sketch v2       | 2    | $.plan.service: is unknown  |
      | accepted   | none   | drain a --expected many       | 2    | --expected must be a number |
      | accepted   | none   | apply no-such-file.json       | 2    | cannot be read              |
      | accepted   | none   | repair c4 --control 127.0.0.1:1 | 2  | --operators is required     |
      | none       | none   | status                        | 3    | no leading controller       |
      | no leader  | none   | drain a                       | 3    | no leading controller       |
      | none       | none   | drain a                       | 3    | no leading controller       |
      | lost       | none   | drain a                       | 4    | the outcome is unknown      |
      | unavailable | none  | drain a                       | 4    | the outcome is unknown      |
      | lost       | none   | status                        | 3    | no leading controller       |

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
