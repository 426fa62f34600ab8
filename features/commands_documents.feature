Feature: Commands check documents and run the two roles

  A process must not start with faulty settings, and a stop by a signal must
  count as success.

  Scenario Outline: check tells both kinds of document apart
    Given a command line document with <content>
    When the command line "check {document}" runs
    Then the command exits with <code> and prints "<text>"

    Examples:
      | content            | code | text                                  |
      | a valid environment | 0   | valid environment document            |
      | valid settings      | 0   | valid process settings                |
      | a zero weight       | 2   | $.workspaces[0].weight: a weight is   |
      | no callers' port    | 2   | $.callers: is required for the role   |
      | broken text         | 2   | $: is not JSON                        |

  Scenario Outline: a process with faulty settings does not start
    Given a command line document with <content>
    When the command line "<role> {document}" runs
    Then the command exits with 2 and prints "<text>"

    Examples:
      | role       | content          | text                     |
      | router     | no callers' port | $.callers: is required   |
      | controller | valid settings   | $.role: must be          |

  Scenario Outline: a signal stops a process gracefully
    Given command line settings of a running <role>
    When the <role> process is started and gets <signal> once it answers
    Then the process exits with 0

    Examples:
      | role       | signal  |
      | router     | SIGTERM |
      | router     | SIGINT  |
      | controller | SIGTERM |
      | controller | SIGINT  |
