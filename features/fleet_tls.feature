@fixture.tls_fleet
Feature: Processes of a fleet authenticate each other by mutual TLS

  Scenario: a request passes a fleet whose processes speak TLS only
    When a deposit is confirmed through the fleet over TLS
    Then it ran once and no process of the fleet refused a peer

  Scenario: a peer that goes away during the handshake is not counted as refused
  A process that is slow to start would report strangers that do not exist.
    When a peer with a valid certificate goes away during the handshake
    Then the controller logs that and counts no refused peer

  Scenario Outline: a peer with <certificate> is refused and counted
  A stranger that gets in could report grants, read the environment and vote.
    When a peer with <certificate> connects to a controller of the fleet
    Then the controller refuses the peer and counts and logs "<reason>"

    Examples:
      | certificate                        | reason                |
      | a certificate of another authority | unable to get local   |
      | an expired certificate             | certificate has expired |
      | no certificate                     | did not return a certificate |
      | no TLS                             | SSL                   |

  Scenario Outline: a router with <certificate> gets no environment
    When a router with <certificate> starts in the fleet
    Then that router refuses callers as not_ready and <observers> count and log "<reason>"

    Examples:
      | certificate                        | observers | reason                    |
      | a certificate of another authority | r8        | certificate verify failed |
      | an expired certificate             | c1 c2 c3  | certificate has expired   |

  Scenario: TLS files are replaced by restarts without a lost request
  A process that reads new files too early, or too late, loses its peers.
    When the files of the fleet are replaced by those of a second authority that it trusts, with a restart of one process at a time under deposits
    Then every deposit was answered and ran once
    And only certificates of the second authority are in use
