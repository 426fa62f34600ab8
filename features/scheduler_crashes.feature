Feature: The scheduler refuses requests that crash backend servers

  Scenario Outline: <what> <result> a digest
    Guards against a request that takes down one server after another, and
    against refusing requests whose connection broke for another reason.

    Given a crash simulation with 6 servers of 4 slots
    When the digest "bad" undergoes "<what>" in the crash simulation
    Then the scheduler refuses "<refused>"

    Examples:
      | what                                   | result          | refused |
      | crash                                  | does not refuse | nothing |
      | crash crash                            | refuses         | bad     |
      | silence silence                        | refuses         | bad     |
      | crash silence                          | refuses         | bad     |
      | break break break break                | does not refuse | nothing |
      | crash break break                      | does not refuse | nothing |
      | crash complete crash                   | does not refuse | nothing |
      | departure departure                    | does not refuse | nothing |
      | crash expiry crash                     | does not refuse | nothing |

  Scenario: a bystander of crashes is not refused
    Guards against refusing requests that happened to run on a server which
    another request crashed.

    Given a crash simulation with 6 servers of 4 slots
    When the digest "bad" crashes each server that runs it while "innocent" requests run and are sent again
    Then the scheduler refuses "bad"
    And at most 2 servers crashed
    And every innocent request completed

  Scenario Outline: many crashing requests with different digests spare bystanders
    Guards against refusing a request that is sent again and again while other
    requests crash the servers that it runs on.

    Given a crash simulation with <servers> servers of 4 slots
    When <count> different digests crash their servers while "innocent" requests run and are sent again
    Then the scheduler refuses no innocent request

    Examples:
      | servers | count |
      | 6       | 4     |
      | 3       | 6     |

  Scenario: a popular request on several servers that fail together is not refused
    Guards against refusing a frequent request because a data centre failed.

    Given a crash simulation with 6 servers of 4 slots
    When 3 servers crash at once while each runs "popular" beside other requests
    Then the scheduler refuses "nothing"

  Scenario: a digest is not granted while its second broken connection is unjudged
    Guards against fast resends that take down servers before the first crash
    is confirmed.

    Given a crash simulation with 6 servers of 4 slots
    When the digest "bad" crashes each server at once and is sent again at once up to 10 times
    Then at most 2 grants were given to "bad" within 3 s

  Scenario: a suspect is not granted a server that is still unjudged
    Guards against a second broken connection that cannot be told apart from
    the first one.

    Given a crash simulation with 1 servers of 4 slots
    When the digest "bad" breaks a connection and is sent again at once
    Then "bad" is granted again after 4 s to 6 s

  Scenario Outline: a request that crashes servers stops reaching them <case>
    Guards against a request that is sent again and again while the verdicts on
    its crashes are pending, lost with a leader or never given, on a service
    whose suspects run beside other requests.

    Given a crash simulation of a service without isolation with 8 servers
    When "bad" crashes each server and is sent again at once for 40 s <case>
    Then at most 3 requests of "bad" reach a server later than 3 s after its third crash
    And every sound request that was sent beside it is granted within 6 s

    Examples:
      | case                                                 |
      | while servers are back after 3 s                     |
      | while servers are back after 8 s                     |
      | while servers are back at once                       |
      | while servers are back under the same id             |
      | while late announcements of crashed servers arrive   |
      | while the leader is replaced after the first crash   |
      | while the leader is replaced after the second crash  |
      | while the leader is replaced after the third crash   |
      | while each leader is replaced after a crash          |
      | while a leader that forgets is replaced after a crash |

  Scenario: a request whose connections break without a crash is served without isolation
    Guards against refusing or holding back requests because a data centre lost
    its connections.

    Given a crash simulation of a service without isolation with 8 servers
    When the connections of "popular" to 5 servers break without a crash
    Then "popular" is granted within 6 s
    And the scheduler refuses "nothing"

  Scenario: a frequent request on servers that fail together is not refused without isolation
    Guards against refusing a frequent request because several servers that ran it
    lost their power at the same time.

    Given a crash simulation of a service without isolation with 8 servers
    When 5 servers crash at once while each runs "popular"
    Then "popular" is granted within 1 s
    And the scheduler refuses "nothing"

  Scenario Outline: requests with a prompt part that crashes servers stop reaching them <case>
    Guards against requests of which no two are alike and that crash one server
    after the other by a part of their prompts.

    Given a crash simulation of a service without isolation with 8 servers
    When prompts with the part "bad" are sent beside others for 30 s <case>
    Then at most 3 prompts with the part "bad" reach a server later than 3 s after its fifth crash
    And at least 9 in 10 prompts without it that were sent later than 12 s are served
    And the scheduler refuses "part:bad"

    Examples:
      | case                                                 |
      | while servers are back after 3 s                     |
      | while servers are back after 8 s                     |
      | while servers are back under the same id             |
      | while late announcements of crashed servers arrive   |
      | while the leader is replaced after the second crash  |
      | while each leader is replaced after a crash          |
      | while a leader that forgets is replaced after a crash |

  Scenario Outline: a new leader does not refuse sound parts of long prompts, <case>
    Guards against parts that most prompts share and that are refused, because a new
    leader hears again of crashes after which they were cleared.

    Given a crash simulation of a service without isolation with 8 servers
    And prompts every 20 ms there, one in 75 of them bad, and sound ones that run for 600 ms
    When prompts with the part "bad" are sent beside others for 30 s <case>
    Then at most 3 prompts with the part "bad" reach a server later than 3 s after its fifth crash
    And at least 9 in 10 prompts without it that were sent later than 15 s are served
    And the scheduler refuses "part:bad"

    Examples:
      | case                                                 |
      | while servers are back after 3 s                     |
      | while the leader is replaced after the third crash   |
      | while each leader is replaced after a crash          |
      | while a leader that forgets is replaced after a crash |
      | while a leader that forgets is replaced after three  |

  Scenario: the refusal of a prompt part ends and one more crash renews it
    Guards against a part that is refused for ever by mistake, and against three
    more crashes each time its refusal ends.

    Given a crash simulation of a service without isolation with 8 servers
    When prompts with the part "bad" are sent beside others for 30 s while servers are back after 3 s
    And 10 minutes pass
    And prompts with the part "bad" are sent again until one crashes
    Then the scheduler refuses the part "bad" within 6 s

  Scenario: a prompt part that all servers ran as they failed together is not refused
    Guards against refusing a part that most prompts share because a service lost
    all its servers at once.

    Given a crash simulation of a service without isolation with 8 servers
    When all servers crash at once while they run prompts with the part "popular"
    Then a prompt with the part "popular" is granted within 8 s
    And the scheduler refuses "nothing"

  Scenario: queued requests of a refused digest are refused and others are served
    Given a crash simulation with 6 servers of 4 slots
    When the policy refuses "bad" while "bad" and "good" wait
    Then the queued requests of "bad" are refused as request_crashes_servers
    And the queued requests of "good" are granted
