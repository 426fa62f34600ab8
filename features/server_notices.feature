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
