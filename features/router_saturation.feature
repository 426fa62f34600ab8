Feature: A router with more work than it can do leaves the rotation

  Scenario Outline: saturation begins and ends with several samples: <case>
    Guards against a router that stays in the rotation while all its requests
    wait, and against one that leaves it for a single long turn of its loop.

    Given the busy shares "<samples>" of a router's event loop
    Then the router was saturated after each sample as in "<states>"

    Examples:
      | case                | samples                     | states        |
      | one long turn       | 0.2 1.0 0.3 1.0 0.2         | - - - - -     |
      | lasting work        | 0.2 0.95 1.0 1.0            | - - S S       |
      | just below          | 0.89 0.89 0.89              | - - -         |
      | caught up           | 1.0 1.0 0.5 0.5 0.5 0.5     | - S S S - -   |
      | still much to do    | 1.0 1.0 0.5 0.5 0.7 0.5 0.5 | - S S S S S S |
      | saturated again     | 1.0 1.0 0.1 0.1 0.1 1.0 1.0 | - S S S - - S |

  Scenario Outline: the share of the time in which a loop is busy: <case>
    Guards against a meter that takes waiting for work.

    Given an event loop with <selector> that works for <work> ms and waits for <wait> ms in turn
    Then its busy share is from <least> to <most>

    Examples:
      | case         | selector         | work | wait | least | most |
      | idle         | the meter        | 0    | 20   | 0.0   | 0.3  |
      | working      | the meter        | 20   | 0    | 0.9   | 1.0  |
      | not measured | another selector | 20   | 0    | 0.0   | 0.0  |

  Scenario: a saturated router is not ready
    Given a running router that is saturated
    Then it is not ready as it is "saturated"
    And it is ready once it has caught up

  Scenario Outline: a <state> router with 300 requests of a workspace
    Guards against grants that a router cannot use while they are valid.

    Given a router that is <state> and has 300 waiting requests of a workspace
    Then its report has <count> wants

    Examples:
      | state         | count |
      | saturated     | 32    |
      | not saturated | 256   |

  Scenario Outline: a link is full of requests and answers: <case>
    Guards against a router whose link delays every message, those of the leader
    included, while its event loop is idle.

    Given a router on a link of <mbps> Mbit/s that relays <bytes> bytes in <seconds> s
    Then its link use is <use>

    Examples:
      | case                  | mbps   | bytes     | seconds | use  |
      | nothing relayed       | 10     | 0         | 0.25    | 0.0  |
      | half of what it bears | 10     | 125000    | 0.25    | 0.5  |
      | all that it bears     | 10     | 250000    | 0.25    | 1.0  |
      | a fast link           | 1000   | 250000    | 0.25    | 0.01 |
      | capacity not known    | 0      | 250000    | 0.25    | 0.0  |
      | no time has passed    | 10     | 250000    | 0       | 0.0  |

  Scenario Outline: connections that a saturated router closes: <case>
    At least half of the surplus within the time, and never more than that.
    Guards against callers that keep bringing their requests to a saturated router,
    against callers that come back to it at once as the load balancer has not seen
    that it is saturated, and against a whole load that moves on in one step.

    Given 40 connections that each get an answer every 0.25 s
    When a router has a use of <use> for 1.0 s and was found saturated by <checks> readiness checks
    Then it has closed from <least> to <most> connections

    Examples:
      | case                             | use | checks | least | most |
      | not found saturated yet          | 1.0 | 0      | 0     | 0    |
      | found once                       | 1.0 | 1      | 0     | 0    |
      | found twice                      | 1.0 | 2      | 10    | 20   |
      | found often                      | 1.0 | 9      | 10    | 20   |
      | a link that is asked for twice   | 2.0 | 2      | 15    | 30   |
      | little above the use that it keeps | 0.6 | 2      | 3     | 7    |
      | below it                         | 0.4 | 2      | 0     | 0    |

  Scenario: a single connection that brings all requests is closed, too
    Guards against a caller whose one connection saturates a router for good.

    Given 1 connections that each get an answer every 0.25 s
    When a router has a use of 1.0 for 2.5 s and was found saturated by 2 readiness checks
    Then it has closed from 1 to 1 connections

  Scenario: a router that has caught up closes no more connections
    Guards against a router that goes on to drive callers away.

    Given a router that was found saturated by 2 readiness checks
    When a readiness check finds that it has caught up
    Then it closes no connection at a use of 1.0

  Scenario: the callers of a saturated router move on without a lost answer
    Guards against callers that stay at a router whose link is full, and against
    answers that are cut when their connections are closed.

    Given a router on a link of 2 Mbit/s with 8 callers that keep their connections
    When the router has become saturated
    Then no caller's connection is closed before two readiness checks
    And after two readiness checks callers' connections are closed, each after a whole answer
    And a refused readiness check names "saturated"

  Scenario Outline: a saturated router refuses what would wait too long: <case>
    Guards against requests that wait for seconds at one router while others are
    idle, and against a workspace that pays for the queue of another one.

    Given a <state> router with the waiting requests "<waiting>" and 100 grants a second
    When a request of "<workspace>" with a latency target of <target> ms arrives
    Then the saturated router's answer is: <result>

    Examples:
      | case                         | state         | waiting        | workspace | target | result                     |
      | a long queue of its own      | saturated     | a 100          | a         | 600    | refused with 1000 ms to wait |
      | not saturated                | not saturated | a 100          | a         | 600    | admitted                   |
      | new ones still come here     | in rotation   | a 100          | a         | 600    | admitted                   |
      | a short queue of its own     | saturated     | a 15           | a         | 600    | admitted                   |
      | an urgent request            | saturated     | a 15           | a         | 300    | refused with 150 ms to wait |
      | no target                    | saturated     | a 29           | a         | 0      | admitted                   |
      | the long queue of another    | saturated     | a 500          | b         | 600    | admitted                   |
      | its turn beside a long queue | saturated     | a 500, b 20    | b         | 600    | refused with 400 ms to wait |

  Scenario Outline: a saturated router counts the time before a request was read: <case>
    Guards against requests that wait unread and then wait as long as others (GONE).

    Given a saturated router with the waiting requests "<waiting>" and 100 grants a second
    When a request of "a" with a latency target of 600 ms arrives that waited <waited> ms
    Then the saturated router's answer is: <result>

    Examples:
      | case            | waiting | waited | result                       |
      | it did not wait | a 15    | 0      | admitted                     |
      | it waited       | a 15    | 50     | refused with 200 ms to wait  |
      | no queue        | a 0     | 100    | admitted                     |
      | waited too long | a 0     | 300    | refused with 300 ms to wait  |

  Scenario Outline: callers of one workspace all reach one router: <case>
    Plays 500 requests a second for 5 s at a router that can serve 250 a second, while
    others are idle, and counts the callers whose answer came within 600 ms.

    Given callers that ask another router after <delay> ms if they are refused
    When <load> requests a second arrive for 5 s at a router that serves 250 a second and <policy>
    Then the share of callers that were served in time is from <least> to <most>

    Examples:
      | case                      | delay | load | policy             | least | most |
      | refused at once           | 60    | 500  | refuses long waits | 0.95  | 1.0  |
      | without refusals          | 60    | 500  | lets all wait      | 0.0   | 0.4  |
      | no more than it can serve | 60    | 240  | refuses long waits | 1.0   | 1.0  |
