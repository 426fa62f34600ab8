Feature: Settings of a process are checked before it starts

  A process with faulty settings must not start half-configured or listen
  without protection on an address that others reach.

  Scenario Outline: valid settings have no fault
    Given valid settings of a <role>
    Then the document has no fault

    Examples:
      | role       |
      | router     |
      | controller |

  Scenario Outline: one fault is reported with its path and rule
    Given valid settings of a <role>
    When the value at <place> of the document becomes <value>
    Then the only fault of the document is at <path> with "<rule>"

    Examples: roles
      | role       | place                   | value       | path                  | rule                                |
      | router     | $.callers               | absent      | $.callers             | required for the role router        |
      | controller | $.control               | absent      | $.control             | required for the role controller    |
      | controller | $.data_folder           | null        | $.data_folder         | required for the role controller    |
      | controller | $.operator_token_file   | absent      | $.operator_token_file | required for the role controller    |
      | router     | $.role                  | "balancer"  | $.role                | 'router' or 'controller'            |
      | router     | $.node_id               | ""          | $.node_id             | 1 to 64 characters                  |
      | router     | $.nodeid                | "r"         | $.nodeid              | is not a known field                |

    Examples: addresses
      | role       | place                          | value       | path                           | rule                   |
      | router     | $.callers.host                 | "localhost" | $.callers.host                 | must be an IP number   |
      | router     | $.operators.host               | "127.0.0"   | $.operators.host               | must be an IP number   |
      | router     | $.callers.port                 | 65536       | $.callers.port                 | must be from 0         |
      | router     | $.controllers[1].control.port  | 0           | $.controllers[1].control.port  | must be from 1         |
      | router     | $.controllers[1].control.port  | "7101"      | $.controllers[1].control.port  | valid integer          |
      | router     | $.controllers[0].operators.host | "10.0.0.1" | $.controllers[0].operators.host | needs tls             |
      | controller | $.control.host                 | "10.0.0.1"  | $.control.host                 | needs tls              |
      | controller | $.operators.host               | "0.0.0.0"   | $.operators.host               | needs tls              |
      | router     | $.shared_key_file              | absent      | $.shared_key_file              | required without tls   |
      | router     | $.callers.port                 | 7200        | $.callers                      | equals $.operators     |

    Examples: controllers
      | role       | place                          | value | path                        | rule                         |
      | router     | $.controllers                  | []    | $.controllers               | at least one controller      |
      | router     | $.controllers[1].id            | "c1"  | $.controllers[1].id         | equals $.controllers[0].id   |
      | router     | $.controllers[1].control.port  | 7101  | $.controllers[1].control    | equals $.controllers[0].control |
      | router     | $.controllers[2].operators.port | 7111 | $.controllers[2].operators  | equals $.controllers[0].operators |

    Examples: times and limits
      | role       | place                   | value  | path                    | rule              |
      | router     | $.shutdown_delay_s      | -1     | $.shutdown_delay_s      | seconds           |
      | router     | $.shutdown_timeout_s    | 120000 | $.shutdown_timeout_s    | seconds           |
      | router     | $.body_timeout_s        | 0      | $.body_timeout_s        | seconds           |
      | router     | $.idle_connection_s     | 75000  | $.idle_connection_s     | seconds           |
      | router     | $.close_timeout_s       | 0      | $.close_timeout_s       | seconds           |
      | router     | $.max_body_bytes        | 0      | $.max_body_bytes        | bytes             |
      | router     | $.max_header_bytes      | 16     | $.max_header_bytes      | bytes             |
      | router     | $.max_buffered_bytes    | 0      | $.max_buffered_bytes    | bytes             |
      | router     | $.max_buffered_bytes    | 4194303 | $.max_buffered_bytes   | 4 times max_body  |
      | router     | $.max_body_bytes        | 16777217 | $.max_buffered_bytes  | 4 times max_body  |
      | router     | $.max_open_connections  | 0      | $.max_open_connections  | connections       |
      | router     | $.log_level             | "info" | $.log_level             | must be one of    |
      | router     | $.hedge_share           | 0.11   | $.hedge_share           | at most retry_share (0.1) |
      | router     | $.hedge_share           | -0.1   | $.hedge_share           | retries           |

  Scenario: an address other than loopback is accepted with TLS files
    Given valid settings of a router
    When the value at $.operators.host of the document becomes "10.0.0.9"
    And the value at $.tls of the document becomes {"certificate": "c.pem", "private_key": "k.pem", "authority": "a.pem"}
    Then the document has no fault

  Scenario: an even number of controllers is accepted
    Given valid settings of a router
    When the value at $.controllers[2] of the document becomes absent
    Then the document has no fault

  Scenario: every fault of the settings is reported
    Given valid settings of a router
    When the value at $.callers of the document becomes absent
    And the value at $.operators.host of the document becomes "host"
    And the value at $.body_timeout_s of the document becomes "20"
    And the value at $.max_body_bytes of the document becomes 0
    Then the faults of the document are at
      | path             |
      | $.body_timeout_s |
      | $.callers        |
      | $.max_body_bytes |
      | $.operators.host |
