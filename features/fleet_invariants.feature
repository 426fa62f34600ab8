@fixture.fleet
Feature: Invariants hold in a fleet of processes under load

  Each scenario guards one invariant of the design page against parts that keep
  it alone and break it together.

  Scenario Outline: a fresh backend server gets one request at a time while cold
    A cold server that gets more answers 503, so each overload counts.

    Given a loaded fleet of <callers> callers on service booking
    When a cold booking server joins the loaded fleet for 4 s
    Then the cold server was never given more than 1 request at once while cold
    And the loaded fleet gave no refusal and no broken answer

    Examples:
      | callers |
      | 6       |
      | 24      |

  Scenario: a departing backend server gets no new work after 2 s
    Given a loaded fleet of 8 callers on service booking
    When booking-2 of the loaded fleet announces its departure
    Then no request of the loaded fleet starts there later than 2 s afterwards
    And the loaded fleet gave no refusal and no broken answer

  Scenario: a graceful shutdown of a router cuts no request
    The callers leave the router once it is not ready, as the balancer does; the
    requests that it has by then must end whole.

    Given a loaded fleet of 8 callers on service sketch
    And 3 streams of at least 2 s run through r3 of the loaded fleet
    When r3 of the loaded fleet gets SIGTERM
    Then r3 of the loaded fleet exits with 0 within 20 s
    And the streams of the loaded fleet arrived whole
    And the loaded fleet gave no refusal and no broken answer

  Scenario: the next leader names a killed router and not a stopped one
    An operator must see after an election which routers may lag, and must not
    look for those that were stopped on purpose.

    When r2 of the fleet is killed, r3 gets SIGTERM and then the leader is killed
    Then the next leader of the fleet shows r2 as not connected and not r3
    And every router of the fleet serves again once all processes run

  Scenario: a request that crashes backend servers is refused everywhere
    Given a loaded fleet of 4 callers on service sketch
    And the sketch servers of the loaded fleet crash on the text "poison"
    When the request with "poison" is sent 12 times through all routers in turn
    Then at most 3 crashes happened in the loaded fleet
    And the last answers through every router are request_crashes_servers
    And other requests of the same workspace are answered in the loaded fleet

  Scenario: no workspace starves while another floods
    Given a loaded fleet where w1 floods sketch with 60 callers and w2 has 12
    When the loaded fleet has run for 12 s
    Then the gap in tokens between w1 and w2 stays within the stated bound
    And w2 of the loaded fleet was answered throughout
