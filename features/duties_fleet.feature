Feature: Usage reaches the provider once, whatever fails

  Scenario Outline: requests are reported once while <fault>
    Guards against usage that is lost, billed twice or reported by two holders
    under one token.

    Given a fleet with duties and a provider
    When requests are served while <fault>
    Then each request is reported once and each token has one holder
    And the status shows the holder and its token

    Examples:
      | fault                        |
      | nothing fails                |
      | the leader is killed         |
      | all controllers restart      |
      | the provider executes late   |
      | the provider speaks no HTTP  |
      | the provider sends no JSON   |
      | the provider says 500        |
      | the provider says 429        |

    @known_red
    Examples: a window is closed before each router has found the new leader
      | fault                        |
      | the leader is frozen         |

  Scenario: the leader orders servers
    Guards against a decision that does not reach the provider.

    Given a fleet with duties and a provider
    When the booking desk gets limits of 2 to 4 servers
    Then the provider gets one order, of 2 servers for it
