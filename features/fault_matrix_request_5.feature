@fixture.fleet @matrix
Feature: An answer that has begun is whole or visibly broken under a fault

  A fault must not shorten a stream unseen, mix two runs of its request or end
  an answer that does not need the part that failed.

  Scenario Outline: request | <step> | <fault>
    When the fault "<fault>" strikes a matrix stream at step <step>
    Then the matrix stream is <end> and its words come from one run
    And the matrix fleet serves again with its newest environment

    Examples:
      | step       | fault         | end    |
      | first byte | none          | whole  |
      | first byte | router killed | broken |
      | first byte | leader killed | whole  |
      | first byte | server frozen | whole  |
      | first byte | server killed | broken |
      | first byte | links reset   | whole  |
      | streaming  | none          | whole  |
      | streaming  | router killed | broken |
      | streaming  | leader killed | whole  |
      | streaming  | server frozen | whole  |
      | streaming  | server killed | broken |
      | streaming  | links reset   | whole  |
