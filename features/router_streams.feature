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

  Scenario Outline: a stream that makes no progress ends: <what> now and then
    A server that is stuck may keep its connection busy. The slot of the request and
    its caller would wait for it for good.

    Given a router whose servers may pause for 2 seconds
    When the router's caller requests GET /model/a?do=trickle&text=<text>
    Then the router's caller sees a broken transfer
    And the router reports the outcome timed_out
    And the router's caller waited less than 6 seconds

    Examples:
      | what                   | text          |
      | a byte                 | x             |
      | a comment line         | %3A%20wait%0A |
      | a comment and its end  | %3A%0A%0A     |
      | an empty line          | %0A           |
      | an event without data  | event%3Ax%0A%0A |
      | a line without its end | data%3Ax%0A   |

  Scenario: a slow but sound stream arrives whole
    Guards against a bound on the whole stream in place of one on its pauses.

    Given a router whose servers may pause for 2 seconds
    When the router's caller requests GET /model/a?do=stream&events=5&pause=1.5
    Then the router's caller gets all 5 events
    And the router reports the outcome completed

  Scenario Outline: a stream that broke off gets nothing from another server: <next>
    Callers would find the error of the next server within their stream, or take
    the stream for whole.

    Given a router whose servers may pause for 2 seconds
    And the next answer of each server is break_stream, <next> or <next>
    When the router's caller reads all bytes of the answer to /model/a?do=<next>
    Then it has got the first event and nothing else

    Examples:
      | next      |
      | error     |
      | redirect  |
      | ok        |
      | no_answer |
      | drop      |
