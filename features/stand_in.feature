Feature: The stand-in backend server shows the faults of real ones

  Tests and measurements are worth nothing if their backend servers do not
  count runs, are never cold, or announce a load without a lag.

  Scenario: a stream carries the whole answer and its usage
    Given a stand-in process with {"engine": true}
    When the prompt {"prompt": "a b", "stream": true, "max_tokens": 4} goes to the stand-in
    Then the stand-in's stream has 4 words, a usage of 6 tokens and an end

  Scenario: a token takes longer in a larger batch
    Given a stand-in process with {"engine": true, "token_ms": 5, "token_batch_ms": 20}
    When the stand-in gets 1 and then 8 requests at once of 10 tokens
    Then the stand-in takes at least 3 times as long for 8 requests

  Scenario: runs are counted by key, also over a crash
    Given a stand-in process with {"restart_s": 0.1, "mode": {"crash_on": "boom"}}
    When the stand-in gets "plain" with key "1-a" twice and "boom" with key "1-b" once
    Then the stand-in has counted 2 runs of "1-a" and 1 run of "1-b"
    And the stand-in has a new incarnation and its runs file has 3 lines

  Scenario: a cold stand-in refuses what it cannot bear, until it is warm
    Given a stand-in process with {"cold_start_s": 4.0, "cold_requests": 2, "work_ms": 60}
    Then the stand-in answers 2 of 6 requests sent at once
    And the stand-in is slower than 150 ms
    When 4.1 s have passed for the stand-in
    Then the stand-in answers 6 of 6 requests sent at once
    When the mode of the stand-in becomes {"cold": true}
    Then the stand-in answers 2 of 6 requests sent at once

  Scenario Outline: a fault is switched on and off at run time
    Given a stand-in process with {"engine": true, "work_ms": 1}
    When the mode of the stand-in becomes <mode>
    Then a stand-in request on <path> ends as <end>
    When the mode of the stand-in becomes <off>
    Then a stand-in request on <path> ends as 200

    Examples:
      | mode                       | off                   | path | end  |
      | {"errors": 1.0}            | {"errors": 0}         | /a   | 500  |
      | {"errors": 1.0, "errors_above": 3} | {"errors": 0} | /a   | 200  |
      | {"error_path": "/a"}       | {"error_path": ""}    | /a/b | 500  |
      | {"error_path": "/a"}       | {"error_path": ""}    | /b   | 200  |
      | {"stall": true}            | {"stall": false}      | /a   | timeout |
      | {"slow": 100}              | {"slow": 1}           | /a   | timeout |
      | {"cut": true}              | {"cut": false}        | /a   | cut  |

  Scenario Outline: fencing numbers are checked or ignored
    Given a stand-in process with {"checks_fencing": <checks>}
    When the stand-in gets the order 5 for "v2" and then the order 4 for "v1"
    Then the stand-in answers the last order with <status> and runs <version>

    Examples:
      | checks | status | version |
      | true   | 409    | v2      |
      | false  | 200    | v1      |

  Scenario: announcements go to routers in turn, and a departure at once
    Given two fake routers that take announcements
    And a stand-in process with {"engine": true, "announce_interval_s": 0.2, "cache_delay_s": 0.3, "cache_loss": 0.5, "load_lag_s": 0.4}
    When 8 prompts are sent to the stand-in over 0.8 s
    Then both fake routers have got announcements
    And the announced cache events are late and have gaps
    When the stand-in process is stopped
    Then the last announcement says that it departs

  Scenario: a router that ignores connections does not end the announcements
  Guards against servers that are never announced again once an attempt to connect
  timed out, as on a router that closes its port.
    Given a router that ignores connections and a fake one that takes announcements
    And a stand-in process with {"announce_interval_s": 0.2}
    Then the fake router gets 3 announcements within 8 seconds
