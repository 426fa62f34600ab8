Feature: The leader orders as many servers as callers need

  Scenario Outline: orders follow the demand: <case>
    Guards against servers that come too late or are paid for without need, and
    against servers given up because the leader does not see them or their work.

    Given a service with <limits> servers that start in 8 s
    When the history is played "<history>"
    Then the provider was told "<orders>"

    Examples: demand
      | case                           | limits  | history | orders |
      | steady                         | 2 to 30 | servers 4 4, load 26 26, wait 300 | |
      | noise around the wanted use    | 2 to 30 | servers 4 4, noise 26 2, wait 300 | |
      | a jump                         | 2 to 30 | servers 4 4, load 26 26, wait 100, load 52 52, wait 60 | a=8@103 b=8@103 |
      | a burst of two seconds         | 2 to 30 | servers 4 4, load 26 26, wait 100, load 90 90, wait 2, load 26 26, wait 60 | |
      | more than the limit            | 2 to 6  | servers 4 4, load 26 26, wait 100, load 200 200, wait 60 | a=6@103 b=6@103 |
      | a fall                         | 2 to 30 | servers 8 8, load 52 52, wait 100, load 13 13, wait 300 | a=4@164 b=4@164 a=2@181 b=2@181 |
      | a fall for less than a minute  | 2 to 30 | servers 8 8, load 52 52, wait 100, load 13 13, wait 55, load 52 52, wait 55 | |
      | no demand any more             | 0 to 30 | servers 2 2, load 13 13, wait 100, load 0 0, wait 300 | a=1@164 b=1@164 |
      | all in one data centre         | 2 to 30 | servers 4 4, load 26 26, wait 100, load 52 0, wait 50 | |
      | a low one while some is refused | 2 to 30 | servers 8 8, load 13 13, refuse 0.01, wait 300 | |
      | a low one while some is queued | 2 to 30 | servers 8 8, load 13 13, queue 1, wait 300 | |
      | a tenth is refused at low use  | 2 to 9  | servers 4 4, load 13 13, refuse 0.1, wait 20 | a=7@17 b=7@17 |

    Examples: servers that are missing
      | case                           | limits  | history | orders |
      | a drained data centre          | 2 to 30 | servers 4 4, load 26 26, wait 100, drain a, load 0 52, wait 40 | b=8@101 |
      | it returns                     | 2 to 30 | servers 4 4, load 26 26, wait 100, drain a, load 0 52, wait 20, restore a, load 26 26, wait 60 | b=8@101 |
      | an evacuated data centre       | 2 to 30 | servers 4 4, load 26 26, wait 100, lose a 4, load 0 52, wait 40 | b=8@101 |
      | one server departs, unneeded   | 2 to 30 | servers 6 6, load 35 35, wait 100, lose a 1, wait 30 | |
      | an ordered server never comes  | 2 to 30 | servers 4 4, load 26 26, wait 20, load 52 52, wait 30, lose a 3, wait 30 | a=8@23 b=8@23 a=11@67 |

    Examples: starts
      | case                           | limits  | history | orders |
      | of a deployment                | 2 to 30 | servers 8 8, load 13 13, wait 58 | |
      | of a deployment without callers | 2 to 30 | servers 8 8, wait 300 | |
      | below the limits               | 6 to 30 | servers 4 4, wait 30 | a=6@17 b=6@17 |
      | above the limits               | 2 to 6  | servers 8 8, wait 30 | a=6@17 b=6@17 |
      | a leader that knows no servers | 2 to 30 | servers 8 8, load 52 52, wait 20, leader, blind 12, wait 60 | |
      | one that sees some of them     | 6 to 30 | servers 8 8, load 52 52, wait 20, leader, blind 12 2, wait 60 | |
      | one in the middle of a fall    | 2 to 30 | servers 8 8, load 13 13, wait 50, leader, wait 50 | |
      | no server at all               | 2 to 30 | servers 0 0, load 26 26, wait 45 | a=2@33 b=2@33 a=4@43 b=4@43 |

    Examples: false reports
      | case                           | limits  | history | orders |
      | a count of tokens once         | 2 to 30 | servers 4 4, load 26 26, growth 1e30, wait 1, growth 0, wait 60 | |
      | a count of tokens that grows   | 2 to 99 | servers 4 4, load 26 26, wait 20, growth 1e30, wait 8 | a=25@23 b=25@23 |
      | servers without slots          | 2 to 30 | servers 4 4, load 26 26, wait 20, slots 0, wait 60 | |
      | a share of returns above 1     | 2 to 30 | servers 4 4, load 26 26, wait 20, returns 1e9, wait 60 | |

  Scenario Outline: servers are divided within the limits
    Then <total> servers for weights <weights> from <low> to <high> each are <counts>

    Examples:
      | total | weights | low | high | counts     |
      | 12    | 1 1 2   | 1   | 30   | 3 3 6      |
      | 12    | 1 1 2   | 4   | 30   | 4 4 4      |
      | 20    | 1 1 2   | 1   | 8    | 6 6 8      |
      | 99    | 1 1 2   | 1   | 8    | 8 8 8      |
      | 1     | 1 1 2   | 2   | 8    | 2 2 2      |
      | 6     | 0 0 0   | 1   | 8    | 2 2 2      |
      | 9     | 0 1 0   | 1   | 8    | 1 7 1      |

  Scenario: the observations come from the tables of the leader
    Guards against demand that is not seen, and capacity that a false
    announcement claims.

    Given a leader with warm servers x and y of 8 slots, a departing one and one that claims 1000000000
    When 20 requests arrive there and 5 more are refused
    Then it observes 25 arrivals, 5 refusals, 16 used slots of 8 a server and 4 queued requests
    And it observes 3 usable and 1 departing servers

  Scenario Outline: orders are passed on <case>
    Given a leader without servers whose duties are <duties>
    When requests arrive for 45 s of a service <scaling>
    Then the duties get "<orders>"

    Examples:
      | case               | duties       | scaling              | orders |
      | with the duty      | autoscale    | of 3 to 9 servers    | s a 3  |
      | not without it     | usage_report | of 3 to 9 servers    |        |
      | not without limits | autoscale    | without limits       |        |
      | not without duties | none         | of 3 to 9 servers    |        |
