"""Steps of the fault matrix with real processes."""

import threading
import time
import uuid

import behave

from features.support import faults
from features.support import fleet

# Time from the start of a request to the middle of each of its steps, in
# milliseconds, with links that delay by 150 ms and work that takes 600 ms.
STEP_MS = {
    "received": 150,
    "queued": 400,
    "granted": 550,
    "recorded": 750,
    "dispatched": 1_200,
    "answered": 1_650,
    "charged": 1_950,
}
FIRST = "r1"
SECOND = "r2"
SERVER = "booking-1"
RESEND_AFTER_S = 1.0
RESEND_INTERVAL_S = 0.5
FINAL_TIMEOUT_S = 25.0
FINAL_KINDS = ("outcome_unknown", "answer_not_kept")


class _Attempts:
    """Attempts of one request with an idempotency key."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.key = fleet.key(uuid.uuid4().hex)
        self.answers = []

    def send(self, router):
        answer = self.cluster.call(
            router,
            "POST",
            "/booking/confirm",
            {"deposit": 1},
            {"Idempotency-Key": self.key, "Content-Type": "application/json"},
            timeout_s=20,
        )
        self.answers.append((router, answer, self.runs()))
        return answer

    def runs(self):
        return sum(
            path.read_text().split().count(self.key)
            for path in self.cluster.folder.glob("*.runs")
        )

    def resend_until_final(self):
        deadline = time.monotonic() + FINAL_TIMEOUT_S
        while time.monotonic() < deadline:
            answer = self.send(SECOND)
            final = answer.error.get("kind") in FINAL_KINDS
            if answer.status == 200 or final:
                return answer
            time.sleep(RESEND_INTERVAL_S)
        raise AssertionError(f"no final answer: {self.answers}")


@behave.when('the fault "{fault}" strikes a matrix request at step {step}')
def strike_request(context, fault, step):
    cluster = context.fleet
    cluster.last_leader = cluster.leader()
    context.number = cluster.status()["number"]
    attempts = context.attempts = _Attempts(cluster)
    first = threading.Thread(target=attempts.send, args=(FIRST,))
    first.start()
    time.sleep(STEP_MS[step] / 1000)
    wait_for_repair = faults.strike(fault, cluster, FIRST, SERVER)
    time.sleep(RESEND_AFTER_S)
    try:
        context.final = attempts.resend_until_final()
        first.join(30)
    finally:
        wait_for_repair()
        faults.restore(cluster)
    assert not first.is_alive(), "the first attempt has no end"


@behave.then("the matrix request ran at most once and its answers are true")
def at_most_once(context):
    attempts = context.attempts
    runs = attempts.runs()
    seen = [
        (router, answer.status, answer.error, count)
        for router, answer, count in attempts.answers
    ]
    assert runs <= 1, (runs, seen)
    bodies = {
        answer.body
        for _, answer, _ in attempts.answers
        if answer.status == 200 and answer.whole
    }
    assert len(bodies) <= 1, seen
    if bodies:
        assert runs == 1, (runs, seen)
    for _, answer, count in attempts.answers[:1]:
        if answer.error.get("execution") == "not_run":
            assert count == 0 or len(attempts.answers) > 1, seen
        if answer.error.get("execution") == "ran":
            assert runs == 1, seen


@behave.then("the matrix fleet serves again with its newest environment")
def serves_again(context):
    cluster = context.fleet
    fleet.wait_until(cluster.in_force, 15, "the environment in force")
    assert cluster.status()["number"] >= context.number
    for router in cluster.routers:
        fleet.wait_until(
            lambda name=router: (
                cluster.call(name, "GET", "/booking/free", timeout_s=5).status
                == 200
            ),
            15,
            f"{router} serves",
        )
