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

  Scenario Outline: a process that cannot start says why
    An operator or supervisor must see the file or port at fault. A second
    process on a data folder would cut off a record that the first one writes.

    Given command line settings of a running <role>
    And the command line settings have <fault>
    When the command line "<role> {document}" runs
    Then the command exits with 1 and prints "<text>"

    Examples:
      | role       | fault                  | text                             |
      | router     | a port in use          | cannot start: Couldn't listen on |
      | controller | an empty key file      | shared.key is empty              |
      | controller | an empty token file    | token is empty                   |
      | controller | a data folder in use   | is in use by another process     |

  Scenario Outline: wrong use of the command line counts as invalid input
    The exit code 1 is reserved for refused changes.

    When the command line "<line>" runs
    Then the command exits with 2 and prints "<text>"

    Examples:
      | line           | text                          |
      | drain          | missing: "data_centre"        |
      | drain a --none | "--none" does not exist       |
      | rollout        | rollout start                 |

  Scenario Outline: the clock of a <role> goes on while its VM sleeps
    A leader that wakes up would otherwise trust a lease that has run out, and a
    router a grant whose slot has been given away.

    Given command line settings of a running <role>
    When the <role> command builds its process and the VM then sleeps for 60 s
    Then the clock of the built process shows 60 s more

    Examples:
      | role       |
      | router     |
      | controller |

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
