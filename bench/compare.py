"""Compares two settings of one decision in one run.

One fleet of real processes runs for each setting. The same seeded load goes to
them in turn, in short rounds, and the fleet that has none idles meanwhile. The
order of the settings changes with each round.
"""

import collections
import dataclasses
import os
import statistics
import time

from bench import alternative_process
from bench import deployments
from bench import load
from bench import meters
from features.support import fleet
from waxwingrack.core import registry

# Measured time of a round, and the time before it in which the queues fill:
# about one turn of all callers.
ROUND_S = 5.0
FILL_S = 5.0
# Requests in turn of a round, for the latency without a queue.
SINGLE_REQUESTS = 40
LARGE_CALLERS = 40
SMALL_CALLERS_PER_SLOT = 2
# With announcements at the routers in turn, each router hears of a server
# before the former announcement has aged out, which takes 5 s.
ANNOUNCE_S = 0.25
# Routers that take all callers in the uneven load.
BUSY_ROUTERS = 2
SMALL_REQUEST = (20, 40)
LARGE_REQUEST = (100, 140)


@dataclasses.dataclass(frozen=True)
class Decision:
    """One decision of the design and an alternative to it.

    Attributes:
      chosen: Setting of the product.
      alternative: Name of the alternative.
      loads: Names of the loads that show the difference.
    """

    chosen: str
    alternative: str
    loads: tuple[str, ...]


DECISIONS = {
    "scheduler": Decision("fair", "first_come_first_served", ("flood",)),
    "grants": Decision("central", "static_shares", ("flood", "uneven")),
    "cost": Decision("cost_counters", "round_robin", ("mixed_sizes",)),
}

# Functions that build a load from ports, deployment and seed.
LOADS = registry.Registry("load of a comparison")


