"""Runs the measurements of one deployment and prints one JSON line."""

import argparse
import collections
import json
import signal
import statistics
import subprocess
import sys
import time

from bench import compare
from bench import deployments
from bench import load
from bench import meters
from features.support import fleet
from features.support import loopback

FLOOD_CALLERS = 40
# Callers of a small workspace for each slot of its fair share, so that it is
# backlogged too.
SMALL_CALLERS_PER_SLOT = 2
DRAIN_S = 6.0
DRAIN_BOUND_S = 2.0
ROLLOUT_DEADLINE_S = 40
ROLLOUT_WATCH_S = 5
# Failure modes of bad versions.
BAD_MODES = {"v2": {"errors": 1.0}, "v3": {"slow": 3.0}}


def flood(ports, server_ports, deployment, seconds, seed, router_ids):
    """Measures service while three workspaces flood and all are backlogged.

    Args:
      ports: Ports of the routers.
      server_ports: Ports of the model pool.
      deployment: The deployment.
      seconds: Measured time.
      seed: Seed of the load.
      router_ids: Process ids of the routers.

    Returns:
      Figures by name.
    """
    names = deployment.workspace_ids()
    slots = deployments.ENGINE_SLOTS * len(server_ports)
    small = max(4, SMALL_CALLERS_PER_SLOT * slots // len(names))
    callers = {
        name: FLOOD_CALLERS if index < deployment.large else small
        for index, name in enumerate(names)
    }
    service = deployment.pools[0].service
    callers_load = load.Load(ports, f"{service}/use", callers, seed)
    callers_load.start()
    # The slots ramp up and the queues fill before the measured time.
    time.sleep(5)
    start = time.monotonic()
    sampler = meters.Utilisation(server_ports, deployments.ENGINE_SLOTS)
    sampler.start()
    spent = meters.ProcessorTime(router_ids)
    time.sleep(seconds)
    spent.stop()
    end = time.monotonic()
    used = sampler.stop()
    callers_load.stop()
    answers = [
        answer for answer in callers_load.answers if start <= answer[0] <= end
    ]
    tokens = collections.Counter()
    for answer in answers:
        tokens[answer[1]] += answer[2]
    return {
        "gap_tokens": round(
            load.fairness_gap(callers_load.answers, names, start, end)
        ),
        "least_tokens": min(tokens[name] for name in names),
        "most_tokens": max(tokens[name] for name in names),
        "tokens_per_s": round(sum(tokens.values()) / seconds),
        "utilisation": round(used, 3),
        "refusals": dict(callers_load.refusals),
        "broken": callers_load.broken,
        **spent.figures(len(answers)),
    }


def control_cost(cluster, seconds):
    """Measures control bytes and processor time of idle routers."""
    pattern = r"waxwingrack_\w*bytes\w*"
    before = [meters.metric(cluster, name, pattern) for name in cluster.routers]
    cpu = [meters.process_seconds(one) for one in meters.router_ids(cluster)]
    time.sleep(seconds)
    after = [meters.metric(cluster, name, pattern) for name in cluster.routers]
    cpu_after = [
        meters.process_seconds(one) for one in meters.router_ids(cluster)
    ]
    return {
        "idle_bytes_per_s": round(
            (sum(after) - sum(before)) / seconds / len(before)
        ),
        "idle_core_share": round(
            (sum(cpu_after) - sum(cpu)) / seconds / len(cpu), 4
        ),
    }


def drain_and_restore(cluster, deployment, seed):
    """Measures service while data centre b leaves and returns."""
    service = deployment.pools[1].service
    callers = dict.fromkeys(deployment.workspace_ids(), 1)
    callers_load = load.Load(
        meters.caller_ports(cluster), f"{service}/use", callers, seed
    )
    spent = meters.ProcessorTime(meters.router_ids(cluster))
    callers_load.start()
    time.sleep(4)
    drained = time.monotonic()
    cluster.change("PUT", "/v1/data-centres/b", state="drained")
    time.sleep(DRAIN_S)
    restored = time.monotonic()
    cluster.change("PUT", "/v1/data-centres/b", state="in_service")
    time.sleep(4)
    spent.stop()
    answered = len(callers_load.answers)
    callers_load.stop()
    late = [
        answer[0] - answer[6] - drained
        for answer in callers_load.answers
        if answer[5] == "b" and drained < answer[0] - answer[6] < restored
    ]
    rate = collections.Counter(
        "before"
        if answer[0] < drained
        else "during"
        if answer[0] < restored
        else "after"
        for answer in callers_load.answers
    )
    return {
        "errors": callers_load.broken + sum(callers_load.refusals.values()),
        "last_new_work_s": round(max(late, default=0.0), 2),
        "answers_per_s": {
            "before": round(rate["before"] / 4),
            "during": round(rate["during"] / DRAIN_S),
            "after": round(rate["after"] / 4),
        },
        **spent.figures(answered),
    }


def rollout(cluster, deployment, version, mode, seed):
    """Moves the plain service to a version and reports how it ends."""
    pool = deployment.pools[1]
    meters.add_servers(cluster, pool, version, mode=mode)
    time.sleep(2)
    callers = dict.fromkeys(deployment.workspace_ids(), 1)
    callers_load = load.Load(
        meters.caller_ports(cluster), f"{pool.service}/use", callers, seed
    )
    callers_load.start()
    time.sleep(2)
    before = dict(callers_load.refusals)
    start = time.monotonic()
    plan = {
        "id": f"move-{version}",
        "service": pool.service,
        "version": version,
        "deadline_s": ROLLOUT_DEADLINE_S,
        "watch_s": ROLLOUT_WATCH_S,
    }
    cluster.change("POST", "/v1/rollouts", plan=plan)
    ended = fleet.wait_until(
        lambda: rollout_end(cluster, plan["id"]),
        ROLLOUT_DEADLINE_S + 10,
        "the end of the rollout",
    )
    seconds = time.monotonic() - start
    if not any(answer[4] == version for answer in callers_load.answers):
        print(json.dumps(cluster.status()), file=sys.stderr)
    time.sleep(1)
    callers_load.stop()
    to_new = sum(
        answer[4] == version and answer[0] >= start
        for answer in callers_load.answers
    )
    failed = sum(callers_load.refusals.values()) - sum(before.values())
    total = sum(answer[0] >= start for answer in callers_load.answers) + failed
    return {
        "version": version,
        "mode": mode or "good",
        "end": ended["phase"],
        "reason": ended.get("reason", ""),
        "seconds": round(seconds, 1),
        "share_of_new": round((to_new + failed) / max(total, 1), 4),
        "failed": failed,
    }


def rollout_end(cluster, rollout_id):
    """Returns the rollout once it has ended."""
    body = json.loads(cluster.operate("GET", "/v1/rollouts").body)
    for one in body["rollouts"]:
        name = one.get("id") or one["plan"]["id"]
        if name == rollout_id and one["phase"] in ("done", "taken_back"):
            return one
    return None


def added_latency(cluster, deployment, count=300):
    """Measures one request at a time through a router and directly."""
    service = deployment.pools[1].service
    port = meters.caller_ports(cluster)[0]
    direct_port = cluster.members[f"{service}-v1-0"].ports["requests"]
    samples = {"routed": [], "direct": []}
    headers = {"Authorization": "Bearer token-w1"}
    for _ in range(count):
        for name, target in (("routed", port), ("direct", direct_port)):
            answer = fleet.request(
                target, "GET", f"/{service}/use", headers=headers
            )
            assert answer.status == 200, answer
            samples[name].append(1000 * answer.seconds)
    cuts = {
        name: statistics.quantiles(values, n=100)
        for name, values in samples.items()
    }
    return {
        f"p{percent}_ms": round(
            cuts["routed"][percent - 1] - cuts["direct"][percent - 1], 2
        )
        for percent in (50, 95, 99)
    }


def run_baseline(deployment, seconds, seed):
    """Measures the flood through plain round-robin routers."""
    cluster = fleet.Fleet(controllers=1, routers=1, proxied=False)
    routers = []
    try:
        pool = deployment.pools[0]
        ports = meters.add_servers(cluster, pool, "v1")
        router_ports = loopback.free_ports(deployment.routers)
        names = ",".join(str(port) for port in ports)
        routers = [
            subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "bench.baseline",
                    str(port),
                    f"{pool.service}={names}",
                ],
                cwd=fleet.ROOT,
            )
            for port in router_ports
        ]
        for port in (*router_ports, *ports):
            fleet.wait_until(
                lambda at=port: fleet.request(at, "GET", "/-/x").status,
                20,
                f"port {port}",
            )
        return flood(
            router_ports,
            ports,
            deployment,
            seconds,
            seed,
            [process.pid for process in routers],
        )
    finally:
        for process in routers:
            process.kill()
            process.wait()
        cluster.stop()


