Feature: The demonstration shows what the fleet does

  A newcomer's first command must not end half-way or hide a failed step.

  Scenario: the demonstration runs through all its steps
    When the command line "demo" runs for at most 60 s
    Then the command exits with 0 and prints "rollout done"
    And the command exits with 0 and prints "idempotency_key_required"
    And the command exits with 0 and prints "drained:  20 from a"
    And the command exits with 0 and prints "stored answer: true"
