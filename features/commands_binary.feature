@binary
Feature: The binary runs as a single process

  A loader that starts the program as its child would break the rule that a
  process starts no other process. The binary is built beforehand.

  Scenario Outline: a running role has no second process
    Given command line settings of a running <role>
    When the built binary runs as <role> until it answers
    Then /proc shows no process below the binary
    And the binary ends with 0 on SIGTERM

    Examples:
      | role       |
      | router     |
      | controller |
