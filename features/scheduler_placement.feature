Feature: The scheduler places requests on servers by version and preference

  Scenario Outline: the candidate version gets its share and not one request more
    Guards against a bad version that gets more than its share of requests,
    also when the current version or the candidate has no free slot for a time.

    Given a scheduler with servers of version "v1" with <current> slots and "v2" with <candidate> slots
    And a share of <share> for the version "v2"
    When 1000 requests are granted while <unused> of 10 come back undispatched
    Then in each window of grants the version "v2" gets at most its share plus one request
    And the version "v2" gets <real> of all requests

    Examples:
      | current | candidate | share | unused | real      |
      | 8       | 8         | 0.05  | 0      | 0.04-0.05 |
      | 8       | 8         | 0.01  | 0      | 0.00-0.01 |
      | 8       | 8         | 0.5   | 0      | 0.49-0.50 |
      | 8       | 1         | 0.5   | 0      | 0.10-0.50 |
      | 1       | 8         | 0.05  | 0      | 0.04-0.05 |
      | 8       | 8         | 0     | 0      | 0.00-0.00 |
      | 8       | 24        | 1     | 0      | 1.00-1.00 |
      | 8       | 0         | 0.5   | 0      | 0.00-0.00 |
      | 0       | 8         | 0.05  | 0      | 0.00-0.05 |

  Scenario Outline: the watch period needs no server of the current version
    Guards against requests that wait for a current server when there is none, and
    against losing the comparison share although there is one.

    Given a scheduler with servers of version "v1" with <current> slots and "v2" with 24 slots
    And a share of 0.9 with overflow for the version "v2"
    When 500 requests are granted while 0 of 10 come back undispatched
    Then 500 requests were granted
    And the version "v2" gets <real> of all requests

    Examples:
      | current | real      |
      | 8       | 0.89-0.90 |
      | 1       | 0.89-0.95 |
      | 0       | 1.00-1.00 |

  Scenario Outline: a new version gets no more requests than its rollout may expose, <case>
    Guards against a bad version that has had too many requests before its fault
    shows: at a large share, by overflow, or because a new leader counts from zero.

    Given a scheduler with servers of version "v1" with <current> slots and "v2" with 24 slots
    And a share of <share> with overflow for the version "v2"
    And an exposure of at most 0.1 of the requests and 50 more
    When 600 requests are granted in <periods> periods of leadership
    Then the version "v2" got at most 0.1 of them and 50 more
    And the version "v2" got at least 40 of them

    Examples:
      | case                        | current | share | periods |
      | at a large share            | 8       | 0.9   | 1       |
      | while the old one is busy   | 2       | 0.05  | 1       |
      | after changes of the leader | 8       | 0.9   | 4       |

  Scenario: a version at the limit of its exposure leaves requests to the old version
    Guards against requests that are granted to nobody at the limit.

    Given a scheduler with servers of version "v1" with 8 slots and "v2" with 24 slots
    And a share of 0.9 with overflow for the version "v2"
    And an exposure of at most 0.1 of the requests and 0 more
    When 300 requests are granted in 1 periods of leadership
    Then the version "v2" got at most 0.1 of them and 0 more

  Scenario: a candidate version without servers saves up at most one request
    Guards against a burst on the candidate version once it can run requests.

    Given a scheduler with servers of version "v1" with 8 slots and "v2" with 0 slots
    And a share of 0.5 for the version "v2"
    When 200 requests are granted before a server of version "v2" appears and 200 after
    Then in each window of grants the version "v2" gets at most its share plus one request

  Scenario: unused grants do not pay for requests on the candidate version
    Guards against a share that grows because grants of the current version
    came back undispatched.

    Given a scheduler with servers of version "v1" with 8 slots and "v2" with 8 slots
    And a share of 0.05 for the version "v2"
    When 1000 requests are granted while 5 of 10 come back undispatched
    Then the version "v2" gets 0.03-0.055 of all requests

  Scenario Outline: preferences rank free servers: <case>
    Given the placement servers "<servers>"
    When a request with prefix "<prefix>" from data centre "a" is placed
    Then it is placed on "<server>"

    Examples:
      | case                       | servers                      | prefix | server |
      | prefix before data centre  | x:a:0/4 y:b:0/4:p            | p      | y      |
      | data centre before load    | x:a:3/4 y:b:0/4              |        | x      |
      | lowest load                | x:a:3/4 y:a:1/4 z:a:2/4      |        | y      |
      | load relative to the limit | x:a:2/8 y:a:1/2              |        | x      |
      | full holder is passed over | x:a:0/4 y:a:4/4:p            | p      | x      |
      | least loaded holder        | x:a:3/4:p y:a:1/4:p z:a:0/4  | p      | y      |
      | no free server             | x:a:4/4 y:b:4/4:p            | p      | none   |
      | unknown prefix             | x:a:1/4 y:a:0/4:p            | q      | y      |

  Scenario Outline: prefix caches follow events that are late or lost: <case>
    Guards against affinity to prefixes that a server may have evicted.

    When the cache events "<events>" are applied
    Then the known prefixes are "<known>"

    Examples:
      | case          | events           | known |
      | in order      | 1+p 2+q          | p q   |
      | eviction      | 1+p 2+q 3-p      | q     |
      | repeated      | 1+p 2-p 1+p      |       |
      | gap clears    | 1+p 2+q 4+r      | r     |
      | first is late | 7+p 8+q          | p q   |
      | old after gap | 1+p 5+q 3+r      | q     |

  Scenario: the known prefixes of a server are bounded
    When 2000 different prefixes are stored in a cache
    Then 512 prefixes are known and the latest is among them

  Scenario: a popular prefix neither leaves slots idle nor overloads its holder
    Given the placement servers "x:a:0/4:p y:a:0/4 z:a:0/4"
    When 30 requests with prefix "p" from data centre "a" wait
    Then each placement server has all of its slots in use

  Scenario Outline: avoided servers are used only when no others are left: <avoid>
    Given the placement servers "x:a:0/4 y:a:2/4"
    When a request that avoids "<avoid>" is placed
    Then it is placed on "<server>"

    Examples:
      | avoid | server |
      | none  | x      |
      | x     | y      |
      | x y   | x      |

  Scenario Outline: an engine that announces <cold> ms of cold start gives its latency when its answer begins
    Guards against a slow version that is judged only when its long answers have
    ended, or by latencies of servers that have just started.

    Given a scheduler with a model engine that announces <cold> ms of cold start
    When a prompt of 6000 tokens is granted, answered after 200 ms and completed later
    Then the samples are "<samples>"

    Examples:
      | cold | samples                           |
      | 0    | begun warm, completed latency-known |
      | 3000 | begun cold, completed latency-known |
