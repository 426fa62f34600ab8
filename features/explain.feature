Feature: The log lines of a request are gathered from all processes

  Guards against a complaint whose cause stands in the log of another process.

  Scenario Outline: <case>
    Given the logs of a router and a leader
    When the request <request> is explained
    Then the events are "<events>"

    Examples:
      | case                             | request | events |
      | refused by the leader            | r-over  | queued refusal refused |
      | its server was blocked meanwhile | r-lost  | queued grant dispatched server_blocked ended |
      | served                           | r-ok    | queued grant dispatched ended |
      | its router was saturated already | r-slow  | saturated queued grant dispatched ended |
      | its router had caught up before  | r-fine  | queued grant dispatched ended |
      | its router was killed            | r-cut   | queued grant dispatched router_started |
      | its router had been restarted    | r-new   | queued refusal refused |

  Scenario: the command reads several logs and names an unknown request
    Given the logs of a router and a leader
    Then the command explains r-lost and refuses nobody
