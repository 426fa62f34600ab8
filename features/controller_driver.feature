Feature: The replica driver keeps its promises when the disk is slow or fails

  Scenario: a reply leaves only after the entries are synced
    A reply before the sync would let the leader count an entry that a crash
    of this controller loses.

    Given a replica driver that follows "c1" with a disk that is held up
    When the driven replica receives an entry from "c1"
    Then the driven replica has sent no reply and the event loop still runs
    When the held-up disk goes on
    Then the driven replica has replied after the sync

  Scenario: writes that queue up behind a sync share the next one
    Given a replica driver that leads alone with a disk that is held up
    When 50 commands are proposed to the driven replica
    And the held-up disk goes on
    Then all 50 commands are committed after at most 2 syncs

  Scenario Outline: a disk whose <call> fails ends the replica's part
    A replica that went on could promise what its disk does not hold.

    Given a replica driver that leads alone with a disk whose <call> will fail
    When 1 commands are proposed to the driven replica
    Then the proposals are answered as unavailable
    And the driven replica names the fault, may not act and sends nothing more

    Examples:
      | call  |
      | write |
      | sync  |

  Scenario: a snapshot ends while commands keep coming
    A snapshot that waits for a pause in the writes puts off the next one, and
    the log grows as long as the load lasts.

    Given a replica driver that leads alone with a good disk
    When commands keep coming until 1500 are committed
    Then the driven replica finished a snapshot before the last of them

  Scenario: a snapshot that the disk refuses is not counted
    Given a replica driver that leads alone with a good disk
    When the disk refuses a snapshot
    Then the driven replica has failed and counts no snapshot

  Scenario: a slow snapshot puts off the next one for a bounded time
    The log grows until the next one.

    Given a replica driver that leads alone with a good disk
    When a snapshot takes 1.0 s
    And commands keep coming until 600 are committed
    Then the driven replica finishes another snapshot within the longest pause

  Scenario: a disk that takes long is logged
    Nothing else tells whether claims that nobody answers wait for a disk.

    Given a replica driver that leads alone with a disk that is held up
    When 1 commands are proposed to the driven replica
    And the held-up disk goes on after the time from which a sync counts as slow
    Then the slow sync is logged with its time

  Scenario: a message that the replica cannot take is dropped and counted
    Given a replica driver that leads alone with a good disk
    When the driven replica receives a message that raises an exception
    Then the driven replica counts 1 dropped event and commits the next command

  Scenario: a command that the state machine cannot apply is skipped
    A replica that stopped at it would stop again after each restart.

    Given a replica driver that leads alone with a good disk
    When a command that cannot be applied is committed
    Then the driven replica counts 1 dropped event and commits the next command

  Scenario: an exception in a handler is counted and the controller goes on
    Given a controller object whose handler of reports raises an exception
    When the controller object receives a report twice
    Then the controller object counts 2 handler failures

  Scenario: a message that comes as the lease ends is kept
    The lease may end between two looks at the clock. A claim that is dropped
    there is never answered, as its connection stays open.

    Given a controller object that leads with a connected router
    When the lease ends while the controller object receives a lookup
    And the lease of the controller object is renewed
    Then the lookup was answered once

  Scenario: routers that came before an election are taken in once
    A message of the first one makes the controller look at the others, too.

    Given a controller object that leads with a connected router
    And 3 routers that came before the election with 2 lookups each
    When the controller object looks at its role
    Then it handled each lookup once and had no handler failure

  Scenario Outline: a report <content> costs the leader <ticks> ticks
    Heartbeats of all routers must not each run the scheduler, and a leader
    without a lease must not keep a router waiting for it.

    Given a leader object that <may> act
    When its router sends a report <content>
    Then the router got <answers> answer and the leader ran <ticks> ticks

    Examples:
      | content           | may     | answers | ticks |
      | without content   | may     | 1       | 0     |
      | with a want       | may     | 1       | 1     |
      | with an end       | may     | 1       | 1     |
      | that is the first | may     | 1       | 1     |
      | without content   | may not | 0       | 0     |
