"""Steps of the fault matrix for orders to model engines."""

import json
import operator
import time
import uuid

import behave

from features.support import faults
from features.support import fleet
from features.support import fleet_watch

# Each engine is the only one of a service with its name.
IGNORES = "ignores"
ENGINES = ("checks", IGNORES)
WAIT_S = 20.0
# Time limit of calls to the engines, in seconds.
ANSWER_TIMEOUT_S = 20.0
# Time for a decision, a commit and a call that must not happen, in seconds.
SETTLE_S = 0.4
WATCH_INTERVAL_S = 0.05
# Time of a proposal and of the followers' records, in seconds. It is shorter
# than the lease of a leader that hears no follower.
PROPOSED_S = 0.25
OUTSTANDING = "outstanding"
LEADER_LOST = ("leader killed", "leader cut both ways", "leader frozen")
# Direction and method of the call that a step holds at the engines' links.
HOLDS = {
    "sent": ("up", "POST"),
    "acknowledged": ("down", "POST"),
    "read back": ("down", "GET"),
}


class _Watch(fleet_watch.Background):
    """Samples what the engines have pending and have carried out.

    Attributes:
      faults: What no engine may show.
      orders: Fencing number, engine, version and deciding controller of every
        order in the status.
    """

    def __init__(self, cluster):
        self._cluster = cluster
        self.faults = set()
        self.orders = set()
        self._seen = {}
        work = [lambda name=name: self._engine(name) for name in ENGINES]
        super().__init__([*work, self._status], WATCH_INTERVAL_S)

    def samples(self, name):
        return self._seen.get(name, 0)

    def _engine(self, name):
        state = engine_state(self._cluster, name)
        numbers = [order["fencing"] for order in state["orders"]]
        with self._lock:
            self._seen[name] = self._seen.get(name, 0) + 1
            if numbers != sorted(set(numbers)):
                self.faults.add(f"{name} carried out an old order: {numbers}")
            if name == IGNORES and state["most_pending"] > 1:
                self.faults.add(f"{name} had two outstanding orders")

    def _status(self):
        rows = order_rows(self._cluster)
        with self._lock:
            self.orders |= {
                (row["fencing"], name, row["version"], row["controller"])
                for name, row in rows.items()
            }


def engine_state(cluster, name):
    """Returns the account of an engine, past its link.

    Raises:
      ConnectionError: The engine does not answer.
    """
    port = cluster.members[name].ports["requests"]
    answer = fleet.request(port, "GET", "/-/orders", timeout_s=2)
    if not answer.whole:
        raise ConnectionError(name)
    return json.loads(answer.body)


def order_rows(cluster):
    """Returns the latest order to each engine as the leader shows it."""
    for name in cluster.controllers:
        answer = cluster.operate("GET", "/v1/status", at=name, timeout_s=0.7)
        if answer.status == 200 and answer.whole:
            rows = json.loads(answer.body)["orders"]
            return {row["server_id"]: row for row in rows}
    return {}


def _hold_orders(cluster, name, value):
    port = cluster.members[name].ports["requests"]
    body = {"hold_orders": value}
    fleet.request(port, "PUT", "/-/mode", body, timeout_s=2)


def _change_links(cluster, **changes):
    return [cluster.proxy.change(f"e-{name}", **changes) for name in ENGINES]


def _operate(cluster, method, path, **fields):
    """Sends a change until it is accepted, whoever leads."""
    body = {"operation": str(uuid.uuid4()), "operator": "feature", **fields}
    status, outcome = fleet_watch.resend(cluster, method, path, body)
    return status == 200 and outcome["accepted"]


def _want(cluster, version):
    """Starts a rollout to a version in both services with one change."""
    services = [
        {
            "id": name,
            "version": version,
            "routes": [{"id": "r", "path": f"/{name}", "idempotent": True}],
            "orders": {
                "min_serving_share": 0.0,
                "answer_timeout_s": ANSWER_TIMEOUT_S,
            },
        }
        for name in ENGINES
    ]
    document = fleet.environment(services=services)

    def apply():
        number = cluster.status()["number"]
        return _operate(
            cluster,
            "PUT",
            "/v1/environment",
            expected=number,
            environment=document,
        )

    fleet.wait_until(apply, WAIT_S, f"an environment with {version}")