def run_system(deployment, seconds, seed):
    """Measures the whole system."""
    cluster = meters.start_fleet(deployment)
    try:
        pool = deployment.pools[0]
        ports = [
            cluster.members[f"{pool.service}-v1-{number}"].ports["requests"]
            for number in range(pool.servers)
        ]
        figures = {"added_latency": added_latency(cluster, deployment)}
        figures["control"] = control_cost(cluster, 5)
        figures["flood"] = flood(
            meters.caller_ports(cluster),
            ports,
            deployment,
            seconds,
            seed,
            meters.router_ids(cluster),
        )
        figures["drain"] = drain_and_restore(cluster, deployment, seed + 1)
        figures["rollouts"] = [
            rollout(cluster, deployment, version, mode, seed + 2)
            for version, mode in (*BAD_MODES.items(), ("v4", None))
        ]
        return figures
    finally:
        cluster.stop()


def main():
    """Parses the arguments and prints the figures."""
    parser = argparse.ArgumentParser(prog="python -m bench")
    parser.add_argument("deployment", choices=sorted(deployments.DEPLOYMENTS))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--compare", choices=sorted(compare.DECISIONS))
    args = parser.parse_args()
    # Without a handler the processes of the fleets would outlive the bench.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    deployment = deployments.DEPLOYMENTS[args.deployment]
    if args.compare:
        figures = compare.run(deployment, args.compare, args.seconds, args.seed)
        print(json.dumps(figures))
        return
    baseline = run_baseline(deployment, args.seconds, args.seed)
    system = run_system(deployment, args.seconds, args.seed)
    gap = system["flood"]["gap_tokens"] / max(1, baseline["gap_tokens"])
    print(
        json.dumps(
            {
                "deployment": deployment.name,
                "seed": args.seed,
                "gap_ratio": round(gap, 4),
                "system": system,
                "baseline": baseline,
            }
        )
    )


if __name__ == "__main__":
    main()
