Feature: The bench compares two settings of one decision

  A comparison is worth nothing if the alternative is not in force, or if the
  figures of the two settings are not taken alike.

  Scenario Outline: <setting> decides in its own order
    Guards against an alternative that behaves as the product's scheduler does.

    Given a scheduler with one slot whose reports are rewritten by "<setting>"
    When "w1" asks 3 times and then "w2" asks 3 times, for costs of 100 and 10
    Then the slot goes to <order>

    Examples:
      | setting                 | order             |
      | nothing                 | w1 w2 w2 w2 w1 w1 |
      | first_come_first_served | w1 w1 w1 w2 w2 w2 |
      | round_robin             | w1 w2 w1 w2 w1 w2 |

  Scenario Outline: static shares of <slots> slots add up over <routers> routers
    Guards against shares that overload a server or leave slots to nobody.

    Then the static shares of <slots> slots over <routers> routers add up and differ by at most 1

    Examples:
      | slots | routers |
      | 8     | 7       |
      | 1     | 7       |
      | 16    | 4       |

  Scenario: a router with a static share never uses more than it
    Guards against a comparison that hides the slots left idle by uneven load.

    Given a local scheduler of router 1 of 3 and a server of 6 slots
    When 60 requests run at the local scheduler, each ending after the next grants
    Then it used 2 slots at most

  Scenario Outline: the processes of <alternative> run it
    Guards against a run that compares the product with itself.

    Given a fleet with the programs of "<alternative>"
    When 3 requests of "w1" are answered by the fleet
    Then the leader's counters are <counters>

    Examples:
      | alternative             | counters         |
      | first_come_first_served | of everyone only |
      | round_robin             | 3 for w1         |
      | static_shares           | absent           |

  Scenario: ratios, order of the rounds and processor time
    Guards against a division by 0, a setting that always runs first, and
    processor time in a wrong unit.

    Then the ratios of 6, 1 to 3, 0 are 2 and none
    And each setting runs first in every second round
    And the processor time of a busy process of 0.3 s is shown
