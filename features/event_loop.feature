Feature: The reactor keeps the promises of twisted's own

  Twisted's protocols depend on them. This guards against time-outs that come
  early, twice or never, and against bytes that are lost when a peer reads
  slowly.

  Scenario Outline: a delayed call of 60 ms that is <change>
    Given a reactor of the event loop
    When a delayed call of 60 ms is <change>
    Then it is made <times> time after at least <least> ms

    Examples:
      | change                 | times | least |
      | left alone             | 1     | 60    |
      | put off by 60 ms       | 1     | 120   |
      | reset to 150 ms        | 1     | 150   |
      | reset to 10 ms         | 1     | 10    |
      | cancelled              | 0     | 0     |
      | put off, then cancelled | 0    | 0     |

  Scenario: an exception in a delayed call does not stop the others
    Given a reactor of the event loop
    When a delayed call raises before another one is due
    Then the other one is made

  Scenario: a process leaves what its start creates out of garbage collection
    Guards against collections that stop requests, and against a start that they
    delay. The command of the users' platform did neither once.

    When a process of the program starts and is stopped
    Then the collector was off during its start
    And it is on afterwards, without the objects of the start

  Scenario Outline: <size> bytes for a peer that reads late <order> arrive whole
    Without the watch for the rest, a slow peer would get a part only.

    Given a reactor of the event loop
    When <size> bytes are written <order> and the peer reads late
    Then the peer gets all of them in order

    Examples:
      | size    | order             |
      | 100     | in the next turn  |
      | 100     | in this turn      |
      | 4000000 | in the next turn  |
      | 4000000 | in this turn      |

  Scenario Outline: a flood does not delay what is readable after <reads> reads
    Guards against work for callers that have left (GONE).

    Given a reactor of the event loop
    When 100 descriptors that bring new work are readable, for 5 ms each
    And another descriptor is readable after <reads> of them are read
    Then it is read within 50 ms
    And all descriptors that bring new work are read in order

    Examples:
      | reads |
      | 1     |
      | 50    |

  Scenario: a descriptor that is removed during a flood is not read
    Given a reactor of the event loop
    When 100 descriptors that bring new work are readable, for 5 ms each
    And the last of them is removed after 100 ms
    Then all but the last are read in order
