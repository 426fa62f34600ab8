Feature: Compact frames between a router and the leader

  A compact frame is either decoded to the message that was encoded or refused
  as a whole: a reference must never be resolved with the table of another
  connection, or after a frame that defined references was lost.

  Scenario: every message survives its encoding, by text and by reference
    When a sample of every message is sent three times on one connection
    Then every received message equals the sent one

  Scenario Outline: announcements are decoded completely when <change>
    When a backend server announces itself twice and <change>
    Then every received message equals the sent one
    And the second frame has at most <bytes> bytes

    Examples:
      | change                    | bytes |
      | nothing changes           | 18    |
      | its load changes          | 40    |
      | it leaves                 | 40    |
      | it restarts               | 40    |
      | it reports a cache event  | 40    |
      | its cache event was first | 18    |

  Scenario: deployments without duties send no byte for usage
    Then a report without usage is as short as without that field

  Scenario: more strings and servers than the tables hold are transferred
    When 2000 backend servers announce themselves twice
    Then every received message equals the sent one
    And neither end keeps more than the bounds of the tables
    And servers that announce themselves next are still referred to

  Scenario: a message that cannot be encoded does not corrupt later ones
    When a report that cannot be encoded fails between two good ones
    Then every received message equals the sent one

  Scenario Outline: a compact frame with <fault> is refused
    Given a connection on which a report was received
    When it receives a compact frame with <fault>
    Then the frame is refused with a reason that contains "<reason>"
    And no later compact frame of the connection is accepted

    Examples:
      | fault                                  | reason             |
      | an unknown reference                   | unknown reference  |
      | a negative reference                   | unknown reference  |
      | references of an earlier connection    | frame number       |
      | a frame before it lost                 | frame number       |
      | an unknown type                        | not a known record |
      | a missing field                        | missing fields     |
      | an unknown field                       | unknown fields     |
      | fewer values than named fields         | elements, expected |
      | more values than named fields          | elements, expected |
      | a field of wrong type                  | sent_ms            |
      | an unknown member of an enumeration    | outcome            |
      | a change of a server never announced   | no earlier         |
      | text in place of a list                | wants              |

  Scenario: every truncated compact frame is refused
    When a report is cut after each of its bytes
    Then every cut frame is refused

  Scenario Outline: a process with protocol version <version> is refused
    When a process with protocol version <version> connects
    Then both ends name "protocol version <version>, expected 7"

    Examples:
      | version |
      | 6       |
      | 8       |

  Scenario Outline: a refused compact frame ends its connection, <what>
    When a process sends <what> to another one
    Then the receiver counts 1 malformed frame and the connection ends
    And a new connection of the two carries reports

    Examples:
      | what                             |
      | an unknown reference             |
      | a frame of an earlier connection |
