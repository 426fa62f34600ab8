@fixture.platform_fleet
Feature: An acknowledged departure outlives the controllers that acknowledged it

  Real processes on loopback addresses, each with the platform's settings file.

  Background:
    Given a backend server that stays and a document at every controller

  Scenario Outline: a server that <leaves> gets nothing after <loss>, <wait> s later
    Guards against requests to a server that has left, as a controller forgot it.

    Given another backend server that has served a request
    When the other server <leaves> and gets status 200
    And <loss> <wait> s later
    And an announcement that the other server sent before arrives late
    Then callers are served and the other server gets no request

    Examples:
      | leaves                  | wait | loss                                       |
      | deregisters             | 0    | all controllers are killed and start again |
      | announces its departure | 0    | all controllers are killed and start again |
      | deregisters             | 6    | the leader is killed and starts again      |
      | announces its departure | 6    | the leader is killed and starts again      |
      | deregisters             | 0    | the leader is killed and starts again      |
      | announces its departure | 0    | the leader is killed and starts again      |
      | deregisters             | 0    | the followers stand still for 6 s          |
      | announces its departure | 0    | the followers stand still for 6 s          |

  Scenario Outline: a server that <leaves> at a leader without a majority gets no 200
    Guards against an acknowledgement that only the leader's memory holds.

    Given another backend server that has served a request
    When most controllers stand still and the other server <leaves> at the leader
    Then the other server gets no status 200

    Examples:
      | leaves                  |
      | deregisters             |
      | announces its departure |
