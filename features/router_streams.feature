Feature: A router streams at the pace of server and caller

  Background:
    Given a router with 2 fake backend servers and an answer timeout of 9 seconds

  Scenario: events are passed on without delay
    When the router's caller reads the stream /model/a?do=stream&events=8&pause=0.1&usage=31
    Then each event passed the router within 100 ms
    And the router reports a cost of 31

  Scenario: a slow caller does not make the router buffer the answer
    When the router's caller asks for 64 MiB and reads nothing for 1 second
    Then the router's backend server could send less than 16 MiB
    And the router's caller can then read all 64 MiB

  Scenario Outline: a request ends when its caller leaves
    When the router's caller leaves during /<act>
    Then the router's backend server sees the request cancelled
    And the router reports the outcome cancelled

    Examples:
      | act                                  |
      | sketch/a?do=stall                    |
      | model/a?do=stream&events=99&pause=.05 |

  Scenario: progress of a long request is reported in moderation
    When the router's caller requests GET /sketch/a?do=slow&pause=2.2
    Then the router reported progress between 2 and 4 times
