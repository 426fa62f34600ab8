Feature: Controllers agree on one log

  Guards against two leaders, lost or changed committed entries, two leases at
  the same time, and votes under an identity whose disk is gone.

  Scenario Outline: replication elects one leader and commits through losses
    Given a replicated group of <size> controllers with seed <seed>
    And the replication network loses <loss> and doubles <twice> of its messages within <delay> ms
    When 30 replicated commands are committed
    Then all running replicas hold the same replicated state
    And the replicated group had at most <terms> terms

    Examples:
      | size | seed | loss | twice | delay | terms |
      | 1    | 1    | 0.0  | 0.0   | 1     | 1     |
      | 3    | 1    | 0.0  | 0.0   | 1     | 3     |
      | 3    | 2    | 0.1  | 0.3   | 80    | 20    |
      | 5    | 3    | 0.0  | 0.0   | 1     | 3     |
      | 5    | 4    | 0.1  | 0.3   | 80    | 20    |

  Scenario Outline: a replicated group goes on after a fault of one replica
    Given a replicated group of 3 controllers with seed <seed>
    And 5 replicated commands are committed
    When the replicated <victim> has the fault: <fault>
    And <wait> ms pass in the replicated group
    And 5 replicated commands are committed
    And the replicated fault ends
    Then all running replicas hold the same replicated state
    And all 10 replicated commands are kept

    Examples:
      | victim   | fault                           | seed | wait |
      | leader   | killed                          | 1    | 3000 |
      | follower | killed                          | 2    | 3000 |
      | leader   | cut off                         | 3    | 3000 |
      | follower | cut off                         | 4    | 3000 |
      | leader   | unable to send                  | 5    | 3000 |
      | follower | unable to send                  | 6    | 3000 |
      | leader   | unable to receive               | 7    | 3000 |
      | follower | unable to receive               | 8    | 3000 |
      | leader   | frozen                          | 9    | 3000 |
      | follower | frozen                          | 10   | 3000 |
      | leader   | cut from one follower           | 11   | 3000 |
      | follower | cut off while the log compacts  | 12   | 3000 |

  Scenario Outline: a replicated crash at each write loses nothing acknowledged
    Given a replicated group of 3 controllers with seed <seed>
    And 5 replicated commands are committed
    When the replicated <victim> crashes at <point> of its next write
    And 3000 ms pass in the replicated group
    And the replicated fault ends
    And 5 replicated commands are committed
    Then all running replicas hold the same replicated state
    And all 10 replicated commands are kept

    Examples:
      | victim   | point        | seed |
      | leader   | before_write | 1    |
      | leader   | before_sync  | 2    |
      | leader   | after_sync   | 3    |
      | leader   | after_send   | 4    |
      | follower | before_write | 5    |
      | follower | before_sync  | 6    |
      | follower | after_sync   | 7    |
      | follower | after_send   | 8    |

  Scenario Outline: a follower cut off from the replicated leader does not depose it
    Given a replicated group of 3 controllers with seed <seed>
    When a follower and the replicated leader are cut from each other
    And 5000 ms pass in the replicated group
    Then the replicated leader and its term are the same as before

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: the replicated lease ends in time
    Given a replicated group of 3 controllers with seed 1
    When the replicated leader has the fault: <fault>
    Then it gives up its replicated lease within 500 ms and its role within 1300 ms

    Examples:
      | fault             |
      | cut off           |
      | unable to send    |
      | unable to receive |

  Scenario Outline: busy disks of <busy> do not end the replicated lease
  A leader that loses its lease sends all routers away, so snapshots and slow
  syncs of followers must not hold up the answers to its heartbeats.
    Given a replicated group of 3 controllers with seed <seed>
    And 5 replicated commands are committed
    When the disks of <busy> are busy for 3000 ms in the replicated group
    And a replicated command is proposed every 50 ms for <load> ms
    Then the replicated leader held its lease for 2500 ms
    And all running replicas hold the same replicated state once the disks are free

    Examples:
      | busy          | seed | load |
      | one follower  | 1    | 0    |
      | the followers | 2    | 0    |
      | the followers | 3    | 2500 |
      | all replicas  | 4    | 2500 |

  Scenario Outline: a replicated lease counts from the sending of a message
    Given a replicated leader whose heartbeat of 1000 ms is answered at 1400 ms
    Then its replicated lease at <now> ms is <lease>

    Examples:
      | now  | lease |
      | 1400 | held  |
      | 1499 | held  |
      | 1500 | ended |
      | 1899 | ended |

  Scenario Outline: a replica refuses votes while a leader may rely on it
    Given a replica that <history> at 10000 ms
    When it gets a <kind> for a later term at <now> ms
    Then the replicated vote is <vote>

    Examples:
      | history            | kind         | now   | vote    |
      | heard its leader   | vote request | 10599 | refused |
      | heard its leader   | vote request | 10600 | granted |
      | heard its leader   | pre-vote     | 10599 | refused |
      | heard its leader   | pre-vote     | 10600 | granted |
      | has been restarted | vote request | 10599 | refused |
      | has been restarted | vote request | 10600 | granted |
      | has been restarted | pre-vote     | 10599 | refused |

  Scenario: a replica votes once in a term, also after a restart
    Given a replica that has been restarted at 10000 ms
    When it grants a vote to b in term 9 and restarts from what was synced
    Then it refuses the replicated vote to c in term 9

  Scenario Outline: a replicated leader commits only what a majority has synced
    Given a replicated leader of 3 with one proposal at index 2
    When the proposal is <own> on its disk and acknowledged by <peers> replicated followers
    Then the replicated commit index is <commit>

    Examples:
      | own        | peers | commit |
      | not synced | 0     | 1      |
      | not synced | 1     | 1      |
      | synced     | 0     | 1      |
      | synced     | 1     | 2      |
      | not synced | 2     | 2      |

  Scenario: a replicated leader does not commit an entry of an earlier term alone
    Given a replicated leader of term 5 with an entry of term 2 at index 2
    When one replicated follower acknowledges index 2
    Then the replicated commit index is 0
    When one replicated follower acknowledges index 3
    Then the replicated commit index is 3

  Scenario Outline: a controller whose disk was lost never votes again
    Given a replicated group of 3 controllers with seed <seed>
    And the replicated follower c misses 5 committed commands
    When the replicated follower b loses its disk and the leader is cut off
    And the replicated follower c comes back
    And 10000 ms pass in the replicated group
    Then no replica other than the cut off one leads
    When the replicated fault ends
    And 5 replicated commands are committed
    Then all running replicas hold the same replicated state
    And all 10 replicated commands are kept

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: a replica votes with the disk that the replicated members name
    Given a replica of the members with a <disk> disk
    Then its replicated vote is <vote>

    Examples:
      | disk     | vote    |
      | named    | granted |
      | new      | refused |

  Scenario Outline: a replicated vote or acknowledgement counts with the named disk only
    Given a replicated candidate that needs one more <kind>
    When the replicated <kind> arrives from a <disk> disk
    Then the replicated reply or <kind> ends as <result>

    Examples:
      | kind            | disk  | result      |
      | vote            | named | counted     |
      | vote            | new   | not counted |
      | acknowledgement | named | counted     |
      | acknowledgement | new   | not counted |

  Scenario Outline: a learner counts once it has caught up with the replicated log
    Given a replicated leader of 3 with 200 committed entries
    When it is asked to add d, which has the replicated entries up to <index>
    Then the replicated reply or change ends as <result>

    Examples:
      | index | result   |
      | 0     | waiting  |
      | 100   | waiting  |
      | 135   | waiting  |
      | 136   | accepted |
      | 200   | accepted |

  Scenario Outline: a replaced controller counts before a second one is lost
    Given a replicated group of 3 controllers with seed <seed>
    And 20 replicated commands are committed
    And the replicated logs are <logs>
    When the replicated <victim> loses its disk
    And the new controller d replaces it in the replicated group
    And another replicated <second> is killed
    And 5 replicated commands are committed
    Then all running replicas hold the same replicated state
    And all 25 replicated commands are kept

    Examples:
      | seed | logs      | victim   | second   |
      | 1    | whole     | follower | leader   |
      | 2    | whole     | follower | follower |
      | 3    | whole     | leader   | leader   |
      | 4    | compacted | follower | leader   |
      | 5    | compacted | leader   | follower |

  Scenario Outline: a change of the replicated members is refused
    Given a replicated group of 3 controllers with seed 1
    When the replicated leader is asked for the members <members>
    Then the proposed replicated members are rejected

    Examples:
      | members |
      | a,b,c   |
      | a,d,e   |
      | a,b,d   |
      | a       |

  Scenario: a learner that cannot be reached gets no replicated vote
    Given a replicated group of 3 controllers with seed 1
    When the replicated leader is asked for the members a,b,c,d
    And 5000 ms pass in the replicated group
    Then the replicated members are a,b,c

  Scenario: a second change waits for the replicated commit of the first
    Given a replicated leader of 3 with one proposal at index 2
    When it is asked to remove b and then c from the replicated group
    Then the second change of the replicated members is rejected

  Scenario: a removed leader steps down from the replicated group
    Given a replicated group of 3 controllers with seed 1
    When the replicated leader removes itself
    And 3000 ms pass in the replicated group
    Then another replicated leader commits with 2 members

  Scenario Outline: a replicated log restarts after hundreds of changes
    Given a replicated group of 3 controllers with seed <seed>
    And <changes> replicated commands are committed
    And the replicated logs are <logs>
    When all replicated controllers are restarted
    And 5 replicated commands are committed
    Then all running replicas hold the same replicated state
    And all <kept> replicated commands are kept

    Examples:
      | seed | changes | kept | logs      |
      | 1    | 600     | 605  | whole     |
      | 2    | 600     | 605  | compacted |

  Scenario: a snapshot counts at the replicated leader only once it is synced
  A follower that crashes before the sync holds nothing of the snapshot.
    Given a replicated group of 3 controllers with seed 1
    And the replicated follower c misses 1100 committed commands
    And the replicated logs are compacted
    When the replicated follower c comes back and its disk is busy with the snapshot for 2000 ms
    And 1900 ms pass in the replicated group
    Then the replicated leader counts less than the snapshot at c
    When 1100 ms pass in the replicated group
    Then all running replicas hold the same replicated state
    And replica c took over 1 replicated snapshots

  Scenario Outline: a lagging replica is brought up to date
    Given a replicated group of 3 controllers with seed 1
    And the replicated follower c misses <missed> committed commands
    And the replicated logs are <logs>
    When the replicated follower c comes back
    And 3000 ms pass in the replicated group
    Then all running replicas hold the same replicated state
    And replica c took over <snapshots> replicated snapshots

    Examples:
      | missed | logs      | snapshots |
      | 50     | whole     | 0         |
      | 50     | compacted | 0         |
      | 1100   | whole     | 0         |
      | 1100   | compacted | 1         |