def _take_back(cluster):
    """Takes all rollouts back."""

    def taken_back():
        answer = cluster.operate("GET", "/v1/rollouts")
        if answer.status != 200 or not answer.whole:
            return False
        open_ = [
            row["plan"]["id"]
            for row in json.loads(answer.body)["rollouts"]
            if row["phase"] not in ("done", "taken_back")
        ]
        for name in open_:
            _operate(cluster, "POST", f"/v1/rollouts/{name}/take-back")
        return not open_

    fleet.wait_until(taken_back, WAIT_S, "rollouts taken back")


def _runs(cluster, name, version):
    """Whether an engine announces a version and no order is outstanding."""
    rows = (cluster.status() or {}).get("backend_servers", ())
    announced = {row["id"]: row["version"] for row in rows}
    order = order_rows(cluster).get(name, {})
    return (
        announced.get(name) == version
        and engine_state(cluster, name)["version"] == version
        and order.get("state") != OUTSTANDING
    )


def _wait_for_version(cluster, version):
    """Waits for both engines; restarts one whose order was lost.

    An engine that ignores numbers gets no further order while one is
    outstanding that may still be on its way.

    Returns:
      The engines that were restarted.
    """
    restarted = []
    for name in ENGINES:
        try:
            limit_s = WAIT_S if name != IGNORES else WAIT_S / 4
            fleet.wait_until(
                lambda name=name: _runs(cluster, name, version),
                limit_s,
                f"{name} at {version}",
            )
        except AssertionError:
            row = order_rows(cluster).get(name, {})
            state = engine_state(cluster, name)
            numbers = [order["fencing"] for order in state["orders"]]
            lost = row.get("state") == OUTSTANDING and not state["pending"]
            lost = lost and row["fencing"] not in numbers
            assert name == IGNORES and lost, (name, version, row, state)
            restarted.append(name)
            cluster.restart_empty(name)
            fleet.wait_until(
                lambda name=name: _runs(cluster, name, version),
                WAIT_S,
                f"{name} at {version} after a restart",
            )
    return restarted


def _cut_leader(cluster, step):
    """Holds the leader's records, or the followers' acknowledgements."""
    leader = cluster.last_leader
    decided = step == "decided"
    for other in set(cluster.controllers) - {leader}:
        cluster.proxy.change(f"{leader}-{other}", up=not decided, down=decided)
        cluster.proxy.change(f"{other}-{leader}", up=decided, down=not decided)


def _links_show(cluster, key, limits, compare=operator.ge):
    return all(
        compare(value, limit)
        for value, limit in zip(
            (_value(row, key) for row in _change_links(cluster)),
            limits,
            strict=True,
        )
    )


def _value(row, key):
    return row["held"] if key == "held" else row["seen"].get(key, 0)


def _reach(cluster, step):
    """Lets orders to both engines get to a step."""
    if step in HOLDS:
        first = "acknowledged" if step == "read back" else step
        _change_links(cluster, hold=HOLDS[first])
        _want(cluster, cluster.versions[0])
        fleet.wait_until(
            lambda: _links_show(cluster, "held", (1, 1)), WAIT_S, step
        )
        if step == "read back":
            # The broken calls leave the outcome of the orders unknown.
            _change_links(cluster, hold=HOLDS[step], reset=True)
            fleet.wait_until(
                lambda: _links_show(cluster, "held", (1, 1)), WAIT_S, step
            )
        _change_links(cluster, hold=None)
        return
    before = [_value(row, "POST") for row in _change_links(cluster)]
    # Both engines are read back right before the decision, which must not come
    # before the cut.
    _change_links(cluster, hold=HOLDS["read back"])
    _want(cluster, cluster.versions[0])
    fleet.wait_until(
        lambda: _links_show(cluster, "held", (1, 1)), WAIT_S, "read-backs"
    )
    _cut_leader(cluster, step)
    _change_links(cluster, hold=None, release=True)
    time.sleep(PROPOSED_S)
    assert _links_show(cluster, "POST", before, operator.eq), "sent too early"


