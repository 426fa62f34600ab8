Feature: The scheduler refuses requests that crash backend servers

  Scenario Outline: <what> <result> a digest
    Guards against a request that crashes one server after another, and against
    refusing requests whose connection broke for another reason.

    Given a crash guard with 6 servers of 4 slots
    When the digest "bad" undergoes "<what>" at the crash guard
    Then the crash guard refuses "<refused>"

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
    Guards against refusing requests that ran on a server while another request
    crashed it.

    Given a crash guard with 6 servers of 4 slots
    When the digest "bad" crashes each server that runs it while "innocent" requests run and are sent again
    Then the crash guard refuses "bad"
    And at most 2 servers crashed
    And every innocent request completed

  Scenario Outline: many crashing requests with different digests spare bystanders
    Guards against refusing a request that is retried while other requests crash
    the servers on which it runs.

    Given a crash guard with <servers> servers of 4 slots
    When <count> different digests crash their servers while "innocent" requests run and are sent again
    Then the crash guard refuses no innocent request

    Examples:
      | servers | count |
      | 6       | 4     |
      | 3       | 6     |

  Scenario: a popular request on several servers that fail together is not refused
    Guards against refusing a frequent request because a data centre failed.

    Given a crash guard with 6 servers of 4 slots
    When 3 servers crash at once while each runs "popular" beside other requests
    Then the crash guard refuses "nothing"

  Scenario: a digest waits while its second broken connection is not judged
    Guards against fast retries that crash more servers before the first crash
    is confirmed.

    Given a crash guard with 6 servers of 4 slots
    When the digest "bad" crashes each server at once and is sent again at once up to 10 times
    Then at most 2 grants were given to "bad" within 3 s

  Scenario: a suspect does not return to a server that is not judged yet
    Guards against a second broken connection that cannot be told apart from
    the first one.

    Given a crash guard with 1 servers of 4 slots
    When the digest "bad" breaks a connection and is sent again at once
    Then "bad" is granted again after 4 s to 6 s

  Scenario: waiting copies of a refused digest are refused and others are served
    Given a crash guard with 6 servers of 4 slots
    When the policy refuses "bad" while "bad" and "good" wait
    Then the wants of "bad" are refused as request_crashes_servers
    And the wants of "good" are granted
