@fixture.slow_fleet @matrix
Feature: A request that may not be repeated survives every fault (answered and charged)

  The links have a delay of 150 ms each way, so that a fault can strike between
  two steps of a request. A fault must not run the request twice, make a
  refusal untrue, or keep the fleet from serving afterwards.

  Scenario Outline: request | <step> | <fault>
    When the fault "<fault>" strikes a matrix request at step <step>
    Then the matrix request ran at most once and its answers are true
    And the matrix fleet serves again with its newest environment

    Examples:
      | step       | fault                           |
      | answered   | none                            |
      | answered   | router killed                   |
      | answered   | router restarts empty           |
      | answered   | router cut both ways            |
      | answered   | router cut one way out          |
      | answered   | router cut one way in           |
      | answered   | router frozen                   |
      | answered   | slow links                      |
      | answered   | links reset                     |
      | answered   | leader killed                   |
      | answered   | leader's disk lost              |
      | answered   | leader cut both ways            |
      | answered   | leader frozen                   |
      | answered   | follower killed                 |
      | answered   | server killed                   |
      | answered   | server frozen                   |
      | answered   | server turns cold               |
      | answered   | leader and server killed        |
      | answered   | router cut and leader killed    |
      | answered   | router frozen and leader killed |
      | charged    | none                            |
      | charged    | router killed                   |
      | charged    | router restarts empty           |
      | charged    | router cut both ways            |
      | charged    | router cut one way out          |
      | charged    | router cut one way in           |
      | charged    | router frozen                   |
      | charged    | slow links                      |
      | charged    | links reset                     |
      | charged    | leader killed                   |
      | charged    | leader's disk lost              |
      | charged    | leader cut both ways            |
      | charged    | leader frozen                   |
      | charged    | follower killed                 |
      | charged    | server killed                   |
      | charged    | server frozen                   |
      | charged    | server turns cold               |
      | charged    | leader and server killed        |
      | charged    | router cut and leader killed    |
      | charged    | router frozen and leader killed |
