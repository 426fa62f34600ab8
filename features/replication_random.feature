Feature: Replication keeps its invariants under random faults

  Each run loses, reorders and duplicates messages, cuts links in one or both
  directions, crashes processes before and after writes, freezes them, loses
  disks and replaces controllers, while operators race and routers claim keys.
  The invariants are listed in features/steps/replication_checks.py. Further
  seeds: python features/steps/replication_simulation.py --first 1 --seeds 100

  Scenario Outline: a random run of the replicated group
    Then the replicated random run of seed <seed> with <steps> steps keeps all invariants

    Examples:
      | seed | steps |
      | 1    | 4000  |
      | 2    | 4000  |
      | 3    | 4000  |
      | 4    | 4000  |
      | 13   | 4000  |
      | 17   | 4000  |
      | 19   | 4000  |
      | 101  | 8000  |
