Feature: Version moves end on time as done or taken back

  A bad version must not keep traffic after its fault shows, and a good version
  must not be taken back because of a slow data centre, a cold start or chance.

  Scenario Outline: a rollout of a <kind> version at <rate> requests per second
    Given a simulated rollout with deadline 120 s and watch period 20 s
    And the simulated traffic is <rate> requests per second with seed <seed>
    And the simulated new version is <kind>
    When the simulated rollout runs to its end
    Then the simulated rollout ends as <end> within 120 s
    And the simulated reason contains "<reason>"

    Examples: good versions
      | kind                   | rate | seed | end  | reason   |
      | good                   | 50   | 1    | done | no fault |
      | good                   | 5    | 2    | done | no fault |
      | good                   | 1    | 3    | done | no fault |
      | good                   | 200  | 4    | done | no fault |
      | good_in_slow_centre    | 50   | 5    | done | no fault |
      | good_in_broken_centre  | 50   | 6    | done | no fault |
      | good_mostly_in_slow_centre   | 50 | 24 | done | no fault |
      | good_mostly_in_broken_centre | 50 | 25 | done | no fault |
      | cold_at_start          | 50   | 7    | done | no fault |
      | hit_by_one_crash       | 50   | 8    | done | no fault |
      | as_faulty_as_old       | 50   | 9    | done | no fault |
      | good_slower_with_load        | 50 | 26 | done | no fault |
      | good_in_busy_service         | 50 | 28 | done | no fault |
      | good_as_centre_slows         | 50 | 29 | done | no fault |
      | good_without_old_servers     | 50 | 30 | done | no fault |

    Examples: bad versions
      | kind                   | rate | seed | end        | reason   |
      | failing                | 50   | 11   | taken_back | errors   |
      | failing                | 1    | 12   | taken_back | errors   |
      | failing_a_third        | 50   | 13   | taken_back | errors   |
      | failing_late           | 50   | 14   | taken_back | errors   |
      | failing_under_load     | 50   | 15   | taken_back | errors   |
      | failing_on_one_route   | 50   | 16   | taken_back | errors   |
      | slow                   | 50   | 17   | taken_back | latency  |
      | slow_late              | 50   | 18   | taken_back | latency  |
      | slow_on_one_route      | 50   | 19   | taken_back | latency  |
      | slow_at_full_share     | 50   | 27   | taken_back | latency  |
      | slow_without_old_servers | 50 | 31   | taken_back | latency  |
      | 2_slow_at_full_share   | 50   | 32   | taken_back | latency  |
      | 2_slow_under_load      | 50   | 33   | taken_back | latency  |
      | 2_slow_on_one_route    | 50   | 34   | taken_back | latency  |
      | absent                 | 50   | 20   | taken_back | deadline |

  Scenario Outline: little traffic reaches a version that is bad from the start
    Given a simulated rollout with deadline 120 s and watch period 20 s
    And the simulated traffic is 50 requests per second with seed <seed>
    And the simulated new version is <kind>
    When the simulated rollout runs to its end
    Then at most 5 in 100 simulated requests went to the new version
    And no simulated request went to it later than 10 s after its fault showed

    Examples:
      | kind                 | seed |
      | failing              | 21   |
      | failing_a_third      | 22   |
      | failing_on_one_route | 23   |

  Scenario Outline: a new leader judges by the samples of the former ones, <kind>
    Guards against a bad version that is kept, or gets far more requests, because
    each new leader starts without samples.

    Given a simulated rollout with deadline 120 s and watch period 20 s
    And the simulated traffic is 50 requests per second with seed <seed>
    And the simulated new version is <kind>
    And the simulated leader is replaced every 2 s
    When the simulated rollout runs to its end
    Then the simulated rollout ends as taken_back within 120 s
    And at most 5 in 100 simulated requests went to the new version

    Examples:
      | kind            | seed |
      | failing         | 41   |
      | failing_a_third | 42   |
      | slow            | 43   |

  Scenario Outline: a short rollout of long streams ends as <end> for a <kind> version
    Guards against a slow version that is kept because its rollout ends before its
    servers count as warm, before its slow answers have ended, or with nothing to
    compare at its low load.

    Given a simulated rollout with deadline 15 s and watch period 3 s
    And the simulated traffic is 150 requests per second with seed <seed>
    And the simulated answers are long streams of servers that announce cold starts
    And the simulated new version is <kind>
    When the simulated rollout runs to its end
    Then the simulated rollout ends as <end> within 15 s
    And at most <share> in 100 simulated requests and 50 more went to the new version

    Examples:
      | kind      | seed | end        | share |
      | slow      | 51   | taken_back | 10    |
      | slow      | 52   | taken_back | 10    |
      | half_slow | 53   | taken_back | 10    |
      | half_slow | 54   | taken_back | 10    |
      | slow_on_one_route | 55 | taken_back | 10 |
      | good      | 56   | done       | 100   |
      | good      | 57   | done       | 100   |
      | good_slower_with_load | 58 | done | 100  |

  Scenario: good versions in short rollouts are not taken back by chance
    Given a simulated rollout with deadline 15 s and watch period 3 s
    And the simulated traffic is 150 requests per second with seed 200
    And the simulated answers are long streams of servers that announce cold starts
    And the simulated new version is good_slower_with_load
    When the simulated rollout runs with 20 seeds in turn
    Then every simulated rollout ended as done

  Scenario: a version without a latency to compare is not declared done
    Guards against a version that is kept although no judge could look at it.

    Given a simulated rollout with deadline 6 s and watch period 1 s
    And the simulated traffic is 50 requests per second with seed 61
    And the simulated new version is good
    And the old version has latencies from before
    When the simulated rollout runs to its end
    Then the simulated rollout ends as taken_back within 7 s
    And the simulated reason contains "too few latencies"

  Scenario: good versions are not taken back by chance
    Given a simulated rollout with deadline 60 s and watch period 10 s
    And the simulated traffic is 50 requests per second with seed 100
    And the simulated new version is as_faulty_as_old
    When the simulated rollout runs with 40 seeds in turn
    Then every simulated rollout ended as done

  Scenario Outline: an ended or later phase never moves back
    Then a rollout in phase <phase> may move to <allowed> only

    Examples:
      | phase      | allowed                     |
      | trial      | trial ramping taken_back    |
      | ramping    | ramping watching taken_back |
      | watching   | done taken_back             |
      | done       | nothing                     |
      | taken_back | nothing                     |
