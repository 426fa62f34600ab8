@fixture.slow_fleet @matrix
Feature: A request that may not be repeated survives every fault (received and queued)

  The links have a delay of 150 ms each way, so that a fault can strike between
  two steps of a request. A fault must not run the request twice, make a
  refusal untrue, or keep the fleet from serving afterwards.

  Scenario Outline: request | <step> | <fault>
    When the fault "<fault>" strikes a matrix request at step <step>
    Then the matrix request ran at most once and its answers are true
    And the matrix fleet serves again with its newest environment

    Examples:
      | step       | fault                           |
      | received   | none                            |
      | received   | router killed                   |
      | received   | router restarts empty           |
      | received   | router cut both ways            |
      | received   | router cut one way out          |
      | received   | router cut one way in           |
      | received   | router frozen                   |
      | received   | slow links                      |
      | received   | links reset                     |
      | received   | leader killed                   |
      | received   | leader's disk lost              |
      | received   | leader cut both ways            |
      | received   | leader frozen                   |
      | received   | follower killed                 |
      | received   | server killed                   |
      | received   | server frozen                   |
      | received   | server turns cold               |
      | received   | leader and server killed        |
      | received   | router cut and leader killed    |
      | received   | router frozen and leader killed |
      | queued     | none                            |
      | queued     | router killed                   |
      | queued     | router restarts empty           |
      | queued     | router cut both ways            |
      | queued     | router cut one way out          |
      | queued     | router cut one way in           |
      | queued     | router frozen                   |
      | queued     | slow links                      |
      | queued     | links reset                     |
      | queued     | leader killed                   |
      | queued     | leader's disk lost              |
      | queued     | leader cut both ways            |
      | queued     | leader frozen                   |
      | queued     | follower killed                 |
      | queued     | server killed                   |
      | queued     | server frozen                   |
      | queued     | server turns cold               |
      | queued     | leader and server killed        |
      | queued     | router cut and leader killed    |
      | queued     | router frozen and leader killed |
