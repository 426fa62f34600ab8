Feature: Environment documents are checked before they are accepted

  A faulty document must not reach the routers, and the operator must see every
  fault of it in one run.

  Scenario: the base document of these tests has no fault
    Given a valid environment document
    Then the document has no fault

  Scenario Outline: one fault is reported with its path and rule
    Given a valid environment document
    When the value at <place> of the document becomes <value>
    Then the only fault of the document is at <path> with "<rule>"

    Examples: types
      | place                         | value    | path                          | rule                    |
      | $.workspaces[0].weight        | "2"      | $.workspaces[0].weight        | valid number            |
      | $.workspaces[0].weight        | true     | $.workspaces[0].weight        | valid number            |
      | $.workspaces[0].weight        | absent   | $.workspaces[0].weight        | is required             |
      | $.workspaces[0].wieght        | 1        | $.workspaces[0].wieght        | is not a known field    |
      | $.services[0].routes[0].pth   | "/a"     | $.services[0].routes[0].pth   | is not a known field    |
      | $.workspaces[0].max_queue     | 1.5      | $.workspaces[0].max_queue     | valid integer           |
      | $.services[0].routes          | {}       | $.services[0].routes          | must be an array        |
      | $.services[0].routes[1]       | []       | $.services[0].routes[1]       | must be an object       |
      | $.services[1].cost_meter      | "money"  | $.services[1].cost_meter      | 'slot_ms', 'tokens' or 'prompt_and_output' |
      | $.data_centres[0].state       | "gone"   | $.data_centres[0].state       | 'in_service' or         |
      | $.services[1].routes[0].idempotent | "yes" | $.services[1].routes[0].idempotent | valid boolean      |

    Examples: weights, times and limits
      | place                         | value    | path                          | rule                    |
      | $.workspaces[1].weight        | 0        | $.workspaces[1].weight        | above 0                 |
      | $.workspaces[1].weight        | -1       | $.workspaces[1].weight        | above 0                 |
      | $.workspaces[1].weight        | 1e999    | $.workspaces[1].weight        | above 0                 |
      | $.workspaces[1].weight        | NaN      | $.workspaces[1].weight        | above 0                 |
      | $.workspaces[1].max_queue     | 0        | $.workspaces[1].max_queue     | must be from 1          |
      | $.workspaces[1].max_connections | -4     | $.workspaces[1].max_connections | must be from 1        |
      | $.services[0].queue_timeout_s | 0        | $.services[0].queue_timeout_s | seconds                 |
      | $.services[0].queue_timeout_s | 30000    | $.services[0].queue_timeout_s | seconds                 |
      | $.services[0].answer_timeout_s | 60000   | $.services[0].answer_timeout_s | seconds                |
      | $.services[0].idle_timeout_s  | -1       | $.services[0].idle_timeout_s  | seconds                 |
      | $.rollouts[0].deadline_s      | 600000   | $.rollouts[0].deadline_s      | seconds                 |
      | $.rollouts[0].watch_s         | 0        | $.rollouts[0].watch_s         | seconds                 |
      | $.rollouts[0].watch_s         | 600      | $.rollouts[0].watch_s         | shorter than deadline_s |
      | $.key_retention_s             | 86400000 | $.key_retention_s             | seconds                 |

    Examples: limits of servers
      | place                         | value    | path                          | rule                    |
      | $.services[0].scaling         | {"min": 3, "max": 2} | $.services[0].scaling.max | must not be below min |
      | $.services[0].scaling         | {"min": -1, "max": 2} | $.services[0].scaling.min | must be from 0    |
      | $.services[0].scaling         | {"min": 1, "max": 1e9} | $.services[0].scaling.max | integer |
      | $.services[0].scaling         | {"min": 1, "max": 100000} | $.services[0].scaling.max | must be from 0 |
      | $.services[0].scaling         | {"min": 1, "max": 2, "boot_s": 8000} | $.services[0].scaling.boot_s | seconds |
      | $.services[0].scaling         | {"max": 2} | $.services[0].scaling.min   | is required             |

    Examples: orders to model engines
      | place                         | value    | path                          | rule                    |
      | $.services[0].orders          | {"pace": 1} | $.services[0].orders.pace  | is not a known field    |
      | $.services[0].orders          | 3        | $.services[0].orders          | must be an object       |
      | $.services[0].orders          | {"min_serving_share": 1.5} | $.services[0].orders.min_serving_share | must be from 0 |
      | $.services[0].orders          | {"answer_timeout_s": 10000} | $.services[0].orders.answer_timeout_s | seconds |
      | $.services[0].orders          | {"load_timeout_s": 0} | $.services[0].orders.load_timeout_s | seconds |
      | $.max_loading                 | 0        | $.max_loading                 | must be from 1          |

    Examples: ids, references and digests
      | place                         | value    | path                          | rule                    |
      | $.workspaces[1].id            | "north"  | $.workspaces[1].id            | equals $.workspaces[0].id |
      | $.services[1].id              | "sketch" | $.services[1].id              | equals $.services[0].id |
      | $.data_centres[1].id          | "a"      | $.data_centres[1].id          | equals $.data_centres[0].id |
      | $.services[0].routes[1].id    | "draft"  | $.services[0].routes[1].id    | equals $.services[0].routes[0].id |
      | $.workspaces[0].id            | "a/b"    | $.workspaces[0].id            | 1 to 64 characters      |
      | $.services[0].version         | ""       | $.services[0].version         | 1 to 64 characters      |
      | $.rollouts[0].service         | "desk"   | $.rollouts[0].service         | no service has the id 'desk' |
      | $.workspaces[0].token_digests | ["AB"]   | $.workspaces[0].token_digests[0] | 64 lower-case hex    |
      | $.announce_token_digests      | ["secret"] | $.announce_token_digests[0] | 64 lower-case hex       |

    Examples: routes
      | place                          | value        | path                         | rule                   |
      | $.services[0].routes[0].path   | "v1/drafts"  | $.services[0].routes[0].path | a path starts with /   |
      | $.services[0].routes[0].path   | "/v1//d"     | $.services[0].routes[0].path | no empty segment       |
      | $.services[0].routes[0].path   | "/v1/d?x=1"  | $.services[0].routes[0].path | no query               |
      | $.services[0].routes[0].path   | "/-/runs"    | $.services[0].routes[0].path | belong to the routers  |
      | $.services[1].routes[0].path   | "/v1/drafts" | $.services[1].routes[0].path | ambiguous: $.services[0].routes[0] |
      | $.services[0].routes[1].methods | ["get"]     | $.services[0].routes[1].methods[0] | capital letters  |

  Scenario: routes on one path are unambiguous when their methods differ
    Given a valid environment document
    When the value at $.services[0].routes[1].path of the document becomes "/v1/drafts"
    And the value at $.services[0].routes[0].methods of the document becomes ["POST"]
    And the value at $.services[0].routes[1].methods of the document becomes ["GET"]
    Then the document has no fault

  Scenario: a token that two workspaces share is reported at the second one
    Given a valid environment document
    When the token of the first workspace is given to the second one as well
    Then the only fault of the document is at $.workspaces[1].token_digests[0] with "equals $.workspaces[0].token_digests[0]"

  Scenario: faults of types and of meaning are reported together
    Given a valid environment document
    When the value at $.workspaces[0].weight of the document becomes "1"
    And the value at $.workspaces[1].weight of the document becomes 0
    And the value at $.rollouts[0].service of the document becomes "desk"
    And the value at $.services[1].routes[0].pth of the document becomes 1
    Then the faults of the document are at
      | path                        |
      | $.rollouts[0].service       |
      | $.services[1].routes[0].pth |
      | $.workspaces[0].weight      |
      | $.workspaces[1].weight      |

  Scenario Outline: text that is no document is one fault at the root
    When a document file with the text <text> is loaded
    Then the only fault of the document is at $ with "<rule>"
    And the fault names the file

    Examples:
      | text                       | rule                        |
      | {"name": "x"               | is not JSON                 |
      | {"name": "x", "name": "y"} | the key 'name' twice        |
      | [1]                        | must be an object           |
      | null                       | must be an object           |

  Scenario: a file that does not exist is one fault at the root
    When a document file that does not exist is loaded
    Then the only fault of the document is at $ with "cannot be read"
