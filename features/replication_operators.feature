Feature: Operators' changes are decided by the replicated log

  Guards against two operators winning the same number, resends that take
  effect twice, numbers that go back, and versions that revert.

  Scenario Outline: replicated operators race with the same expected number
    Given a replicated environment at number 1
    When ann and bob send <first> and <second> expecting number 1
    Then the replicated outcomes are <outcomes> and the number is 2
    And bob's replicated outcome names ann as the winner

    Examples:
      | first    | second   | outcomes          |
      | document | document | accepted, refused |
      | document | drain    | accepted, refused |
      | drain    | drain    | accepted, refused |
      | rollout  | document | accepted, refused |
      | drain    | rollout  | accepted, refused |

  Scenario: the replicated winner is named after further changes
    Given a replicated environment at number 1
    When ann, then carl change it and bob still expects number 1
    Then bob's replicated outcome names ann as the winner

  Scenario Outline: a replicated resend gets the first outcome
    Given a replicated environment at number 1
    When ann sends <change> expecting number <expected> and resends it after <others> other operations
    Then both replicated outcomes are equal and the second changed nothing

    Examples:
      | change   | expected | others |
      | document | 1        | 0      |
      | document | 1        | 2000   |
      | document | 7        | 2000   |
      | drain    | 1        | 2000   |
      | rollout  | 1        | 2000   |

  Scenario: the replicated table of outcomes is bounded
    Given a replicated environment at number 1
    When 5000 replicated operations are applied
    Then 4096 replicated outcomes are kept, the latest ones

  Scenario Outline: a document sets the replicated state of a data centre
    Given a replicated environment at number 1
    And data centre dc1 is <before> in the replicated state
    When a document that says <said> of dc1 is applied to the replicated state
    Then data centre dc1 is replicated as <after>

    Examples:
      | before     | said       | after      |
      | drained    | nothing    | drained    |
      | in_service | nothing    | in_service |
      | drained    | in_service | in_service |
      | in_service | drained    | drained    |
      | drained    | removal    | in_service |

  Scenario Outline: the replicated version of a service follows its rollouts
    Given a replicated environment at number 1
    When the replicated history is <history>
    Then the replicated version of s is <version>

    Examples:
      | history                                        | version |
      | doc v1                                         | v1      |
      | doc v2                                         | v1      |
      | doc v2, done                                   | v2      |
      | doc v2, done, doc v1                           | v2      |
      | start v2                                       | v1      |
      | start v2, done                                 | v2      |
      | start v2, done, doc v1                         | v2      |
      | start v2, done, doc v2, doc v1                 | v2      |
      | start v2, done, doc v3                         | v2      |
      | start v2, taken_back                           | v1      |
      | start v2, taken_back, doc v2                   | v1      |
      | start v2, doc v3                               | v1      |
      | declare v2                                     | v1      |
      | declare v2, done, declare v2                   | v2      |
      | start v2, done, start v1, done                 | v1      |
      | start v2, done, start v1, done, doc v2         | v1      |
      | start v2, done, remove, doc v1                 | v2      |
      | start v2, remove, doc v1                       | v1      |

  Scenario Outline: the replicated phase of a rollout moves forward only
    Given a replicated environment at number 1
    When the replicated history is <history>
    Then the replicated rollout 1 is <phase> and the other ones <others>

    Examples:
      | history                             | phase      | others |
      | start v2                            | trial      | none   |
      | doc v2                              | trial      | none   |
      | doc v2, doc v3                      | trial      | none   |
      | doc v2, taken_back, doc v1, doc v2  | taken_back | none   |
      | start v2, ramping                   | ramping    | none   |
      | start v2, ramping, trial            | ramping    | none   |
      | start v2, watching, done            | done       | none   |
      | start v2, done, taken_back          | done       | none   |
      | start v2, taken_back, done          | taken_back | none   |
      | start v2, remove                    | taken_back | none   |
      | start v2, take back                 | taken_back | none   |
      | start v2, start v3                  | trial      | none   |
      | start v2, declare v3                | trial      | none   |
      | start v2, done, start v3            | done       | trial  |
      | start v2, done, declare v3          | done       | trial  |
      | declare v2, declare v2              | trial      | none   |

  Scenario Outline: a replicated change that is not possible is refused
    Given a replicated environment at number 1
    When ann sends <change> expecting number 1
    Then the replicated operation fails with "<message>" at number 1

    Examples:
      | change                     | message                  |
      | drain of unknown           | no data centre           |
      | rollout of unknown         | no service               |
      | rollout to v1              | has the traffic already  |
      | take-back of unknown       | no rollout               |
      | two rollouts of a service  | is unfinished            |

  Scenario: replicated refused digests are bounded and raise the number once
    Given a replicated environment at number 1
    When 1500 digests are refused twice each in the replicated state
    Then the latest 1024 digests are replicated at number 1501

  Scenario: a replicated state survives encoding
    Given a replicated environment at number 1
    When the replicated history is start v2, ramping, digest, key, routers, checkpoint
    Then encoding and decoding return the same replicated state
    And cut or foreign bytes are refused as replicated state

  Scenario Outline: the known routers follow what the leader sees: <case>
    An operator could not see after an election that a router lags, or the log
    would grow with each heartbeat or change of the environment.

    Given the known routers "<known>"
    When a leader at <clock> s sees "<seen>", that "<left>" left, <more>
    Then the known routers are "<rows>" after <writes> commands

    Examples:
      | case                     | known     | clock | seen      | left | more    | rows         | writes |
      | a new router             | none      | 60    | r1#3      | -    | -       | r1#3         | 1      |
      | nothing new              | r1#3      | 60    | r1#3      | -    | late    | r1#3         | 0      |
      | a new number             | r1#3      | 60    | r1#4      | -    | -       | r1#3         | 0      |
      | the first number         | r1#0      | 60    | r1#4      | -    | -       | r1#4         | 1      |
      | a new number, in time    | r1#3      | 60    | r1#4      | -    | numbers | r1#4         | 1      |
      | a lost router            | r1#3      | 60    | r1#4@50   | -    | -       | r1#4@50      | 1      |
      | lost before the election | r1#3 r2#3 | 60    | r2#3      | -    | late    | r1#3@40 r2#3 | 1      |
      | maybe on its way         | r1#3 r2#3 | 60    | r2#3      | -    | -       | r1#3 r2#3    | 0      |
      | a router that is back    | r1#3@50   | 60    | r1#5      | -    | -       | r1#5         | 1      |
      | a graceful shutdown      | r1#3 r2#3 | 60    | r2#3      | r1   | late    | r2#3         | 1      |
      | never known, shut down   | none      | 60    | none      | r1   | late    | none         | 0      |
      | lost for an hour         | r1#3@50   | 3650  | none      | -    | late    | r1#3@50      | 0      |
      | lost for longer          | r1#3@50   | 3651  | none      | -    | late    | none         | 1      |

  Scenario: the known routers are bounded
    Given the known routers "none"
    When 3000 lost and 40 connected routers are noted
    Then 40 connected and the 2008 last lost are known
