Feature: Backend servers tell routers about themselves in their answers

  Scenario Outline: a departure told in an answer: <case>
    Guards against requests to a server that has said that it leaves, and against
    barring the server that runs at its address after it.

    Given a scheduler with the server "b1" of the incarnation "i1"
    When a router reports that "b1" of the incarnation "<told>" leaves
    And <later>
    Then a request is <result>

    Examples:
      | case                          | told | later                                      | result  |
      | no request is granted         | i1   | nothing else happens                       | queued  |
      | an older announcement         | i1   | the server announces itself as "i1"        | queued  |
      | the server starts again       | i1   | the server announces itself as "i2"        | granted |
      | a late report of a former one | i0   | nothing else happens                       | granted |
      | a new leader                  | i1   | a new leader takes over                    | queued  |

  Scenario Outline: a router keeps what servers told it: <case>
    Guards against a departure that a router forgets or applies to another server.

    Given a router that was told at 0 s that "b1" of the incarnation "i1" leaves
    Then at <at> s it <may> send to "<server>" of the incarnation "<incarnation>"
    And at <at> s it reports <count> departures to a new leader

    Examples:
      | case                | at  | may     | server | incarnation | count |
      | at once             | 0   | may not | b1     | i1          | 1     |
      | much later          | 250 | may not | b1     | i1          | 1     |
      | another incarnation | 1   | may     | b1     | i2          | 1     |
      | another server      | 1   | may     | b2     | i1          | 1     |
      | after it has ended  | 400 | may not | b1     | i1          | 0     |

  Scenario Outline: a departure that a router has acknowledged is reported again: <case>
    Guards against a departure that is lost with the leader it was reported to.

    Given a router that a server "b1" of the incarnation "i1" announces itself to as <state>
    When its report is lost and it reports to a new leader
    Then the new leader learns of <count> departures of "b1"
    And the router <may> send to "b1" of the incarnation "i1"

    Examples:
      | case             | state     | count | may     |
      | a server leaves  | departing | 1     | may not |
      | a server stays   | staying   | 0     | may     |

  Scenario Outline: a new leader takes over servers with the age of what it knows: <case>
    Guards against a server that ended without a word and is used again.

    Given a leader that knows the server "b1"
    When a new leader takes over its servers, which it was told <age> s ago
    Then <wait> s later a request is <result>

    Examples:
      | case               | age | wait | result  |
      | at once            | 1   | 0    | granted |
      | before the expiry  | 3   | 1    | granted |
      | after the expiry   | 3   | 3    | queued  |

  Scenario: a router sends nothing to a server that leaves, whoever grants it
    Guards against a grant that was given before the leader knew.

    Given a router with 2 fake backend servers
    When the router's second server answers that it leaves
    And the router's caller sends 8 requests in turn
    Then the router's caller got 8 answers of the first server
    And the router has reported that its second server leaves

  Scenario: a server that leaves gets nothing more from any router of a fleet
    Guards against requests that reach a server 2 s or more after a router has passed
    on an answer that says that it leaves: from other routers, from a router that is
    cut off from the controllers, or after a change of the leader.

    Given a fleet with 2 booking servers and callers at each router
    When booking-1 says in its answers that it leaves and r1 is cut off
    And the leader of the fleet is killed 3 s later
    Then booking-1 ran nothing later than 2 s after its first such answer
    And the callers of each other router are served by booking-2
    When booking-1 ends and starts again
    Then booking-1 runs requests again

  Scenario Outline: the pause that a server asks for is read: <text>
    Guards against a pause without end, and against an exception for any value.

    Then a Retry-After of "<text>" asks for a pause of <pause> ms

    Examples:
      | text                          | pause      |
      | 2                             | 2000       |
      | 0.25                          | 250        |
      | 0                             | 0          |
      | -3                            | 0          |
      | 1e12                          | 3600000    |
      | inf                           | 3600000    |
      | nan                           | unreadable |
      | soon                          | unreadable |
      |                               | unreadable |
      | Thu, 01 Jan 1970 00:16:45 GMT | 5000       |
      | Thu, 01 Jan 1970 00:16:35 GMT | 0          |
      | Thu, 99 Foo 1970 00:16:35 GMT | unreadable |

  Scenario Outline: a router sends nothing during a pause: <case>
    Guards against requests that reach a server which has asked for a pause.

    Given a router that "b1" of the incarnation "i1" asks at 0 s for a pause of <first> s and at 1 s of <second> s
    Then at <at> s it <may> send to "b1" of the incarnation "<incarnation>"

    Examples:
      | case                   | first | second | at | may     | incarnation |
      | during it              | 5     | 0      | 4  | may not | i1          |
      | after it               | 5     | 0      | 5  | may     | i1          |
      | a longer one           | 5     | 9      | 6  | may not | i1          |
      | a shorter one later    | 5     | 1      | 4  | may not | i1          |
      | another incarnation    | 5     | 0      | 4  | may     | i2          |

  Scenario Outline: a pause concerns one router and one server: <case>
    Guards against a pause that keeps other routers from the server, that the leader
    does not respect, or that ends with a burst.

    Given a scheduler with the servers "<servers>" of 8 slots and the routers "r1 r2"
    When "<paused>" ask "r1" for a pause of 4 s
    And <time> s pass and <later>
    And r1 queues 6 requests and r2 queues 2
    Then "r1" is granted <granted> and "r2" is granted <others>
    And <refused> requests of "r1" are refused with servers_paused

    Examples:
      | case                      | servers | paused | time | later                 | granted     | others  | refused |
      | another server serves     | b1 b2   | b1     | 1    | nothing else happens  | b2          | b1 or b2 | 0      |
      | no server serves          | b1      | b1     | 1    | nothing else happens  | nothing     | b1      | 6       |
      | the pause has ended       | b1      | b1     | 4.2  | nothing else happens  | 1 of b1     | b1      | 0       |
      | some time after its end   | b1      | b1     | 5.0  | nothing else happens  | 4 of b1     | b1      | 0       |
      | long after its end        | b1      | b1     | 7    | nothing else happens  | b1          | b1      | 0       |
      | the server starts again   | b1      | b1     | 1    | b1 starts again       | b1          | b1      | 0       |
      | a new leader is told      | b1 b2   | b1     | 1    | a new leader is told  | b2          | b1 or b2 | 0      |

  Scenario: a router gives back grants for a server that has asked for a pause
    Guards against a grant that was given before the leader knew, and against a
    router that forgets the server after the pause.

    Given a router with 2 fake backend servers
    When the router's second server turns a request away for 1.5 s
    And the router's caller sends 8 requests in turn
    Then the router's caller got 8 answers of the first server
    And after the pause the second server gets requests again

  Scenario: a server that pauses one router serves the other one
    Guards against a pause that becomes a limit for the whole fleet.

    Given a fleet with 1 booking servers and callers at each router
    When booking-1 turns requests of r1 away for 5 s
    Then r1 sends at most 2 requests to booking-1 from 0.5 s later until the end of the pause
    And r1 refuses its callers at once, and tells them when to come back
    And the callers of each other router are served by booking-1
    And r1 serves its callers again after the pause

  Scenario Outline: the limit that a server names is read: <text>
    Guards against an exception for any value, and against a limit that is none.

    Then a limit of "<text>" is <limit> requests a second

    Examples:
      | text  | limit      |
      | 12.5  | 12.5       |
      | 0     | 0.0        |
      | -1    | unreadable |
      | inf   | unreadable |
      | nan   | unreadable |
      | soon  | unreadable |
      |       | unreadable |

  Scenario Outline: all routers together keep the limit that a server names: <case>
    Guards against a server in need that gets more requests than it takes (LIMIT):
    from routers that it has not told, under a new leader, or after a lower limit.

    Given a scheduler with the servers "<servers>" of 8 slots and the routers "r1 r2"
    When "b1" names a limit of <limit> to "r1" for 8 s while both queue 100 requests a second and <event>
    Then "b1" is granted at most half more than <limit> a second and 5 in each 4 s
    And "b1" is granted at least seven tenths of <least> a second
    And <others>

    Examples:
      | case                    | servers | limit | event                        | least | others                        |
      | the only server         | b1      | 20    | nothing else happens         | 20    | nobody is granted anything else |
      | beside another server   | b1 b2   | 20    | nothing else happens         | 20    | "b2" is granted the rest      |
      | a fraction              | b1 b2   | 1.5   | nothing else happens         | 1.5   | "b2" is granted the rest      |
      | nothing is taken        | b1 b2   | 0     | nothing else happens         | 0     | "b2" is granted the rest      |
      | a new leader            | b1 b2   | 6     | a new leader is told         | 6     | "b2" is granted the rest      |
      | the limit falls         | b1 b2   | 4     | it was 20 before             | 4     | "b2" is granted the rest      |
      | the limit rises         | b1 b2   | 20    | it was 0 before              | 18    | "b2" is granted the rest      |
      | it is named for long    | b1 b2   | 20    | few timers are set           | 20    | "b2" is granted the rest      |

  Scenario Outline: a limit ends: <case>
    Guards against a server that stays idle after it has recovered.

    Given a scheduler with the servers "b1" of 8 slots and the routers "r1 r2"
    When "b1" names a limit of 5 to "r1" and <event>
    Then "b1" is granted <granted> requests in the next second

    Examples:
      | case                          | event                             | granted     |
      | it is in force                | nothing else happens              | at most 7   |
      | no answer names it any more   | 4 s pass in which none names it   | 100 or more |
      | the server starts again       | b1 starts again                   | 100 or more |

  Scenario: a server in need gets no more from a fleet than the limit that it names
    Guards against requests beyond the limit of all routers together, also while the
    leader changes (LIMIT).

    Given a fleet with 2 booking servers and callers at each router
    When booking-1 names a limit of 10 in its answers and the leader of the fleet is killed 4 s later
    Then booking-1 ran at most 65 requests in each 4 s from 2 s later on
    And booking-1 ran at least 40 in 10 s
    And booking-1 runs more than 40 in 2 s once its answers name no limit
