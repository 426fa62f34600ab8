Feature: The scheduler never loads a backend server beyond its slots

  Scenario Outline: slot limits hold during <fault> and no slot is lost for good
    Guards against servers that run more requests than their slots, and against
    slots that stay occupied, when grants, reports or routers are lost.

    Given a simulated scheduler with 4 servers of 4 slots and seed <seed>
    And the simulated workspace "one" with weight 1, cost <cost> ms and hint factor 0
    And the simulated workspace "two" with weight 2, cost <cost> ms and hint factor 0
    When the simulated fleet suffers "<fault>" for 40 s and recovers for 30 s
    Then no simulated server ever ran more requests than its slots
    And at least 95 percent of the simulated slots were used in the last 5 s
    And the slots in use equal the requests that run

    Examples:
      | fault                          | seed | cost      |
      | nothing                        | 1    | 50-200    |
      | router restarts                | 2    | 50-200    |
      | router restarts                | 3    | 2000-6000 |
      | leader changes                 | 4    | 50-200    |
      | leader changes                 | 5    | 2000-6000 |
      | lost connections               | 6    | 50-200    |
      | lost connections               | 7    | 500-3000  |
      | delayed reports                | 8    | 50-200    |
      | restarts and leader changes    | 9    | 500-3000  |
      | delays and lost connections    | 10   | 50-600    |

  Scenario Outline: a slot limit starts at 1 and grows only to the announced slots
    Given a slot limit of a new server with <slots> slots
    When <good> good results are observed on the slot limit
    Then the slot limit is <limit>

    Examples:
      | slots | good | limit |
      | 8     | 0    | 1     |
      | 8     | 1    | 1     |
      | 8     | 2    | 2     |
      | 8     | 6    | 4     |
      | 8     | 100  | 8     |
      | 1     | 100  | 1     |
      | 0     | 0    | 0     |

  Scenario Outline: answers <factor> times the median latency leave the limit at <limit>
    Guards against a cold server that is given more requests because its
    answers are slow but not slow enough for a cut, and against a server on a
    slower VM that never reaches its slots.

    Given a slot limit of a new server with 8 slots
    When answers of <factor> times the median latency are observed for <seconds> s
    Then the slot limit is <limit>

    Examples:
      | factor | seconds | limit |
      | 1.9    | 1       | 8     |
      | 2.1    | 4       | 1     |
      | 3.9    | 4       | 1     |
      | 3.9    | 59      | 1     |
      | 2.1    | 62      | 8     |
      | 3.9    | 62      | 8     |

  Scenario: slow answers between good ones do not add up to growth
    Guards against a limit that grows on the rare fast answers of a cold server.

    Given a slot limit of a new server with 8 slots
    When the results "completed moderate completed slow completed moderate completed server_error completed" are observed on the slot limit
    Then the slot limit is 1

  Scenario Outline: a slot limit is cut by <results>
    Guards against a server that is kept at its limit while it fails, and
    against cuts because of ordinary variation.

    Given a slot limit of a new server with 8 slots
    When 100 good results are observed on the slot limit
    And the results "<results>" are observed on the slot limit
    Then the slot limit asks for a cut: <cut>

    Examples:
      | results                                               | cut |
      | server_error server_error                             | no  |
      | server_error server_error server_error                | yes |
      | timed_out connection_lost server_error                | yes |
      | server_error completed server_error server_error      | no  |
      | cancelled cancelled cancelled cancelled               | no  |
      | slow slow slow                                        | no  |
      | slow slow slow slow                                   | yes |
      | slow slow completed slow slow                         | no  |

  Scenario: results of grants from before a cut do not count again
    Given a slot limit of a new server with 8 slots
    When 100 good results are observed on the slot limit
    And the slot limit is cut
    And the results "slow slow slow slow slow" of old grants are observed
    And the results "server_error server_error server_error" of old grants are observed
    Then the slot limit asks for a cut: no
    And the slot limit is 1

  Scenario Outline: cold starts are found without false cuts when <servers> slow down
    Guards against a cold server that keeps its full limit, and against cutting
    all servers at once when the whole service or one slow data centre is slow.

    Given a simulated scheduler with 6 servers of 4 slots and seed <seed>
    And the simulated workspace "one" with weight 1, cost <cost> ms and hint factor 0
    When the simulated servers "<servers>" become <factor> times slower after 20 s
    Then only the simulated servers "<cut>" had their limit cut

    Examples:
      | seed | cost   | servers           | factor | cut  |
      | 1    | 80-120 | none              | 1      | none |
      | 2    | 20-400 | none              | 1      | none |
      | 3    | 80-120 | b0                | 8      | b0   |
      | 4    | 20-200 | b3                | 10     | b3   |
      | 5    | 80-120 | b0 b1 b2 b3 b4 b5 | 6      | none |
      | 6    | 80-120 | b0 b3             | 6      | none |
      | 7    | 80-120 | b0 b1 b2 b3 b4 b5 | 2      | none |

  Scenario: a service-wide slowdown is not cut where peers answer too
    Two servers in each data centre become slow together, which looks like a
    slow data centre and not like a cold start.

    Given a simulated scheduler with 6 servers of 4 slots and seed 8
    And the simulated workspace "one" with weight 1, cost 80-120 ms and hint factor 0
    When the simulated servers "b1 b4" become 6 times slower after 20 s
    Then only the simulated servers "none" had their limit cut

  Scenario Outline: a backend server gets no grants after <change>
    Given a simulated scheduler with 3 servers of 2 slots and seed 11
    And the simulated workspace "one" with weight 1, cost 50-100 ms and hint factor 0
    When the simulated server "b0" undergoes "<change>" after 5 s
    Then the simulated server "b0" gets no grant from <after> ms later on
    And the simulated server "b1" still gets grants

    Examples:
      | change                      | after |
      | drain                       | 0     |
      | departure                   | 1200  |
      | silence                     | 5000  |
      | departure and late presence | 1200  |

  Scenario: the slot limits of a restored data centre start low and grow again
    Given a simulated scheduler with 2 servers of 4 slots and seed 12
    And the simulated workspace "one" with weight 1, cost 50-100 ms and hint factor 0
    When the simulated data centre "a" is drained after 5 s and restored 5 s later
    Then the limit of the simulated server "b0" is 1 after the restore
    And the simulated server "b0" is warm 5 s later

  Scenario Outline: the newest incarnation wins over <late> announcements
    Guards against an old incarnation that hides or replaces the running one.

    Given a scheduler that knows the server "x" with incarnations "<known>"
    When the announcements "<late>" arrive
    Then the scheduler keeps the incarnation "<kept>" in use: <usable>

    Examples:
      | known   | late                                  | kept | usable |
      | i1 i2   | i1                                    | i2   | yes    |
      | i1 i2   | i1! i1! i1!                           | i2   | yes    |
      | i1 i2   | i2!                                   | i2   | no     |
      | i1 i2   | i2! i2                                | i2   | no     |
      | i1      | i1! i2                                | i2   | yes    |
      | i2      | i1 +1000 i2 +1000 i2 +1000 i2 +1000 i2 | i2   | yes    |
      | i1 i2   | i1 +1000 i2 i1 +1000 i2 i1 +1000 i2 i1 | i2   | yes    |

  Scenario: connect failures block a server for a growing time
    Given a scheduler that knows the server "x" with incarnations "i1"
    When connects to the server fail until it has been blocked 4 times
    Then the scheduler blocked the server for 500, 1000, 2000 and 4000 ms

  Scenario Outline: announced slots take effect
    Given a scheduler that knows the server "x" with incarnations "i1"
    When 40 requests complete and the server announces <slots> slots
    Then the scheduler limits the server to <limit>

    Examples:
      | slots | limit |
      | 8     | 8     |
      | 3     | 3     |
      | 0     | 0     |

  Scenario Outline: a lost update is released once the grant has expired: <case>
    Guards against slots that leak with a lost update, and against a slot that
    is freed while its request runs.

    Given a scheduler that has granted the only slot of a server at 0 ms
    When the router reconnects at <at> ms and lists the grant as <listed>
    And the router reports again at <later> ms
    Then the scheduler counts <used> slots of the server

    Examples:
      | case              | at   | listed  | later | used |
      | expired           | 1200 | nothing | 1300  | 0    |
      | not expired yet   | 300  | nothing | 900   | 1    |
      | expired later     | 300  | nothing | 1300  | 0    |
      | running           | 1200 | running | 9000  | 1    |
      | running, unbroken | none | nothing | 9000  | 1    |

  Scenario Outline: a new leader withholds grants until the routers have reported: <case>
    Guards against a new leader that grants slots which are still used by
    requests of a router that has not reported yet, and against one that waits for routers
    that were restarted, as after a loss of power.

    Given a new scheduler that awaits the routers "<awaited>"
    When the routers "<reported>" report with first <first>
    Then the scheduler grants after <ms> ms: <granted>

    Examples:
      | case             | awaited | reported | first | ms   | granted |
      | none awaited     |         | r0/a      | True  | 10   | yes     |
      | all reported     | r0 r1   | r0/a r1/b | True  | 10   | yes     |
      | all restarted    | r0 r1   | r0/c r1/d | True  | 10   | yes     |
      | one is missing   | r0 r1   | r0/a      | True  | 10   | no      |
      | missing for long | r0 r1   | r0/a      | True  | 1000 | yes     |
      | another router   | r0 r1   | r0/a r2/b | True  | 999  | no      |
      | no first report  | r0 r1   | r0/a r1/b | False | 999  | no      |

  Scenario Outline: a new leader resumes the limit of a server that runs <running> known and <in_flight> announced requests
    Guards against a leader change that cuts every server to one slot, and
    against slots of requests that no router reports being given again.

    Given a new scheduler to which a router lists <running> running requests
    When the server announces <in_flight> requests in flight and 8 slots
    Then the server has the limit <limit> and <used> slots in use

    Examples:
      | running | in_flight | limit | used |
      | 0       | 0         | 1     | 0    |
      | 0       | 1         | 1     | 1    |
      | 3       | 3         | 3     | 3    |
      | 2       | 5         | 5     | 5    |
      | 4       | 2         | 4     | 4    |
      | 0       | 9         | 8     | 9    |
