Feature: Callers that misbehave do not take a router from the others

  One caller's connection must not cost a router more than a bounded part of
  each turn of its event loop. The crowd and the bounds are fixed here.

  @alone
  Scenario Outline: a router answers others beside a crowd that sends <crowd>
  Tiny chunks and pipelined requests with unread answers kept a router from
  answering anybody for as long as the crowd sent, and for a minute after.
    Given a router process with small limits for a crowd
    When 60 hostile connections each send <crowd> and stay open
    Then an ordinary caller of the crowded router gets an answer on both ports
    And the crowded router lives with at most 200 MB and 200 descriptors

    Examples:
      | crowd                    |
      | tiny_chunks              |
      | tiny_chunks_no_route     |
      | tiny_chunks_readiness    |
      | pipelined                |
      | pipelined_no_route       |
      | pipelined_readiness      |
      | many_fields              |
      | stalled_bodies           |
      | endless_bodies           |
      | endless_bodies_readiness |

  @alone
  Scenario Outline: a controller answers operators beside a crowd that sends <crowd>
  Operators must be able to see and change the system while its ports are abused.
    Given a controller process without routers
    When 60 hostile connections each send <crowd> to the controller
    Then an ordinary operator of the crowded controller gets an answer
    And the crowded controller lives with at most 200 MB and 200 descriptors

    Examples:
      | crowd                    |
      | tiny_chunks_readiness    |
      | pipelined_readiness      |
      | endless_bodies_readiness |

  @alone
  Scenario Outline: a caller that sends <case> alone is served
  A bound on costly work must not refuse a request within the limits.
    Given a calm router process that lets 32 requests wait
    When one caller of the calm router sends <case>
    Then it gets <answers> answers in order, <refused> of them a refusal that did not run

    Examples:
      | case                | answers | refused |
      | tiny_chunks_whole   | 1       | 0       |
      | tiny_chunks_queued  | 21      | 0       |
      | pipelined_within    | 33      | 0       |
      | pipelined_beyond    | 2       | 1       |
