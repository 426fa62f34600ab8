@alone
@fixture.cut_fleet
Feature: A leader whose lease lapses for a short time goes on

  Scenario: a short lapse of the lease does not send the routers away
  Each router would lose its place in the queue and its calls about keys, and
  the scheduler would wait for all running grants again.
    Given the controllers of the fleet are whole and hold a change
    When answers take longer than the lease until the leader's lease lapses
    Then the leader pauses and goes on in the same term
    And the router has kept its control connection
    And a change and a deposit are accepted meanwhile
