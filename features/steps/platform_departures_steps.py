"""Steps for backend servers that leave while controllers are lost."""

import signal
import time

import behave

from features.steps import platform_fleet_steps
from features.support import fleet
from features.support import platform_fleet

# Requests that are sent after the late announcement, which would let the
# server be used for 5 s.
REQUESTS = 40
PAUSE_S = 0.05


@behave.given("a backend server that stays and a document at every controller")
def stays(context):
    if context.fleet.last_document is not None:
        return
    platform_fleet_steps.send_document(context, 1)
    platform_fleet_steps.announce(context)


@behave.given("another backend server that has served a request")
def has_served(context):
    context.other = context.fleet.add_server("s")

    def serves():
        context.fleet.ask()
        return context.other.requests

    fleet.wait_until(serves, platform_fleet_steps.WAIT_S, "a request")


def _build_departure(cluster, server, leaves):
    """Returns path and body of the call by which a server leaves."""
    path = f"/api/instances/{server.id}"
    if leaves == "deregisters":
        return f"{path}/deregister", b""
    body = cluster.build_announcement(server, "draining")
    return f"{path}/heartbeat", body


@behave.when("the other server {leaves} and gets status 200")
def leaves(context, leaves):
    cluster, other = context.fleet, context.other
    cluster.servers.remove(other)
    # Announcements that are on their way arrive before the departure.
    time.sleep(0.5)
    context.late = cluster.build_announcement(other, "ready")
    path, body = _build_departure(cluster, other, leaves)
    cluster.until_accepted("POST", path, body)


@behave.when("all controllers are killed and start again {seconds:d} s later")
def all_killed(context, seconds):
    time.sleep(seconds)
    platform_fleet_steps.kill_all(context)


@behave.when("the leader is killed and starts again {seconds:d} s later")
def leader_killed(context, seconds):
    time.sleep(seconds)
    machine = fleet.wait_until(
        context.fleet.leader, platform_fleet_steps.WAIT_S, "a leader"
    )
    machine.kill()
    machine.start()


@behave.when("the followers stand still for {still:d} s {seconds:d} s later")
def followers_stopped(context, still, seconds):
    time.sleep(seconds)
    cluster = context.fleet
    leader = fleet.wait_until(
        cluster.leader, platform_fleet_steps.WAIT_S, "a leader"
    )
    followers = [m for m in cluster.controllers if m is not leader]
    for machine in followers:
        machine.process.send_signal(signal.SIGSTOP)
    time.sleep(still)
    for machine in followers:
        machine.process.send_signal(signal.SIGCONT)


@behave.when("an announcement that the other server sent before arrives late")
def arrives_late(context):
    platform_fleet_steps.served(context)
    context.served_before = len(context.other.requests)
    context.fleet.until_accepted(
        "POST", f"/api/instances/{context.other.id}/heartbeat", context.late
    )


@behave.then("callers are served and the other server gets no request")
def gets_nothing(context):
    statuses = []
    for _ in range(REQUESTS):
        statuses.append(context.fleet.ask().status)
        time.sleep(PAUSE_S)
    late = len(context.other.requests) - context.served_before
    context.other.stop()
    assert statuses.count(200) >= REQUESTS // 2, statuses
    assert late == 0, f"{late} of {REQUESTS} requests"


@behave.when(
    "most controllers stand still and the other server {leaves} at the leader"
)
def leaves_without_majority(context, leaves):
    cluster, other = context.fleet, context.other
    cluster.servers.remove(other)
    leader = fleet.wait_until(
        cluster.leader, platform_fleet_steps.WAIT_S, "a leader"
    )
    path, body = _build_departure(cluster, other, leaves)
    followers = [m for m in cluster.controllers if m is not leader][:3]
    for machine in followers:
        machine.process.send_signal(signal.SIGSTOP)
    try:
        context.answer = fleet.request(
            platform_fleet.CONTROL_PORT,
            "POST",
            path,
            body,
            timeout_s=2.0,
            host=leader.ip,
        )
    finally:
        for machine in followers:
            machine.process.send_signal(signal.SIGCONT)


@behave.then("the other server gets no status 200")
def no_success(context):
    context.other.stop()
    assert context.answer.status != 200, context.answer
