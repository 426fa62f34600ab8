Feature: A router passes whole answers on and never a part as a whole one

  Scenario Outline: an answer that breaks is never taken for a whole one
  A caller that stores a cut answer loses data without noticing.
    Given a shared router with 2 fake backend servers
    When the router's caller requests GET /sketch/a?do=<act>
    Then the router's caller sees a broken transfer
    And the router's backend servers ran 1 request
    And the router reports the outcome <outcome>

    Examples:
      | act         | outcome         |
      | cut_length  | connection_lost |
      | cut_chunk   | connection_lost |
      | cut_last    | connection_lost |
      | bad_chunk   | connection_lost |
      | until_reset | connection_lost |
      | stream_in_event      | connection_lost |
      | stream_in_line_end   | connection_lost |
      | stream_without_event | connection_lost |
      | stall_body  | timed_out       |

  Scenario Outline: an answer that is reset during the upload to <path> is not whole
  A server that answers early without a length and then resets the connection has
  sent a part of its answer, even if the request was still being written.
    Given a router with 2 fake backend servers that takes bodies of 16 MiB
    When the router's caller uploads 16000000 bytes to <path>?do=reset_upload
    Then the router's caller gets no answer that looks whole
    And a backend server has begun the request

    Examples:
      | path            |
      | /sketch/a       |
      | /sketch/deposit |
      | /model/a        |

  Scenario Outline: a head of the form <head> that ends early by a <end> is no answer
  A server that stops in the middle of a head has not answered. Its caller must not
  get a success with an empty or short body.
    Given a shared router with 2 fake backend servers
    When the server ends each answer after one of the bytes of the head <head> by a <end>
    Then each of these requests is answered 502 as may_have_run

    Examples:
      | head        | end   |
      | length      | close |
      | length_last | close |
      | chunks      | close |
      | unframed    | close |
      | stream      | close |
      | old         | close |
      | line_feeds  | close |
      | interim     | close |
      | length      | reset |
      | unframed    | reset |

  Scenario Outline: whole answers of every form arrive whole
    Given a shared router with 2 fake backend servers
    When the router's caller requests <method> /sketch/a?do=<act>
    Then the router's caller gets <status> with <bytes> bytes
    And the router reports the outcome <outcome>

    Examples:
      | method | act                | status | bytes   | outcome      |
      | GET    | status&code=204    | 204    | 0       | completed    |
      | GET    | status&code=304    | 304    | 0       | completed    |
      | GET    | status&code=500    | 500    | 6       | server_error |
      | GET    | early              | 200    | 11      | completed    |
      | GET    | until_close        | 200    | 17      | completed    |
      | GET    | stream_until_close | 200    | 18      | completed    |
      | GET    | stream_crlf        | 200    | 11      | completed    |
      | GET    | large&bytes=3000000 | 200   | 3000000 | completed    |
      | HEAD   | ok                 | 200    | 0       | completed    |
      | HEAD   | large&bytes=5      | 200    | 0       | completed    |

  Scenario Outline: bytes without end are cut off in <place>
  A server in trouble may send bytes that are no answer until its caller closes. A
  router that keeps reading runs out of memory.
    Given a router with 1 fake backend servers and an answer timeout of 10 seconds
    When the router's caller requests GET /sketch/a?do=<act>
    Then the router's caller <sees>
    And the fake backend server sent less than 8 MiB on each connection until it was closed

    Examples:
      | place               | act                | sees                    |
      | a line without end  | endless_line       | is answered 502         |
      | lines without sense | endless_lines      | is answered 502         |
      | headers             | endless_head       | is answered 502         |
      | interim answers     | endless_interim    | is answered 502         |
      | the size of a chunk | endless_chunk_line | sees a broken transfer  |
      | trailers            | endless_trailer    | sees a broken transfer  |
      | surplus bytes       | endless_surplus    | gets 200 with 7 bytes   |

  Scenario: bytes without end on many connections leave room for other requests
  The requests of other callers ended with a router that had run out of memory.
    Given a router with 2 fake backend servers and an answer timeout of 10 seconds
    When 60 router's callers at a time ask for answers without end for 8 seconds
    Then every other request meanwhile got its own answer
    And the router took less than 128 MiB of memory

  Scenario: a body without end is passed on only as fast as its caller reads
  A router that reads ahead of its caller runs out of memory.
    Given a router with 1 fake backend servers
    When the router's caller reads 1 MiB of a body without end and leaves
    Then the fake backend server sent less than 24 MiB on each connection until it was closed
    And the router reports the outcome cancelled

  Scenario: headers of one hop and secrets are not passed on
    Given a router with 2 fake backend servers
    When the router's caller requests GET /sketch/a?do=headers with {"Connection": "X-Own, keep-alive", "X-Own": "1", "X-Kept": "2", "X-Request-Id": "my-id", "X-Workspace": "other", "TE": "trailers"}
    Then the router passed on x-kept: 2 and x-request-id: my-id and x-workspace: planners
    And the router did not pass on authorization, x-own, connection, te
    And the router's answer has Set-Cookie: a=1 and Set-Cookie: b=2 and Server: engine and X-Request-Id: my-id
    And the router's answer lacks X-Private, Keep-Alive, Connection

  Scenario: answers do not cross when servers send bytes behind an answer
  A second copy of an answer must not be taken for the answer to the next
  request on the same connection.
    Given a router with 2 fake backend servers
    When the router serves 24 requests in turn with "twice ok late_copy ok"
    Then every router's caller got its own answer

  Scenario: a late copy of an answer is not taken for the next answer
    Given a router with 1 fake backend servers
    When the router serves 6 requests in turn with "late_copy slow&pause=0.2 ok"
    Then every router's caller got its own answer

  Scenario: answers do not cross under load
    Given a router with 2 fake backend servers
    When 12 router's callers send 20 requests each at the same time
    Then every router's caller got its own answer

  Scenario Outline: a copy of an earlier answer is not the answer to an order: <copy>
    A faulty server writes an earlier refusal once more on a kept connection. The
    caller would be told that an order has not run which the server is running, or a
    second server would run it, too.

    Given a router of the platform with 2 fake backend servers and orders that run once
    When a caller's order is answered and the server writes "<copy>" once more before the answer to the next order
    Then the next order is answered 502
    And it ran once at one server

    Examples:
      | copy          |
      | 503           |
      | 503 with id   |
      | 421           |
      | 421 with id   |
      | 429           |
      | 200           |
      | 200 with id   |

  Scenario: a refusal without an id on a new connection still means not run
    Guards against orders that are lost although their server has refused them.

    Given a router of the platform with 2 fake backend servers and orders that run once
    When a caller's order is refused on a new connection without an id
    Then the next order is answered 200
