Feature: Duties of the leading controller towards the provider

  Scenario Outline: orders arrive once and in order: <case>
    Guards against a call that takes effect after a newer one, two holders with
    one token, and calls of a leader without a lease.

    When the history is "<history>"
    Then the provider has executed "<executed>"
    And it got <calls> calls

    Examples:
      | case                             | history | executed | calls |
      | a first leader need not wait     | lead A, order 5, wait 0.5 | A:5@1 | 1 |
      | the same order again             | lead A, order 5, wait 1, order 5, wait 5 | A:5@1 | 1 |
      | only the newest order is queued  | lead A, wait 0.3, provider down, order 5, order 6, order 7, wait 1, provider answers, wait 5 | A:7@1 | 3-7 |
      | an order that is lost            | lead A, wait 0.3, provider loses, order 5, wait 1, provider answers, wait 5 | A:5@1 | 3-5 |
      | executed late, after a newer one | lead A, wait 0.3, provider loses, order 5, provider answers, order 6, wait 5, late | A:6@2 A:fenced@1 | 2 |
      | late, after its own repetition   | lead A, wait 0.3, provider loses, order 5, provider answers, wait 5, order 6, wait 1, late | A:5@1 A:6@2 A:fenced@1 | 3 |
      | back to the order before         | lead A, order 5, wait 1, provider loses, order 6, provider answers, order 5, wait 5, late | A:5@1 A:5@2 A:fenced@1 | 3 |
      | killed between token and call    | lead A, wait 0.3, lead B, order 5, wait 2.8, wait 0.5 | B:5@2 | 1 |
      | a next leader waits for the lease | lead A, order 5, wait 1, lead B, order 6, wait 2.7 | A:5@1 | 1 |
      | and then acquires the duty       | lead A, order 5, wait 1, lead B, order 6, wait 3.5 | A:5@1 B:6@2 | 2 |
      | A, B and A again                 | lead A, order 5, wait 1, lead B, order 6, wait 3.5, lead A, order 7, wait 2.5 | A:5@1 B:6@2 | 2 |
      | the same machine, a new process  | lead A, order 5, wait 1, restart, lead A, order 6, wait 0.5 | A:5@1 A:6@2 | 2 |
      | all controllers restarted        | lead A, order 5, wait 1, restart, lead B, order 6, wait 4 | A:5@1 B:6@2 | 2 |
      | frozen while it connects         | lead A, wait 0.3, provider connects slowly, order 5, lapse A, provider answers, wait 3 | nothing | 1 |
      | woken after the next leader      | lead A, wait 0.3, provider connects slowly, order 5, lead B, order 6, wait 3.5, provider answers, wait 2 | B:6@2 | 2 |
      | a lease that lapsed for a while  | lead A, wait 0.3, lapse A, order 5, wait 1, renew A, wait 0.5 | A:5@1 | 1 |
      | a higher token was seen          | lead A, seen 3, order 5, wait 2.8 | A:fenced@1 | 1 |
      | new tokens after each lease      | lead A, seen 3, order 5, wait 7 | A:fenced@1 A:fenced@2 A:5@3 | 3 |
      | 429 for a minute                 | lead A, provider throttles, order 5, wait 60, provider answers, wait 5 | A:5@1 | 15-35 |
      | a provider down for a minute     | lead A, provider down, order 5, wait 60, provider answers, wait 5 | A:5@1 | 15-35 |
      | a negative order                 | lead A, order 5, wait 1, order -1, wait 1 | A:5@1 | 1 |
      | an order that is not a number    | lead A, order 5, wait 1, order nan, wait 1 | A:5@1 | 1 |
      | a huge order                     | lead A, order 5, wait 1, order huge, wait 1 | A:5@1 | 1 |

  Scenario Outline: each usage window is reported once: <case>
    Guards against requests that are billed twice or never, and against two
    reports of one window that differ.

    When the history is "<history>"
    Then the provider has executed "<executed>"

    Examples:
      | case                          | history | executed |
      | two routers                   | lead A, report r1 0 3, report r2 0 4, wait 10 | A:0=w7@1 |
      | not before its reports are in | lead A, report r1 0 3, wait 8.8 | nothing |
      | a report that is repeated     | lead A, report r1 0 3, report r1 0 3, report r1 0 5, report r1 0 4, wait 10 | A:0=w5@1 |
      | a report after the close      | lead A, report r1 0 3, wait 10, report r1 0 9, wait 20 | A:0=w3@1 |
      | one before it is accepted     | lead A, report r1 0 3, provider down, wait 10, report r1 0 9, wait 2, provider answers, wait 5 | A:0=w3@1 |
      | recorded by a former holder   | lead A, wait 0.3, lead B, wait 3.5, stale 99, report r1 0 3, wait 10 | B:0=w3@2 |
      | to two leaders                | lead A, report r1 0 3, wait 1, lead B, report r1 0 4, wait 10 | B:0=w4@2 |
      | to a leader after the close   | lead A, report r1 0 3, wait 10, lead B, report r1 0 9, wait 20 | A:0=w3@1 |
      | two starts of a router        | lead A, report r1 0 3, report r1b 0 2, wait 10 | A:0=w5@1 |
      | no leader in time             | wait 60, lead A, report r1 0 3, wait 5 | A:0=w3@1 |
      | an older window comes later   | lead A, report r1 1 3, wait 15, report r1 0 4, wait 3 | A:1=w3@1 A:0=w4@1 |
      | answers that are lost         | lead A, report r1 0 3, provider loses answers, wait 9.1, provider answers, wait 5 | A:0=w3@1 A:0=w3@1 |
      | lost, executed late           | lead A, report r1 0 3, report r1 1 4, provider loses, wait 9.1, provider answers, wait 10, late | A:0=w3@1 A:1=w4@2 A:fenced@1 |
      | closed by the former leader   | lead A, report r1 0 3, provider down, wait 10, lead B, provider answers, wait 10 | B:0=w3@2 |
      | all controllers restarted     | lead A, report r1 0 3, provider down, wait 10, restart, lead A, provider answers, wait 5 | A:0=w3@2 |
      | a window that is refused      | lead A, report r1 0 3, report r1 1 4, provider refuses, wait 15, provider answers, wait 9 | A:1=w4@1 A:0=w3@1 |
      | more windows than are kept    | lead A, wait 0.3, fill 300 | nothing |
      | a clock that steps ahead      | lead A, wait 4, report r1 0 3, step 600, wait 2, step 0, report r1 0 5, wait 8 | A:0=w5@1 |
      | a negative count              | lead A, report r1 0 3, report r2 0 -9, wait 10 | A:0=w3@1 |
      | a huge count                  | lead A, report r1 0 3, report r2 0 1000000000000000000000, wait 10 | A:0=w3@1 |
      | a window far ahead            | lead A, report r1 0 3, report r2 100000 9, wait 10 | A:0=w3@1 |

  Scenario Outline: calls stay below the limit of the provider, <rate> per second
    Then <calls> calls at once take <seconds> s at <rate> per second

    Examples:
      | rate | calls | seconds |
      | 50   | 101   | 10      |

  Scenario Outline: the status <status> of the provider
    Then an answer of the provider with the status <status> says <outcome>

    Examples:
      | status | outcome    |
      | 200    | accepted   |
      | 409    | fenced     |
      | 429    | throttled  |
      | 400    | refused    |
      | 408    | unanswered |
      | 500    | unanswered |
      | 503    | unanswered |

  Scenario Outline: a wall clock that shows <shown> seconds too much
    Guards against requests that move to another window.

    When a wall clock that shows <shown> is sampled for 20 s each
    Then true time is off by at most <most> s and at last by <last> s

    Examples:
      | shown       | most | last |
      | 0 0 30 0    | 0    | 0    |
      | 0 0 -30 0   | 0    | 0    |
      | 0 0 1e12 0  | 0    | 0    |
      | 0 0 nan 0   | 0    | 0    |
      | 30 0 0      | 30   | 0    |
      | 0 7 7 7 7 7 | 7    | 7    |

  Scenario Outline: a router counts and reports usage: <case>
    Guards against counts that are reported too often or missed by a new leader.

    When a router counts "<requests>"
    Then it reports "<reports>"

    Examples:
      | case                        | requests | reports |
      | cumulative counts           | w:200 report at:1000 w:200 v:200 report | 0:w1 0:v1,0:w2 |
      | at most once a second       | w:200 report w:200 at:900 report at:1000 report | 0:w1 - 0:w2 |
      | nothing has changed         | w:200 report at:2000 report | 0:w1 - |
      | all windows to a new leader | w:200 report at:5000 v:200 report at:5100 first | 0:w1 1:v1 0:w1,1:v1 |
      | what a leader has had       | w:200 report at:19000 first at:38900 report first at:58900 report first | 0:w1 0:w1 - 0:w1 - - |
      | requests that have not run  | w:429 w:503 w:421 w:408 w:404 w:500 report | 0:w2 |
      | a public route              | (public):200 report | - |
