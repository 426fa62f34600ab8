@fixture.slow_fleet @matrix
Feature: A request that may not be repeated survives every fault (granted and recorded)

  The links have a delay of 150 ms each way, so that a fault can strike between
  two steps of a request. A fault must not run the request twice, make a
  refusal untrue, or keep the fleet from serving afterwards.

  Scenario Outline: request | <step> | <fault>
    When the fault "<fault>" strikes a matrix request at step <step>
    Then the matrix request ran at most once and its answers are true
    And the matrix fleet serves again with its newest environment

    Examples:
      | step       | fault                           |
      | granted    | none                            |
      | granted    | router killed                   |
      | granted    | router restarts empty           |
      | granted    | router cut both ways            |
      | granted    | router cut one way out          |
      | granted    | router cut one way in           |
      | granted    | router frozen                   |
      | granted    | slow links                      |
      | granted    | links reset                     |
      | granted    | leader killed                   |
      | granted    | leader's disk lost              |
      | granted    | leader cut both ways            |
      | granted    | leader frozen                   |
      | granted    | follower killed                 |
      | granted    | server killed                   |
      | granted    | server frozen                   |
      | granted    | server turns cold               |
      | granted    | leader and server killed        |
      | granted    | router cut and leader killed    |
      | granted    | router frozen and leader killed |
      | recorded   | none                            |
      | recorded   | router killed                   |
      | recorded   | router restarts empty           |
      | recorded   | router cut both ways            |
      | recorded   | router cut one way out          |
      | recorded   | router cut one way in           |
      | recorded   | router frozen                   |
      | recorded   | slow links                      |
      | recorded   | links reset                     |
      | recorded   | leader killed                   |
      | recorded   | leader's disk lost              |
      | recorded   | leader cut both ways            |
      | recorded   | leader frozen                   |
      | recorded   | follower killed                 |
      | recorded   | server killed                   |
      | recorded   | server frozen                   |
      | recorded   | server turns cold               |
      | recorded   | leader and server killed        |
      | recorded   | router cut and leader killed    |
      | recorded   | router frozen and leader killed |
