Feature: Lines that HTTP does not allow are passed on to nobody

  Scenario Outline: an answer with <act> is no answer
  Guards against control characters of a faulty server that reach callers: a client
  that takes one for the end of a line reads a field that no server sent.
    Given a shared router with 2 fake backend servers
    When the router's caller requests GET /sketch/a?do=<act> with {"X-Request-Id": "<act>"}
    Then the router's caller gets 502 backend_connection_lost with execution may_have_run
    And the router's log names the invalid line of the request <act>

    Examples: status lines
      | act             |
      | cr_in_phrase    |
      | nul_in_phrase   |
      | bell_in_phrase  |
      | del_in_phrase   |

    Examples: fields
      | act                    |
      | nul_in_value           |
      | cr_in_value            |
      | cr_behind_value        |
      | escape_in_value        |
      | vertical_tab_in_value  |
      | form_feed_before_value |
      | del_in_value           |
      | nul_in_name            |
      | cr_in_name             |
      | no_name                |
      | no_colon               |
      | nul_in_folded_line     |
      | folded_first_line      |
      | nul_in_hop_by_hop      |

    Examples: interim answers
      | act                  |
      | nul_in_interim       |
      | cr_in_interim_phrase |

  Scenario Outline: an answer ends broken with <act>
  Guards against a body that counts as whole although its end is malformed.
    Given a shared router with 2 fake backend servers
    When the router's caller requests GET /sketch/a?do=<act> with {"X-Request-Id": "<act>"}
    Then the router's caller sees a broken transfer
    And the router reports the outcome connection_lost
    And the router's log names the invalid line of the request <act>

    Examples:
      | act                     |
      | nul_in_trailer          |
      | cr_in_trailer           |
      | line_feed_in_trailer    |
      | no_colon_in_trailer     |
      | folded_first_in_trailer |
      | nul_in_chunk_line       |
      | cr_in_chunk_line        |
      | word_as_chunk_size      |
      | bytes_behind_chunk      |

  Scenario Outline: an attempt that ends with <act> names <count> crash suspects
  Guards against sound requests that are refused as ones that crash servers, because a
  server that spoiled its answers crashed later.
    Given a shared router with 2 fake backend servers
    When the router's caller requests POST /sketch/deposit?do=<act>
    Then the router reports the outcome connection_lost
    And the router has named <count> crash suspects

    Examples:
      | act                | count |
      | cr_in_phrase       | 0     |
      | nul_in_value       | 0     |
      | nul_in_trailer     | 0     |
      | word_as_chunk_size | 0     |
      | drop               | 1     |
      | cut_chunk          | 1     |

  Scenario Outline: an answer with <act> arrives whole
  Guards against a check that refuses what HTTP allows.
    Given a shared router with 2 fake backend servers
    When the router's caller requests GET /sketch/a?do=<act>
    Then the router's caller gets 200 with 5 bytes
    And the value of X-Own is <value>

    Examples:
      | act                 | value        |
      | empty_phrase        | none         |
      | no_phrase           | none         |
      | tab_in_phrase       | none         |
      | high_byte_in_phrase | none         |
      | high_byte_in_value  | "\u00e9\u00ff" |
      | tab_in_value        | "a\tb"       |
      | empty_value         | ""           |
      | tabs_around_value   | "a"          |
      | space_before_colon  | "a"          |
      | folded_value        | "a b"        |
      | folded_empty_line   | "a"          |
      | line_feeds          | "a"          |
      | trailer             | none         |

  Scenario Outline: a request that has run is <ending> on a route that is <route>
  Guards against a second run of a request that may not be repeated, and against a
  failure where another server can answer.
    Given a router with 2 fake backend servers
    And the router's next try fails with <act>
    When the router's caller requests <request>
    Then the router's caller <sees>
    And the router's backend servers ran <runs> request

    Examples:
      | route      | ending   | act          | request              | sees                         | runs |
      | repeatable | repeated | cr_in_phrase | GET /sketch/a        | gets 200 with its own answer | 2    |
      | repeatable | repeated | nul_in_value | GET /sketch/a        | gets 200 with its own answer | 2    |
      | keyed      | refused  | cr_in_phrase | POST /sketch/deposit | gets 502 backend_connection_lost with execution may_have_run | 1 |
      | keyed      | refused  | nul_in_value | POST /sketch/deposit | gets 502 backend_connection_lost with execution may_have_run | 1 |

  Scenario: a resend of a keyed request whose answer was refused runs nothing
  Guards against a second run under the same key.
    Given a router with 2 fake backend servers
    And the router's next try fails with nul_in_value
    When the router's caller sends a deposit twice with one key
    Then the router's caller gets 409 outcome_unknown with execution may_have_run
    And the router's backend servers ran 1 request

  Scenario Outline: an order answered with <act> may have run
  Guards against a refusal that is believed although its head is malformed: the
  order would run at a second server.
    Given a router of the platform with 2 fake backend servers and orders that run once
    When a caller's order is answered with <act>
    Then the next order is answered 502
    And it ran once at one server

    Examples:
      | act                |
      | cr_in_phrase       |
      | nul_in_value       |
      | nul_beside_not_run |

  Scenario: a malformed answer during an upload ends the attempt at once
  Guards against a wait for an upload that the server does not read.
    Given a router with 1 fake backend servers that takes bodies of 16 MiB
    When the router's caller uploads 16000000 bytes to /sketch/a?do=invalid_upload
    Then the router's caller is answered 502
    And it was answered within 8 seconds

  Scenario: a stored answer of an earlier version is replayed without control characters
  Guards against bytes that were stored before answers were checked. The request has
  run, so its answer is cleaned rather than refused.
    Given a shared router with 2 fake backend servers
    And a stored answer for the next key with the field "X-Own: a\0b\x7fc"
    When the router's caller sends a deposit with that key
    Then the router's caller gets 200 with 6 bytes
    And the value of X-Own is "a b c"

  Scenario Outline: a request with <case> is refused
  Guards against control characters of a caller that reach backend servers.
    Given a shared router with 2 fake backend servers
    When a caller sends the router a request with <case>
    Then it gets a refusal with 400
    And the router's backend servers ran 0 request

    Examples:
      | case                 |
      | nul_in_value         |
      | bell_in_value        |
      | escape_in_value      |
      | del_in_value         |
      | cr_in_value          |
      | line_feed_in_value   |
      | space_before_colon   |
      | folded_first_line    |
      | del_in_folded_line   |
      | nul_in_trailer       |
      | line_feed_in_trailer |
      | no_colon_in_trailer  |
      | del_in_target        |
      | high_byte_in_target  |

  Scenario Outline: a request with <case> is passed on
  Guards against a check that refuses what HTTP allows.
    Given a shared router with 2 fake backend servers
    When a caller sends the router a request with <case>
    Then a backend server gets X-Own: <value>

    Examples:
      | case               | value        |
      | high_byte_in_value | "\u00e9\u00ff" |
      | tab_in_value       | "a\tb"       |
      | empty_value        | ""           |
      | folded_value       | "a b"        |
      | trailer            | "a"          |

  Scenario Outline: a call to the operators' port with <case> is refused
  Guards against control characters in the calls of servers and operators.
    Given a shared router with 2 fake backend servers
    When a call to the operators' port has <case>
    Then it gets a refusal with 400

    Examples:
      | case                |
      | bell_in_value       |
      | del_in_value        |
      | del_in_target       |
      | high_byte_in_target |

  Scenario Outline: the length in an answer without a body is checked: <act>
  Guards against a length that no client can read, or that clients read differently.
    Given a shared router with 2 fake backend servers
    When the router's caller requests <method> /sketch/a?do=<act>
    Then the router's caller is answered <status>
    And the answer states the length <length>

    Examples:
      | method | act               | status | length |
      | HEAD   | word_as_length    | 502    | none   |
      | HEAD   | different_lengths | 502    | none   |
      | HEAD   | equal_lengths     | 200    | 5      |
      | HEAD   | leading_zeros     | 200    | 5      |
      | GET    | word_in_304       | 502    | none   |
      | GET    | lengths_in_304    | 304    | 5      |
