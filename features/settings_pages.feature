Feature: Pages and examples agree with the code

  An operator who follows a page must not meet a field, an error kind or a
  metric that the page does not know, or one that is gone.

  Scenario Outline: the settings page lists the fields of a data class
    Then the settings page lists exactly the fields and defaults of <class>

    Examples:
      | class       |
      | Settings    |
      | Peer        |
      | Address     |
      | TlsFiles    |
      | DutySettings |
      | Environment |
      | CallerLimits |
      | Workspace   |
      | Service     |
      | OrderSettings |
      | Scaling     |
      | Route       |
      | DataCentre  |
      | RolloutPlan |

  Scenario: the refusals page lists every error kind with its answer
    Then the refusals page lists exactly the error kinds with status and execution

  Scenario: the refusals page lists every event that the code logs
    Then the refusals page lists exactly the events that the code logs

  Scenario: the operations page lists the exit codes
    Then the operations page lists exactly the exit codes

  Scenario Outline: <page> shows only commands and options that exist
    Then the command lines of <page> fit the command line of the program

    Examples:
      | page               |
      | README.md          |
      | docs/OPERATIONS.md |

  Scenario Outline: an example document is valid
    Then the example <file> has no fault

    Examples:
      | file              |
      | chora.json        |
      | karoo.json        |
      | router.json       |
      | controller-1.json |
      | controller-2.json |
      | controller-3.json |
      | loopback/controller-1.json |
      | loopback/controller-2.json |
      | loopback/controller-3.json |
      | loopback/controller-4.json |
      | loopback/router-1.json     |
      | loopback/router-2.json     |
      | loopback/router-3.json     |

  Scenario Outline: an example environment has the size and routes of its deployment
    Then the example environment <name> has 16 workspaces in 3 data centres of <region>
    And the digests of the example environment <name> are those of the documented tokens
    And in the example environment <name> only <routes> may not be repeated

    Examples:
      | name  | region     | routes          |
      | chora | ke-central | booking.deposit |
      | karoo | za-gauteng | queue.print     |

  Scenario Outline: every metric that a process serves is on the refusals page
    Given command line settings of a running <role>
    When the metrics of the started <role> process are read
    Then the refusals page lists these metrics

    Examples:
      | role       |
      | router     |
      | controller |
