@fixture.fleet @matrix
Feature: An accepted configuration is never lost and never reverts under a fault

  A fault between the operator's request and the push to the routers must not
  lose an answered change, apply it twice, or show an older number again.

  Scenario Outline: configuration | <step> | <fault>
    When the fault "<fault>" strikes a matrix configuration change at step <step>
    Then the matrix change is kept and the number grew by one
    And no matrix process has shown a lower number than before

    Examples:
      | step      | fault                           |
      | proposed  | none                            |
      | proposed  | router killed                   |
      | proposed  | router restarts empty           |
      | proposed  | router cut both ways            |
      | proposed  | router cut one way in           |
      | proposed  | router frozen                   |
      | proposed  | links reset                     |
      | proposed  | leader killed                   |
      | proposed  | leader's disk lost              |
      | proposed  | leader cut both ways            |
      | proposed  | leader cut for 8 s              |
      | proposed  | leader frozen                   |
      | proposed  | router cut one way out          |
      | proposed  | slow links                      |
      | proposed  | follower killed                 |
      | proposed  | all controllers restart         |
      | proposed  | router cut and leader killed    |
      | proposed  | router frozen and leader killed |
      | committed | none                            |
      | committed | router killed                   |
      | committed | router restarts empty           |
      | committed | router cut both ways            |
      | committed | router cut one way in           |
      | committed | router frozen                   |
      | committed | links reset                     |
      | committed | leader killed                   |
      | committed | leader's disk lost              |
      | committed | leader cut both ways            |
      | committed | leader cut for 8 s              |
      | committed | leader frozen                   |
      | committed | router cut one way out          |
      | committed | slow links                      |
      | committed | follower killed                 |
      | committed | all controllers restart         |
      | committed | router cut and leader killed    |
      | committed | router frozen and leader killed |
      | in_force  | none                            |
      | in_force  | router killed                   |
      | in_force  | router restarts empty           |
      | in_force  | router cut both ways            |
      | in_force  | router cut one way in           |
      | in_force  | router frozen                   |
      | in_force  | links reset                     |
      | in_force  | leader killed                   |
      | in_force  | leader's disk lost              |
      | in_force  | leader cut both ways            |
      | in_force  | leader cut for 8 s              |
      | in_force  | leader frozen                   |
      | in_force  | router cut one way out          |
      | in_force  | slow links                      |
      | in_force  | follower killed                 |
      | in_force  | all controllers restart         |
      | in_force  | router cut and leader killed    |
      | in_force  | router frozen and leader killed |
