Feature: Messages between processes are checked when decoded

  A malformed message must not reach the scheduler or another decision as a
  partly valid record.

  Scenario Outline: a malformed frame is refused
    When the frame <frame> is decoded as a message
    Then decoding fails with a reason that contains "<reason>"

    Examples:
      | frame                                                    | reason             |
      | "not cbor"                                               | not a known record |
      | ["no_such_message", {}]                                  | not a known record |
      | ["report", {"sent_ms": 1}]                               | environment_number |
      | ["report", {"sent_ms": "x", "environment_number": 1}]    | sent_ms            |
      | ["report", {"sent_ms": 1, "environment_number": 1, "x": 1}] | x               |

  Scenario: a message survives encoding and decoding
    When a router report with a queued request and an announcement is encoded and decoded
    Then the decoded message equals the original
