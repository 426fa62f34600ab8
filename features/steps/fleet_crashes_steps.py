"""Steps for requests that crash servers in a fleet of processes."""

import datetime
import itertools
import json
import threading
import time

import behave

from features.support import fleet
from soak import checks

WORD = "deadly word"
PAUSE_S = 0.05
# Time after which a server is back. The third crash is then known already.
RESTART_S = 3.5
# Time after the traffic within which other requests are served again.
RECOVERY_S = 10.0


@behave.given(
    "a fleet with {servers:d} booking servers that crash under one request,"
    " {isolation} isolation"
)
def crashing_fleet(context, servers, isolation):
    context.fleet = cluster = fleet.Fleet()
    context.add_cleanup(cluster.stop)
    names = [f"booking-{number + 1}" for number in range(servers)]
    cluster.serve(
        **{
            name: {
                "data_centre": "abc"[number % 3],
                "mode": {"crash_on": WORD},
                "restart_s": RESTART_S,
            }
            for number, name in enumerate(names)
        }
    )
    document = fleet.environment()
    booking = document["services"][1]
    booking["isolate_suspects"] = isolation == "with"
    booking["routes"].append(
        {
            "id": "render",
            "path": "/booking/render",
            "methods": ["POST"],
            "idempotent": True,
        }
    )
    cluster.apply(document)
    fleet.wait_until(cluster.in_force, 10, "the document in force")


def _crash_times(cluster):
    """Returns the times of all crashes, in seconds."""
    lines = itertools.chain.from_iterable(
        member.log.read_text(errors="replace").splitlines()
        for name, member in cluster.members.items()
        if name.startswith("booking-")
    )
    return sorted(
        datetime.datetime.fromisoformat(json.loads(line)["time"]).timestamp()
        for line in lines
        if '"stand_in_crash"' in line
    )


def _send(cluster, ended, number):
    routers = itertools.cycle(
        [*cluster.routers[number:], *cluster.routers[:number]]
    )
    while not ended.wait(PAUSE_S):
        try:
            cluster.call(
                next(routers), "POST", "/booking/render", WORD.encode()
            )
        except (OSError, AssertionError):
            continue


def _restart(member):
    member.kill()
    member.start()


def _strike(cluster, fault, crashes):
    """Carries out a fault that is due after a number of crashes."""
    if fault.startswith("the leader is killed"):
        due = 1 if "first" in fault else 3
        if crashes == due:
            _restart(cluster.members[cluster.leader()])
    elif fault.startswith("each router") and crashes <= len(cluster.routers):
        _restart(cluster.members[cluster.routers[crashes - 1]])


@behave.when(
    "its caller sends it again at once for {seconds:d} s while {fault}"
)
def send_again(context, seconds, fault):
    cluster = context.fleet
    ended = threading.Event()
    callers = [
        threading.Thread(target=_send, args=(cluster, ended, number))
        for number in range(2)
    ]
    end_s = time.monotonic() + seconds
    for caller in callers:
        caller.start()
    try:
        struck = 0
        while time.monotonic() < end_s:
            crashes = len(_crash_times(cluster))
            if crashes > struck:
                struck += 1
                _strike(cluster, fault, struck)
            time.sleep(PAUSE_S)
    finally:
        ended.set()
        for caller in callers:
            caller.join(20)


@behave.then(
    "it reaches servers at most {count:d} times later than {seconds:d} s after"
    " the third crash"
)
def few_late(context, count, seconds):
    assert (count, seconds) == (checks.MAX_LATE_CRASHES, checks.KNOWN_AFTER_S)
    times = _crash_times(context.fleet)
    assert times, "nothing crashed"
    assert not checks.crashes_end(times), times


@behave.then("other requests of the fleet are served then")
def others_served(context):
    cluster = context.fleet
    for router in cluster.routers:
        fleet.wait_until(
            lambda name=router: (
                cluster.call(name, "GET", "/booking/free").status == 200
            ),
            RECOVERY_S,
            f"{router} serves",
        )
