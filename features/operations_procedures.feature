@procedures
Feature: The procedures of the operations page work as written

  The commands are read from docs/OPERATIONS.md and run as processes, against a
  fleet of processes under load, so that a page cannot name a command, an option
  or an order of steps that no longer works.

  Background:
    Given a documented fleet under a load of reads, streams and deposits

  Scenario Outline: a <victim> that lost its disk is replaced under load
    A replacement that counted before it had caught up would lose what was
    accepted once a second VM is lost.

    When the operator drains a data centre and applies a new workspace
    And the <victim> is lost with its disk
    And the operator follows "Replace a controller"
    And the leader is killed as soon as the repair has ended
    Then the drained data centre and the new workspace are in force
    And every answered deposit ran once and its answer is still known
    And no caller saw a cut answer or an "internal" refusal

    Examples:
      | victim   |
      | leader   |
      | follower |

  Scenario: day-to-day work and the restart of every process disturb no caller
    A router that stopped before its requests had ended would cut answers.

    When the operator runs the commands of "Day-to-day work" in turn
    And the operator follows "Restart or upgrade" for every process
    Then callers are answered through every router again
    And every answered deposit ran once and its answer is still known
    And no caller saw a cut answer or an "internal" refusal
