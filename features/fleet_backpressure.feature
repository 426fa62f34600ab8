@fixture.stream_fleet
Feature: A caller that reads slowly holds up its own stream only

  Scenario: a stream to a slow caller is not buffered on its way
  Buffers without a bound would let one slow caller take a router's memory.
    When a caller of the fleet begins a stream of 96 MiB and reads nothing
    Then the engine stops within 24 MiB and neither router nor engine grows by 24 MiB
    And another caller's stream of the fleet is whole meanwhile
    And the slow caller can then read its whole stream

  Scenario Outline: a caller that stops reading <part> loses its slot
  A slot held by a caller that never reads again would be lost for the fleet.
    When a caller of the fleet begins a stream of 96 MiB and stops reading <part>
    Then its slot is free after 2 seconds and the outcome is cancelled
    And the caller of the fleet sees a broken transfer

    Examples:
      | part            |
      | at its start    |
      | after 8 MiB     |
