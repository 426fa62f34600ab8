Feature: Model engines are told to load versions

  Scenario Outline: engines are chosen for a share (<guards>)
    Guards against an order from a new leader before a read-back. Each row also
    guards against the fault that it names.

    Given a service at version "v1" with the engines <engines>
    And at most <most> engines load and <least> of the slots keep serving
    When a rollout to "v2" has the share <share>
    Then after read-backs the orders are <orders>

    Examples: an engine is id:version:slots:in use[:drained]
      | guards                       | engines                         | most | least | share | orders    |
      | busy engine taken first      | a:v1:8:3 b:v1:8:1 c:v1:8:2      | 2    | 0.5   | 0.25  | b:v2      |
      | large engine taken first     | a:v1:8:1 b:v1:4:1 c:v1:8:1      | 2    | 0.5   | 0.05  | b:v2      |
      | too few engines moved        | a:v1:4:0 b:v1:4:1 c:v1:4:2 d:v1:4:3 | 4 | 0.5  | 0.5   | a:v2 b:v2 |
      | engine moved beyond share    | a:v1:4:0 b:v2:4:1 c:v1:4:2 d:v1:4:3 | 4 | 0.5  | 0.25  | none      |
      | weight store overloaded      | a:v1:4:0 b:v1:4:0 c:v1:4:0 d:v1:4:0 | 1 | 0    | 1.0   | a:v2      |
      | too little keeps serving     | a:v1:4:0 b:v1:4:0 c:v1:4:0 d:v1:4:0 | 4 | 0.75 | 1.0   | a:v2      |
      | only engine taken out        | a:v1:4:0                        | 4    | 0.1   | 1.0   | none      |
      | limits kept without a reason | a:v1:4:0                        | 4    | 0     | 1.0   | a:v2      |
      | trial in a drained centre    | a:v1:4:0:drained b:v1:4:1 c:v1:4:2 | 4 | 0.3   | 0.05  | b:v2      |
      | stray version left alone     | a:v0:4:0 b:v2:4:0 c:v1:4:0      | 4    | 0.5   | 0.25  | a:v1      |
      | bad version left in place    | a:v2:4:0 b:v2:4:0 c:v1:4:3      | 4    | 0.5   | back  | a:v1 b:v1 |
      | drained engine left behind   | a:v1:4:0:drained b:v2:4:0       | 4    | 0.5   | done  | a:v2      |

  Scenario Outline: a rollout waits with its end for engines
    Guards against an end that takes the traffic from most slots at once. Taking
    back and the deadline of 600 s must not wait.

    Given a service at version "v1" with the engines <engines>
    And at most 2 engines load and 0.5 of the slots keep serving
    When a rollout to "v2" has the share 1.0
    Then its move to <phase> after <elapsed_s> s has to wait: <waits>

    Examples:
      | engines                    | phase      | elapsed_s | waits |
      | a:v2:4:0 b:v1:4:0 c:v1:4:0 | done       | 599       | yes   |
      | a:v2:4:0 b:v2:4:0 c:v1:4:0 | done       | 599       | no    |
      | none                       | done       | 599       | yes   |
      | a:v2:4:0 b:v1:4:0 c:v1:4:0 | done       | 600       | no    |
      | a:v2:4:0 b:v1:4:0 c:v1:4:0 | taken_back | 599       | no    |

  Scenario Outline: an order of unknown outcome to an engine that <kind> numbers
    Guards against two outstanding orders at an engine that ignores the number.
    An engine that checks it must not wait needlessly.

    Given an engine that <kind> numbers and an order to it of unknown outcome
    When the rollout is taken back, it announces <version> and read-backs show <shown>
    Then the next decisions are <decisions>

    Examples:
      | kind    | version | shown             | decisions       |
      | checks  | v1      | nothing           | issue send      |
      | checks  | v2      | the order         | read issue send |
      | ignores | v1      | nothing           | read read       |
      | ignores | v2      | nothing           | read read       |
      | ignores | v2      | the order         | read issue send |
      | ignores | v2      | a new incarnation | read issue send |

  Scenario Outline: an order of unknown outcome is <state> (<case>)
    Guards against a second order while the engine may still take the first: too
    early, or when it has seen the number and works on the order.

    Given an engine that ignores numbers and an order to it of unknown outcome
    And order delays of at most 3 s
    When it is read back <wait_s> s later and shows <shown>
    Then the order is <state>

    Examples:
      | case        | wait_s | shown      | state       |
      | too early   | 2      | nothing    | outstanding |
      | bound over  | 3      | nothing    | lost        |
      | under way   | 3      | its number | outstanding |
      | taken       | 3      | the order  | applied     |

  Scenario Outline: an operator clears an order (<case>)
    Guards against an end of an order that the operator has not checked, and
    against the end of an order that is known to be over.

    Given an engine that <kind> numbers and an order to it of unknown outcome
    When an operator clears the order <fencing> to "<server>" <times> times
    Then the order is <state> and the operator is told "<message>"

    Examples:
      | case          | kind    | server | fencing | times | state       | message                   |
      | outstanding   | ignores | a      | 1       | 1     | cleared     | nothing                   |
      | over          | ignores | a      | 1       | 2     | cleared     | order 1 is over: cleared  |
      | other order   | ignores | a      | 2       | 1     | outstanding | the latest order to 'a' is 1 |
      | other server  | ignores | b      | 1       | 1     | outstanding | no order to 'b' is known  |
      | not needed    | checks  | a      | 1       | 1     | outstanding | order 1 holds nothing up, as the engine refuses old numbers |

  Scenario: orders survive a snapshot, and numbers go on above what engines show
    Guards against a lower number after a restart or from a rebuilt group.

    Then an order to an engine that has shown 41 gets the number 42
    And a decoded snapshot equals the state with the order

  Scenario: an engine gets no work for a version that it has left
    Guards against requests for the old version after the announcement of the
    new one.

    Then a server at "v1" that announces "v2" gets no request for "v1"

  Scenario: random runs with faults keep the invariants
    Messages are lost and delayed, leaders change and engines restart. Guards
    against two outstanding orders at an engine that ignores numbers, an older
    order that wins at one that checks them, and engines left at a wrong
    version. No operator helps: a lost order must not block an engine.

    Then the random order runs of the seeds 0 to 39 keep all invariants

  Scenario Outline: random runs show that <mechanism> is missing
    Guards against invariants that hold without the mechanism.

    Then without <mechanism> a random order run breaks "<invariant>"

    Examples:
      | mechanism              | invariant                   |
      | the check of numbers   | an older order took effect  |
      | the outstanding record | two outstanding orders      |
      | the read-back          | two outstanding orders      |
      | the limits             | too many engines load       |
      | the bound on delays    | two outstanding orders      |
      | the end of earlier calls | two outstanding orders    |

  Scenario: a new leader waits until all engines can have announced themselves
    Engines announce themselves once a second. Guards against limits that are
    counted over a part of the engines: with only "b" and "c" known, "b" would
    be loaded beside "a", which loads already.

    Given a new leader, an order to "a" that loads and at most 1 engine that loads
    When "b" and "c" announce themselves after 0.1 s and "a" after 1.5 s
    Then no engine is called in 4 s and the wanted order is withheld