def _callers(deployment):
    """Returns the callers of each workspace; all stay backlogged."""
    slots = deployments.ENGINE_SLOTS * deployment.pools[0].servers
    small = max(4, SMALL_CALLERS_PER_SLOT * slots // deployment.workspaces)
    return {
        name: LARGE_CALLERS if index < deployment.large else small
        for index, name in enumerate(deployment.workspace_ids())
    }


def _load(ports, deployment, seed, **options):
    path = f"{deployment.pools[0].service}/use"
    callers = _callers(deployment)
    return load.Load(ports, path, callers, seed, shuffled=True, **options)


@LOADS.register("flood")
def _flood(ports, deployment, seed):
    return _load(ports, deployment, seed)


@LOADS.register("uneven")
def _uneven(ports, deployment, seed):
    return _load(ports[:BUSY_ROUTERS], deployment, seed)


@LOADS.register("mixed_sizes")
def _mixed_sizes(ports, deployment, seed):
    sizes = {
        name: LARGE_REQUEST if index % 2 else SMALL_REQUEST
        for index, name in enumerate(deployment.workspace_ids())
    }
    return _load(ports, deployment, seed, sizes=sizes)


def order(settings, number):
    """Returns the settings in the order of a round.

    Args:
      settings: The two settings.
      number: Number of the round.
    """
    return tuple(settings) if number % 2 == 0 else tuple(reversed(settings))


def ratios(chosen, alternative):
    """Divides the measures of the chosen setting by those of the other one.

    Args:
      chosen: Measures by name.
      alternative: Measures by name.

    Returns:
      Ratios by name, None where the alternative has 0.
    """
    return {
        name: round(value / alternative[name], 4) if alternative[name] else None
        for name, value in chosen.items()
    }


def means(rounds):
    """Returns the mean of each measure over the rounds of a setting."""
    return {
        name: round(statistics.fmean(one[name] for one in rounds), 4)
        for name in rounds[0]
    }


def measure(cluster, deployment, build, seed):
    """Measures one round of a load.

    Args:
      cluster: Fleet of the setting.
      deployment: The deployment.
      build: Function of `LOADS`.
      seed: Seed of the load.

    Returns:
      Measures by name, and the number of refusals by error kind.
    """
    names = deployment.workspace_ids()
    callers = build(meters.caller_ports(cluster), deployment, seed)
    callers.start()
    time.sleep(FILL_S)
    sampler = meters.Utilisation(
        server_ports(cluster, deployment), deployments.ENGINE_SLOTS
    )
    start = time.monotonic()
    sampler.start()
    routers = meters.ProcessorTime(meters.router_ids(cluster))
    controllers = meters.ProcessorTime(
        cluster.members[name].process.pid for name in cluster.controllers
    )
    time.sleep(ROUND_S)
    routers.stop()
    controllers.stop()
    end = time.monotonic()
    utilisation = sampler.stop()
    callers.stop()
    answers = [one for one in callers.answers if start <= one[0] <= end]
    tokens = collections.Counter()
    for answer in answers:
        tokens[answer[1]] += answer[2]
    small = names[deployment.large :]
    waits = [answer[6] for answer in answers if answer[1] in small]
    cuts = statistics.quantiles(waits or (0.0, 0.0), n=100)
    gap = load.fairness_gap(callers.answers, names, start, end)
    fair = max(1.0, sum(tokens.values()) / len(names))
    figures = {
        "gap_tokens": gap,
        # The tokens of a fair share differ with the speed of the machine.
        "gap_of_fair_share": gap / fair,
        "least_tokens": min(tokens[name] for name in names),
        "most_tokens": max(tokens[name] for name in names),
        "tokens_per_s": sum(tokens.values()) / (end - start),
        "requests_per_s": len(answers) / (end - start),
        "utilisation": utilisation,
        "small_workspace_p50_s": cuts[49],
        "small_workspace_p95_s": cuts[94],
        "refusals": sum(callers.refusals.values()),
        "broken": callers.broken,
        **routers.figures(len(answers)),
        "cores_of_controllers": controllers.spent / controllers.seconds,
    }
    return figures, callers.refusals


def server_ports(cluster, deployment):
    """Returns the ports of the model pool."""
    pool = deployment.pools[0]
    return [
        cluster.members[f"{pool.service}-v1-{number}"].ports["requests"]
        for number in range(pool.servers)
    ]


def single_requests(cluster, deployment):
    """Returns the times in ms of requests sent one after the other."""
    ports = meters.caller_ports(cluster)
    headers = {
        "Authorization": "Bearer token-w1",
        "Content-Type": "application/json",
    }
    times = []
    for number in range(SINGLE_REQUESTS):
        answer = fleet.request(
            ports[number % len(ports)],
            "POST",
            f"/{deployment.pools[0].service}/use",
            {"prompt": "single", "max_tokens": 1, "unique": number},
            headers,
        )
        assert answer.status == 200, answer
        times.append(1000 * answer.seconds)
    return times


def single_figures(times):
    """Returns median and 95th percentile of times in ms."""
    cuts = statistics.quantiles(times, n=100)
    return {"p50_ms": round(cuts[49], 2), "p95_ms": round(cuts[94], 2)}


def run(deployment, name, seconds, seed):
    """Runs a comparison.

    Args:
      deployment: The deployment.
      name: Name in `DECISIONS`.
      seconds: Measured time of each load and setting.
      seed: Seed of the load.

    Returns:
      Figures of both settings and their ratios, by load.
    """
    decision = DECISIONS[name]
    settings = (decision.chosen, decision.alternative)
    deployment = dataclasses.replace(deployment, pools=deployment.pools[:1])
    programs = alternative_process.program(
        decision.alternative, deployment.routers
    )
    rounds = max(1, round(seconds / ROUND_S))
    load_before = os.getloadavg()[0]
    found = collections.defaultdict(list)
    refusals = collections.defaultdict(collections.Counter)
    singles = collections.defaultdict(list)
    fleets = {}
    try:
        for setting in settings:
            fleets[setting] = meters.start_fleet(
                deployment,
                programs if setting == decision.alternative else None,
                ANNOUNCE_S,
            )
        for setting in settings:
            # The slots of the servers ramp up.
            _warm_up(fleets[setting], deployment, seed)
        for number in range(rounds):
            for setting in order(settings, number):
                singles[setting] += single_requests(fleets[setting], deployment)
            for kind in decision.loads:
                for setting in order(settings, number):
                    figures, refused = measure(
                        fleets[setting],
                        deployment,
                        LOADS[kind],
                        f"{seed}-{number}",
                    )
                    found[kind, setting].append(figures)
                    refusals[f"{kind} {setting}"] += refused
    finally:
        for cluster in fleets.values():
            cluster.stop()
    return {
        "deployment": deployment.name,
        "decision": name,
        "chosen": decision.chosen,
        "alternative": decision.alternative,
        "seed": seed,
        "rounds": rounds,
        "round_s": ROUND_S,
        "processes": "real, on loopback",
        "load_average": [round(load_before, 1), round(os.getloadavg()[0], 1)],
        "loads": {
            kind: _compared(
                settings,
                {one: means(found[kind, one]) for one in settings},
            )
            for kind in decision.loads
        },
        "single_requests": _compared(
            settings, {one: single_figures(singles[one]) for one in settings}
        ),
        "gap_tokens_of_rounds": {
            f"{kind} {setting}": [round(one["gap_tokens"]) for one in rows]
            for (kind, setting), rows in found.items()
        },
        "refusal_kinds": refusals,
    }


def _compared(settings, figures):
    return {**figures, "ratio": ratios(*(figures[one] for one in settings))}


def _warm_up(cluster, deployment, seed):
    callers = LOADS["flood"](meters.caller_ports(cluster), deployment, seed)
    callers.start()
    time.sleep(FILL_S)
    callers.stop()
