Feature: A slow request gets a second copy at another server

  Guards against a caller that gets bytes of two answers or none, against copies
  of requests that must not be repeated, and against copies that take slots
  which other requests need.

  Scenario Outline: the delay of a second copy, <case>
    Given <count> latencies of <latencies> ms and a share of <share>
    When a request with <change> is sent
    Then the delay of its second copy is <delay>

    Examples:
      | case                       | count | latencies | share | change                 | delay |
      | quantile of nine tenths    | 64    | 1-64      | 0.02  | nothing special        | 58    |
      | lower bound                | 64    | 3-3       | 0.02  | nothing special        | 20    |
      | too few samples            | 19    | 30-30     | 0.02  | nothing special        | none  |
      | enough samples             | 20    | 30-30     | 0.02  | nothing special        | 30    |
      | switched off               | 64    | 30-30     | 0     | nothing special        | none  |
      | may not be repeated        | 64    | 30-30     | 0.02  | repeatable=False       | none  |
      | one attempt only           | 64    | 30-30     | 0.02  | max_attempts=1         | none  |
      | last attempt               | 64    | 30-30     | 0.02  | attempts=2             | none  |
      | too close to its deadline  | 64    | 30-30     | 0.02  | left_ms=59             | none  |
      | far from its deadline      | 64    | 30-30     | 0.02  | left_ms=60             | 30    |
      | samples too old            | 64    | 30-30     | 0.02  | age=60001              | none  |
      | a server slower than most  | 64    | 30-30     | 0.02  | slow_server=900        | 30    |
      | a server faster than most  | 64    | 90-90     | 0.02  | slow_server=40         | 40    |
      | slowness is not reported   | 64    | 30-30     | 0.02  | needs_slowness=True    | none  |
      | slowness is reported       | 64    | 30-30     | 0.02  | reports_slowness=True  | 30    |
      | a latency without bound    | 64    | inf-inf   | 0.02  | nothing special        | 600000 |
      | a negative latency         | 64    | -9--9     | 0.02  | nothing special        | 20    |
      | not a number               | 64    | nan-nan   | 0.02  | nothing special        | none  |

  Scenario Outline: second copies stay within both budgets, <case>
    When <requests> requests at a share of <share> with <retries> retries left all want a second copy
    Then <copies> second copies are sent and the last request is skipped because of <reason>

    Examples:
      | case                 | requests | share | retries | copies | reason            |
      | none at the start    | 1        | 0.02  | 10      | 0      | hedge_budget_used |
      | share of requests    | 1000     | 0.02  | 1000    | 20     | nothing           |
      | the share is earned  | 49       | 0.02  | 10      | 0      | hedge_budget_used |
      | switched off         | 100      | 0     | 10      | 0      | hedge_budget_used |
      | retry budget used    | 1000     | 0.02  | 3       | 3      | retry_budget_used |

  Scenario Outline: the leader grants a second copy only from a surplus, <case>
    Given a leader with a request on the server x and <used> of <slots> slots in use on the server y
    And <queued> requests that wait
    When a second copy of the request arrives with <change>
    Then the leader decides "<verdict>" at once and keeps no second copy

    Examples:
      | case                     | used | slots | queued | change          | verdict                                    |
      | an idle server           | 0    | 8     | 0      | nothing special | y                                          |
      | a surplus just enough    | 5    | 8     | 0      | nothing special | y                                          |
      | no clear surplus         | 6    | 8     | 0      | nothing special | no other server has a surplus of slots     |
      | a full server            | 8    | 8     | 0      | nothing special | no other server has a surplus of slots     |
      | a single slot            | 0    | 1     | 0      | nothing special | no other server has a surplus of slots     |
      | other requests wait      | 8    | 8     | 9      | nothing special | requests are queued                        |
      | the first server only    | 0    | 0     | 0      | nothing special | no other server has a surplus of slots     |
      | a drained data centre    | 0    | 8     | 0      | drained         | no other server has a surplus of slots     |
      | a new leader             | 0    | 8     | 0      | new leader      | no grants yet                              |

  Scenario Outline: a caller gets one answer of one server, <case>
    Given a hedging router that speaks <dialect> with a share of 1.0
    When the first server does <first>, the second one <second> and a caller asks
    Then the caller gets one whole answer <answer>
    And the grants end as first <first_end> and second <second_end>
    And the router counts the second copy as <result>

    Examples:
      | case                             | dialect  | first       | second    | answer | first_end       | second_end      | result        |
      | the second one is faster         | own      | slow        | ok        | own    | cancelled       | completed       | duplicate_won |
      | the first one is fast enough     | own      | ok          | ok        | own    | completed       | none            | none          |
      | the first one is still faster    | own      | slow        | stall     | own    | completed       | cancelled       | first_won     |
      | the second one breaks            | own      | slow        | drop      | own    | completed       | connection_lost | first_won     |
      | the second one resets            | own      | slow        | reset     | own    | completed       | connection_lost | first_won     |
      | the second one fails             | own      | slow        | error     | own    | completed       | server_error    | first_won     |
      | the second one has not run it    | platform | slow        | refused   | own    | completed       | rejected        | first_won     |
      | the first one has not run it     | platform | late_refuse | slow      | own    | rejected        | completed       | duplicate_won |
      | the first one breaks late        | own      | late_drop   | slow      | own    | connection_lost | completed       | duplicate_won |
      | both answer at the same moment   | own      | together    | together  | own    | any             | any             | any           |
      | an event stream, second is first | own      | late_stream | stream    | stream | cancelled       | completed       | duplicate_won |
      | an event stream, second stalls   | own      | late_stream | late_stream | late   | completed       | cancelled       | first_won     |

  Scenario Outline: the first copy simply continues, <case>
    Given a hedging router that speaks own with a share of 1.0
    And its leader answers second copies with <leader>
    When the first server does slow, the second one ok and a caller asks
    Then the caller gets one whole answer own
    And the grants end as first completed and second none
    And the router sends no more second copies than before

    Examples:
      | case                      | leader |
      | the leader refuses        | refuse |
      | the leader does not reply | ignore |
      | the leader is lost        | drop   |

  Scenario: answers of every kind pass whole while a second copy is possible
    Guards against an answer that is cut or stuck because its beginning was held.

    Given a hedging router that speaks own with a share of 1.0
    Then answers pass whole
      | method | target                           | status | bytes   |
      | HEAD   | /sketch/a                        | 200    | 0       |
      | GET    | /sketch/a?do=status&code=204     | 204    | 0       |
      | GET    | /sketch/a?do=json&text=          | 200    | 0       |
      | GET    | /sketch/a?do=until_close         | 200    | 17      |
      | GET    | /sketch/a?do=stream_until_close  | 200    | 18      |
      | GET    | /sketch/a?do=large&bytes=9000000 | 200    | 9000000 |
    And an answer that breaks after its first part is seen as broken

  Scenario Outline: where it is required, only servers that state their slowness get second copies, <load>
    Given a hedging router that needs a slowness
    When a server states the load <load>
    And the first server does slow, the second one ok and a caller asks
    Then the router's backend servers ran <runs> request

    Examples:
      | load      | runs |
      | 1,0,6     | 1    |
      | 1,0,6,100 | 2    |

  Scenario: a request that must not be repeated is never duplicated
    Given a hedging router that speaks own with a share of 1.0
    When a caller sends a deposit that the first server handles slowly
    Then the caller gets one whole answer own
    And the router's backend servers ran 1 request

  Scenario: the budget of second copies runs out
    Given a hedging router that speaks own with a share of 0.1
    When 4 requests one after the other find the first server slow
    Then 2 of them have a second copy

  Scenario Outline: both copies end when <who> ends them
    Given a hedging router that speaks own with a share of 1.0
    When both servers stall and <who> ends the request
    Then both copies are cancelled

    Examples:
      | who        |
      | the caller |
      | the stop   |
