@fixture.cut_fleet
Feature: Controllers bear one-way cuts and failed disks

  Scenario Outline: frames of <source> to <target> are lost
  A leader that goes on without a majority would grant beside its successor; a
  follower that is deaf must not push a working leader out.
    Given the controllers of the fleet are whole and hold a change
    When the frames of <source> to <target> are lost
    Then a change and a deposit are accepted meanwhile
    And the leader <outcome> and the status names <named> as lagging
    And all controllers hold every accepted change once frames arrive again

    Examples:
      | source        | target        | outcome | named        |
      | the leader    | a follower    | stays   | the follower |
      | a follower    | the leader    | stays   | the follower |
      | the leader    | the followers | changes | the leader   |
      | the followers | the leader    | changes | the leader   |

  Scenario: the disk of the leader takes no more bytes
  A replica that acknowledged or voted without a synced record could forget an
  accepted change or its vote.
    Given the controllers of the fleet are whole and hold a change
    When the disk of the leader is full
    Then a change and a deposit are accepted meanwhile
    And the leader changes and the status names the leader as lagging
    And that controller says "storage failed" at its readyz and metrics
    And that controller gives no vote while another one is frozen
    And all controllers hold every accepted change once it restarts with space
