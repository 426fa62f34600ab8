@fixture.fleet @matrix
Feature: A drained data centre gets no new work under a fault and returns

  A router that acts on old grants or an old environment must not start work in
  a drained data centre, and a fault must not cut running requests or keep the
  data centre from returning.

  Scenario Outline: drain | <change>, answer <answer> | <fault>
    When the fault "<fault>" strikes a matrix <change> of a data centre, answer <answer>
    Then no matrix work starts in the drained data centre after 2 s
    And the matrix requests that ran at the drain ended whole
    And the matrix drain without a fault causes no error

    Examples:
      | change  | fault                           | answer   |
      | drain   | none                            | received |
      | drain   | router cut both ways            | received |
      | drain   | router cut one way out          | received |
      | drain   | router cut one way in           | received |
      | drain   | router frozen                   | received |
      | drain   | leader killed                   | received |
      | drain   | leader cut both ways            | received |
      | drain   | all controllers restart         | received |
      | drain   | router cut and leader killed    | received |
      | drain   | slow links                      | received |
      | drain   | links reset                     | received |
      | drain   | leader cut for 8 s              | received |
      | drain   | leader frozen                   | received |
      | drain   | follower killed                 | received |
      | drain   | router frozen and leader killed | received |
      | drain   | none                            | lost     |
      | drain   | leader killed                   | lost     |
      | restore | none                            | received |
      | restore | router cut both ways            | received |
      | restore | router frozen                   | received |
      | restore | leader killed                   | received |
      | restore | all controllers restart         | received |
      | restore | leader killed                   | lost     |
