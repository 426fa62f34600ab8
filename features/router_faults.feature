Feature: A router answers its own faults truthfully and leaks nothing

  Scenario Outline: an unexpected exception <place> is answered and leaves nothing
  A grant, queue entry, key or byte that a fault leaves behind is lost until
  the router restarts, and a caller must not be told "not run" of a request
  that ran.
    Given a router that meets an unexpected exception <place>
    When the router's caller sends <target> into the fault
    Then the router's caller gets <answer>
    And the router counted and logged one exception as <event>
    And the router holds no grant, queue entry or bytes and serves <target>

    Examples:
      | place                      | target            | answer       | event            |
      | before its request is read | /sketch/a         | the refusal  | request_failed   |
      | at the admission           | /sketch/a         | the refusal  | exchange_failed  |
      | at the lookup of a key     | /sketch/deposit   | the refusal  | exchange_failed  |
      | in the queue               | /sketch/a         | the refusal  | exchange_failed  |
      | after the claim of a key   | /sketch/deposit   | the refusal  | exchange_failed  |
      | before the first byte      | /sketch/deposit   | the refusal  | exchange_failed  |
      | before the answer          | /sketch/a         | the refusal  | exchange_failed  |
      | before a keyed answer      | /sketch/deposit   | the refusal  | exchange_failed  |
      | behind a keyed answer      | /sketch/deposit   | a broken end | exchange_failed  |
      | within the answer          | /sketch/a?do=stream&events=3 | a broken end | exchange_failed |
