"""Steps for rollouts at the leading controller."""

import dataclasses
import secrets
import time

import behave

from features.support import controller_fleet
from waxwingrack.core import data
from waxwingrack.core import messages

wait_for = controller_fleet.wait_for

# Requests that the fake router keeps waiting or running.
CONCURRENCY = 16
LATENCY_MS = 5.0


class BusyRouter(controller_fleet.FakeRouter):
    """Fake router that runs requests at once and asks for more."""

    def __init__(self, *arguments, faulty: str = "", **options):
        self._faulty = faulty
        self._sequence = 0
        super().__init__(*arguments, **options)

    def wants(self, count):
        first = self._sequence + 1
        self._sequence += count
        return tuple(
            data.QueuedRequest(number, "ws1", "desk", "read")
            for number in range(first, self._sequence + 1)
        )

    def announce(self):
        servers = tuple(
            dataclasses.replace(
                controller_fleet.server(number, slots=32),
                version=f"v{number}",
            )
            for number in (1, 2)
        )
        self.report(announcements=servers)

    def begin(self):
        self.announce()
        self.report(wants=self.wants(CONCURRENCY))

    def received(self, conn, message):
        super().received(conn, message)
        if isinstance(message, messages.ControllerUpdate) and message.grants:
            self.report(
                finished=tuple(map(self.finish, message.grants)),
                wants=self.wants(len(message.grants)),
            )

    def finish(self, grant):
        failed = grant.version == self._faulty
        outcome = data.Outcome
        return data.FinishedRequest(
            grant.term,
            grant.id,
            outcome.SERVER_ERROR if failed else outcome.COMPLETED,
            LATENCY_MS,
            LATENCY_MS,
            LATENCY_MS,
        )


@behave.when(
    'an operator starts a rollout of "{service}" to version "{version}"'
)
def start_rollout(context, service, version):
    status, answer = context.fleet.change(
        "POST",
        "/v1/rollouts",
        operation=secrets.token_hex(4),
        operator="ada",
        plan={
            "id": "move",
            "service": service,
            "version": version,
            "deadline_s": 12.0,
            "watch_s": 2.0,
        },
    )
    assert status == 200, answer


@behave.when(
    'a fake router runs requests on version "v1" and a {kind} version "v2"'
)
def run_requests(context, kind):
    fleet = context.fleet
    router = BusyRouter(
        fleet.loop,
        "busy",
        fleet.nodes[fleet.leader()].ports["control"],
        faulty="v2" if kind == "faulty" else "",
    )
    fleet.routers.append(router)
    wait_for(lambda: router.number)
    fleet.loop.loop.call_soon_threadsafe(router.begin)
    context.busy = router


def the_rollout(context):
    fleet = context.fleet
    _, answer = fleet.call(fleet.leader(), "GET", "/v1/rollouts")
    (rollout,) = answer["rollouts"]
    return rollout


@behave.then(
    "the rollout becomes {phase} within {limit_s:d} s and its share is "
    "{share:f}"
)
def becomes(context, phase, limit_s, share):
    def reached():
        # Announcements age out after 5 s.
        context.fleet.loop.loop.call_soon_threadsafe(context.busy.announce)
        return the_rollout(context)["phase"] == phase

    wait_for(reached, limit_s, pause_s=0.2)
    assert the_rollout(context)["share"] == share, the_rollout(context)


@behave.then(
    "the leader's log holds the decision that the rollout becomes {phase}"
)
def decision_logged(context, phase):
    fleet = context.fleet
    lines = [
        line
        for line in fleet.log(fleet.leader())
        if line["event"] == "move_rollout" and line["phase"] == phase
    ]
    assert len(lines) == 1 and lines[0]["reason"], lines


@behave.when("{time_s:f} s later the controller group meets {name}")
def meets_later(context, time_s, name):
    time.sleep(time_s)
    context.execute_steps(f"When the controller group meets {name}")


@behave.when("{time_s:f} s pass")
def wait(context, time_s):
    time.sleep(time_s)


@behave.then(
    "the rollout has run for at least {low_s:d} s and at most {high_s:d} s at "
    "the new leader"
)
def ran_for(context, low_s, high_s):
    elapsed_s = the_rollout(context)["elapsed_s"]
    assert low_s <= elapsed_s <= high_s, elapsed_s
    wait_for(lambda: the_rollout(context)["elapsed_s"] > elapsed_s)
