Feature: Idle connections to servers are reused while it is safe

  Scenario Outline: idle time up to which a connection is reused: <case>
    Guards against requests on connections that their servers are closing, and
    against new connections where an idle one is safe.

    When a server states <stated> s, closed after <closes> s <ago> s ago, and <unrepeatable> s apply to the request
    Then a connection may be reused for <limit> s

    Examples:
      | case                              | stated | closes | ago | unrepeatable | limit |
      | no statement                      | -      | -      | 0   | -            | 4     |
      | no statement, must not be lost    | -      | -      | 0   | 3            | 3     |
      | no statement, setting too large   | -      | -      | 0   | 99           | 4     |
      | early close without a statement   | -      | 1      | 0   | 3            | 3     |
      | stated                            | 10     | -      | 0   | -            | 9     |
      | stated, must not be lost          | 10     | -      | 0   | 3            | 8     |
      | stated, reuse is off              | 10     | -      | 0   | 0            | 0     |
      | stated, setting is not a number   | 10     | -      | 0   | nan          | 0     |
      | stated less than the margin       | 1      | -      | 0   | -            | 0     |
      | stated zero                       | 0      | -      | 0   | 3            | 0     |
      | stated a day                      | 86400  | -      | 0   | -            | 59    |
      | closed early                      | 10     | 5      | 0   | -            | 4     |
      | closed early, must not be lost    | 10     | 5      | 0   | 3            | 3     |
      | closed early a minute ago         | 10     | 5      | 60  | -            | 5     |
      | closed early long ago             | 10     | 5      | 999 | -            | 9     |
      | closed early, clock ran backwards | 10     | 5      | -60 | -            | 4     |

  Scenario Outline: what is read from Keep-Alive: <value>
    Guards against a time that a malformed or extreme header sets.

    When a server sends "<value>" as Keep-Alive
    Then the timeout is read as <stated>

    Examples:
      | value                 | stated  |
      | timeout=10            | 10      |
      | max=5, Timeout = "7"  | 7       |
      | timeout=9, timeout=4  | 4       |
      | max=100               | none    |
      | timeout=999999999     | 60      |
      | timeout=-1            | invalid |
      | timeout=nan           | invalid |
      | timeout=1e3           | invalid |
      | timeout=9999999999    | invalid |
      | timeout=              | invalid |

  Scenario Outline: what a close teaches: <case>
    Guards against a single early close that ends all reuse, and against a time
    that stays too long for a server that always closes early.

    When a server that states <stated> s closes connections after <idle> s, <times> times
    Then it is expected to close after <expected> s

    Examples:
      | case                    | stated | idle | times | expected |
      | as stated               | 10     | 9.5  | 1     | 10       |
      | a little early          | 10     | 8    | 1     | 8        |
      | once, at once           | 10     | 0    | 1     | 5        |
      | always after 2 s        | 10     | 2    | 9     | 2.5      |
      | not a number            | 10     | nan  | 1     | 10       |
      | negative idle time      | 10     | -5   | 1     | 5        |

  Scenario Outline: connections that a router keeps to a server with a limit: <limit>, <slots>, <routers>, <holders>
    Guards against more open connections over all routers than the server takes.

    When <holders> routers had grants <ago> ms ago at a server of <limit> connections and <slots> slots
    Then one more of <routers> routers may keep <idle> connections

    Examples:
      | limit | slots | routers | holders | ago   | idle |
      | 0     | 32    | 88      | 0       | 0     | none |
      | 256   | 32    | 88      | 87      | 0     | 2    |
      | 9999  | 32    | 1       | 0       | 0     | 64   |
      | 64    | 32    | 0       | 0       | 0     | 32   |
      | 100   | 32    | 88      | 67      | 0     | 1    |
      | 100   | 32    | 88      | 68      | 0     | 0    |
      | 100   | 32    | 88      | 68      | 60000 | 1    |
      | 16    | 32    | 88      | 0       | 0     | 0    |

  Scenario Outline: the server of a request among several: <case>
    Guards against a preference that costs a wait, or that outlives the
    connection.

    When router r had grants <ages> ms ago at servers that run <running> requests
    Then its next request goes to server <number>

    Examples:
      | case                     | ages        | running | number |
      | none is connected        | - - -       | 0 0 0   | 1      |
      | one is connected         | - 3000 -    | 0 0 0   | 2      |
      | connected too long ago   | - 8000 -    | 0 0 0   | 1      |
      | connected but more busy  | - 3000 -    | 0 1 0   | 1      |
      | connected and less busy  | - - 3000    | 1 1 0   | 3      |

  Scenario Outline: the limit that the environment declares counts: <case>
    Guards against routers that share no limit out where only the environment
    knows it.

    When 0 routers had grants 0 ms ago at a server of <announced> connections and 64 slots
    Then one more of 88 routers may keep <idle> connections if the environment declares <declared>

    Examples:
      | case                 | announced | declared | idle |
      | declared             | 0         | 850      | 8    |
      | announced goes first | 152       | 850      | 1    |
      | neither              | 0         | 0        | none |

  Scenario Outline: requests of two routers in turn: <case>
    Guards against a preference that the leader does not apply, or applies where
    no server announces a limit.

    Given a leader with 4 idle <kind> that announce at most <limit> connections
    When two routers send 12 requests in turn, <pause> ms apart
    Then the requests of each router went to <servers> servers

    Examples:
      | case                 | kind    | limit | pause | servers |
      | limited connections  | servers | 100   | 50    | one     |
      | no limit             | servers | 0     | 50    | several |
      | pairs used too rarely | servers | 100   | 8000  | several |
      | engines              | engines | 100   | 50    | one     |
      | engines, no limit    | engines | 0     | 50    | several |

  Scenario Outline: incarnations that the leader reports as ended: <case>
    Guards against connections that stay open to a server that departs or fails.

    Given a leader with 2 idle servers that announce at most 0 connections
    When the first of them <event>
    Then <count> of its incarnations have ended

    Examples:
      | case        | event                  | count |
      | goes on     | announces itself again | 0     |
      | departs     | announces to depart    | 1     |
      | is silent   | is silent for 6000 ms  | 1     |
      | starts again | announces a new start | 1     |

  Scenario Outline: the pool closes the least recently used connections: <case>
    Guards against more idle connections than the router has descriptors for or
    the server takes.

    When a pool of at most <total> idle connections, <each> a server, gets connections to <servers>
    Then the connections <closed> have been closed

    Examples:
      | case                    | total | each | servers | closed |
      | within the limits       | 4     | 4    | a b a c |        |
      | too many in all         | 2     | 4    | a b a c | 1 2    |
      | too many to one server  | 4     | 1    | a b a c | 1      |
      | none to a server        | 4     | 0    | a       | 1      |

  Scenario Outline: idle connections are closed at once: <case>
    Guards against connections to servers that get no more requests.

    Given a router with 3 idle connections to its server
    When <event>
    Then <left> connections are open

    Examples:
      | case                     | event                                  | left |
      | the server leaves        | the server says that it leaves         | 0    |
      | a data centre is drained | the leader drains a data centre        | 0    |
      | the leader says it ended | the leader says that the server ended  | 0    |
      | the server restarted     | a new incarnation gets a request       | 1    |
      | a connection broke       | the server breaks a connection         | 0    |
      | the leader allows one    | the leader allows 1 idle connection    | 1    |
