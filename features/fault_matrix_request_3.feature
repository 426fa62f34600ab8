@fixture.slow_fleet @matrix
Feature: A request that may not be repeated survives every fault (dispatched)

  The links have a delay of 150 ms each way, so that a fault can strike between
  two steps of a request. A fault must not run the request twice, make a
  refusal untrue, or keep the fleet from serving afterwards.

  Scenario Outline: request | <step> | <fault>
    When the fault "<fault>" strikes a matrix request at step <step>
    Then the matrix request ran at most once and its answers are true
    And the matrix fleet serves again with its newest environment

    Examples:
      | step       | fault                           |
      | dispatched | none                            |
      | dispatched | router killed                   |
      | dispatched | router restarts empty           |
      | dispatched | router cut both ways            |
      | dispatched | router cut one way out          |
      | dispatched | router cut one way in           |
      | dispatched | router frozen                   |
      | dispatched | slow links                      |
      | dispatched | links reset                     |
      | dispatched | leader killed                   |
      | dispatched | leader's disk lost              |
      | dispatched | leader cut both ways            |
      | dispatched | leader frozen                   |
      | dispatched | follower killed                 |
      | dispatched | server killed                   |
      | dispatched | server frozen                   |
      | dispatched | server turns cold               |
      | dispatched | leader and server killed        |
      | dispatched | router cut and leader killed    |
      | dispatched | router frozen and leader killed |
