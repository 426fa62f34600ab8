Feature: A process never waits for the reader of its log

  Guards against a fleet that stands still because a log collector does.

  Scenario: a reader that stops reading loses lines and is told how many
    When a process writes 20000 lines to a pipe that nobody reads
    Then it ends within 20 s
    And the pipe holds whole lines
    When the reader is back before the process writes 10 more lines
    Then one line tells how many were dropped and the 10 lines follow
