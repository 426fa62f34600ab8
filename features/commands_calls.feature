Feature: Operators' commands find the leader and tell the outcome

  An operator must learn from the exit code whether a change took effect.

  Scenario Outline: the exit code tells what happened
    Given fake controllers that answer <first> and <second>
    When the operators' command "<command>" runs with a time limit of 1 s
    Then the command exits with <code> and prints "<text>"

    Examples:
      | first      | second | command                       | code | text                        |
      | accepted   | none   | drain a                       | 0    | (number 8)                  |
      | follower   | none   | restore a                     | 0    | (number 8)                  |
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