def _next_versions(cluster):
    number = cluster.order_cells = getattr(cluster, "order_cells", 0) + 1
    return (f"v{number}a", f"v{number}b")


def _strike(context, fault):
    cluster = context.fleet
    struck = ENGINES if fault.startswith(("server", "answer")) else (IGNORES,)
    waits = [faults.strike(fault, cluster, "r1", name) for name in struck]
    if not fault.startswith("leader"):
        cluster.heal()

    def wait_for_repair():
        for wait in waits:
            wait()

    return wait_for_repair


@behave.when('the fault "{fault}" strikes a matrix order at step {step}')
def strike_order(context, fault, step):
    cluster = context.fleet
    cluster.versions = _next_versions(cluster)
    fleet.wait_until(cluster.leader, WAIT_S, "a leader")
    _take_back(cluster)
    _wait_for_version(cluster, "v1")
    cluster.last_leader = cluster.leader()
    wait_for_repair = lambda: None  # noqa: E731
    with _Watch(cluster) as context.watch:
        try:
            _reach(cluster, step)
            for name in ENGINES:
                _hold_orders(cluster, name, True)
            wait_for_repair = _strike(context, fault)
            _take_back(cluster)
            _want(cluster, cluster.versions[1])
            wait_for_repair()
            faults.restore(cluster)
            # The engine that checks numbers gets a newer order at once, so the
            # leader has had its chance to send the other one a second order.
            fleet.wait_until(
                lambda: (
                    order_rows(cluster).get("checks", {}).get("version")
                    == cluster.versions[1]
                ),
                # A read-back that is held ends by its own time limit first.
                ANSWER_TIMEOUT_S + WAIT_S,
                "a newer order to the engine that checks numbers",
            )
            time.sleep(SETTLE_S)
            # It has carried the newer order out when the old one arrives.
            _hold_orders(cluster, "checks", False)
            fleet.wait_until(
                lambda: (
                    engine_state(cluster, "checks")["version"]
                    == cluster.versions[1]
                ),
                WAIT_S,
                "the newer order carried out",
            )
        finally:
            wait_for_repair()
            faults.restore(cluster)
            # Calls that were held on their way arrive after newer ones.
            _change_links(cluster, hold=None, release=True)
            time.sleep(SETTLE_S)
            for name in ENGINES:
                fleet.wait_until(
                    lambda name=name: engine_state(cluster, name), WAIT_S, name
                )
                _hold_orders(cluster, name, False)
        context.restarted = _wait_for_version(cluster, cluster.versions[1])


@behave.then("no matrix engine got a second outstanding or an old order")
def no_fault(context):
    watch = context.watch
    assert all(watch.samples(name) for name in ENGINES), "no sample"
    assert not watch.faults, watch.faults
    numbers = {}
    for fencing, name, version, _ in watch.orders:
        numbers.setdefault(fencing, set()).add((name, version))
    assert all(len(found) == 1 for found in numbers.values()), numbers


@behave.then("the matrix order got to the step {step} under {fault}")
def reached(context, step, fault):
    """Only a record on the followers outlives the leader that decided it.

    The next leader may decide for the same version by itself before the newer
    one is wanted, so only orders of the struck leader count.
    """
    if step not in ("decided", "recorded") or fault not in LEADER_LOST:
        return
    old = context.fleet.versions[0]
    known = {
        version
        for _, _, version, controller in context.watch.orders
        if controller == context.fleet.last_leader
    }
    assert (old in known) == (step == "recorded"), (
        context.fleet.last_leader,
        context.watch.orders,
    )


@behave.then("both matrix engines run the version that is wanted now")
def wanted_version(context):
    for name in ENGINES:
        state = engine_state(context.fleet, name)
        assert state["version"] == context.fleet.versions[1], (name, state)
    print(f"restarted: {context.restarted}")
