Feature: Controllers keep term, vote, log and snapshot on disk

  Guards against promises that a restart forgets, and against using a log whose
  middle is damaged as if it were whole.

  Scenario: the replication storage returns what was synced
    Given a replication storage with 5 synced entries
    When the replication storage is loaded again
    Then it holds the entries 1 to 5 and the replicated vote

  Scenario Outline: the replication storage drops a part of the log
    Given a replication storage with 5 synced entries
    When it is changed by <change> and loaded again
    Then it holds the entries <first> to <last> and the replicated vote

    Examples:
      | change                  | first | last |
      | truncation from 4       | 1     | 3    |
      | truncation from 1       | 1     | 0    |
      | a snapshot at 3         | 4     | 5    |
      | a snapshot at 5         | 6     | 5    |
      | a snapshot at 9         | 10    | 9    |

  Scenario: a torn last record of the replication log is cut off
    Given a replication storage with 5 synced entries
    When its log is cut at every byte offset of the last record
    Then each time the replication storage loads the entries 1 to 4
    And each time it takes a new entry 5 and loads it again

  Scenario Outline: an interrupted last record of the replication log is cut off
    Given a replication storage with 5 synced entries
    When the last record of its log is <fault>
    Then the replication storage loads the entries 1 to 4

    Examples:
      | fault                    |
      | zeros                    |
      | zeros after its header   |

  Scenario: damage before the last record of the replication log is reported
    Given a replication storage with 5 synced entries
    When each byte before the last record of its log is flipped in turn
    Then each time the replication storage reports damage

  Scenario Outline: damage of other replication files is reported
    Given a replication storage with 5 synced entries
    And its log was compacted at 3
    When <file> of the replication storage is <fault>
    Then the replication storage reports damage

    Examples:
      | file     | fault     |
      | snapshot | flipped   |
      | snapshot | truncated |
      | snapshot | missing   |
      | log      | missing   |
      | log      | empty     |
      | identity | flipped   |
      | identity | missing   |

  Scenario: a crash at each call to the file system keeps what was synced
    Given a replication storage whose calls to the file system can fail
    When it crashes at each call in turn while it writes, truncates and compacts
    Then each time it loads what was synced before or with the crash

  Scenario: a failed sync stops the replication storage for good
    Given a replication storage whose calls to the file system can fail
    When one of its syncs fails
    Then every later sync of the replication storage fails as well

  Scenario Outline: the identity of a replication disk is fixed
    Given a <storage> replication storage that belongs to node a
    Then node a finds the same replication disk id again
    And node b is refused the replication storage
    And a new <storage> replication storage has another disk id and is new

    Examples:
      | storage |
      | disk    |
      | memory  |
