Feature: Departures of backend servers are part of the replicated state

  Scenario Outline: a new leader grants a departed server nothing: <case>
    Guards against a leader that takes a departed server for one that stays.

    Given a replicated log with the departure of "b1" of the incarnation "i1"
    When a leader that was told <told> learns of "b1" of the incarnation "<incarnation>" <source>
    Then the leader <may> use "b1"

    Examples:
      | case                         | told    | incarnation | source                    | may     |
      | a late announcement          | nothing | i1          | by an announcement        | may not |
      | one that a router passes on  | nothing | i1          | by a report of a router   | may not |
      | what the former leader knew  | of b1   | i1          | by an announcement        | may not |
      | the next start of the server | nothing | i2          | by an announcement        | may     |
      | the next start, passed on    | nothing | i2          | by a report of a router   | may     |

  Scenario Outline: a leader records every departure that it learns of: <case>
    Guards against a departure that is known to one controller alone.

    Given a leader that knows "b1" of the incarnation "i1" and a log that <log>
    When the leader learns that "b1" <event>
    Then the departures of the log are "<recorded>" after <proposals> proposals
    And the server <answer> be told that it is recorded
    And the next leader, which was told of "b1" before, <next> use it

    Examples:
      | case                  | log        | event                                  | recorded | proposals | answer  | next    |
      | it deregisters        | commits    | deregisters                            | b1#i1    | 1         | may     | may not |
      | it deregisters twice  | commits    | deregisters twice                      | b1#i1    | 1         | may     | may not |
      | it names its start    | commits    | of the incarnation "i1" deregisters    | b1#i1    | 1         | may     | may not |
      | it announces it       | commits    | announces its departure                | b1#i1    | 1         | may     | may not |
      | told in an answer     | commits    | leaves, from a notice of a router      | b1#i1    | 1         | may     | may not |
      | passed on by a router | commits    | leaves, from an announcement passed on | b1#i1    | 1         | may     | may not |
      | a former start, late  | commits    | of the incarnation "i0" deregisters    | b1#i0    | 1         | may     | may     |
      | no majority           | fails      | deregisters                            | none     | 2         | may not | may     |
      | no answer of the log  | never ends | deregisters                            | none     | 1         | may not | may     |

  Scenario: the departure of a former start does not take out the present one
    Guards against a late deregistration that takes out the next start of a server.

    Given a leader that knows "b1" of the incarnation "i1" and a log that commits
    When the leader learns that "b1" of the incarnation "i0" deregisters
    Then the leader may use "b1"

  Scenario Outline: a server that the leader does not know deregisters: <case>
    Guards against an acknowledgement that nothing stands behind.

    Given a leader that knows "b1" of the incarnation "i1" and a log that commits
    When the leader learns that "b9" <event>
    Then the departures of the log are "<recorded>" after <proposals> proposals
    And the departure <known> known

    Examples:
      | case               | event                                     | recorded | proposals | known  |
      | without its start  | deregisters                               | none     | 0         | is not |
      | with its start     | of the incarnation "i3" deregisters       | b9#i3    | 1         | is     |
      | once more          | of the incarnation "i3" deregisters, then without it | b9#i3 | 1 | is     |

  Scenario Outline: the replicated state keeps departures for a time: <case>
    Guards against a state that grows without bound or forgets too early.

    Given a replicated state
    When <count> departures are noted at <noted> s and another one at <later> s
    Then it holds <held> departures and <kept> the first of them
    And a snapshot of it holds the same departures

    Examples:
      | case            | count | noted | later | held | kept  |
      | soon after      | 1     | 0     | 10    | 2    | keeps |
      | before the end  | 1     | 0     | 899   | 2    | keeps |
      | after the end   | 1     | 0     | 900   | 1    | drops |
      | at the bound    | 4096  | 0     | 10    | 4096 | drops |
