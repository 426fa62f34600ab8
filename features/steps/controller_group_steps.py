"""Steps for groups of controllers."""

import signal
import time

import behave

from features.support import controller_fleet
from waxwingrack.core import data

FAULTS = {}
# Time for which a group is left without a majority, in seconds.
NO_MAJORITY_S = 4


def fault(name):
    def decorate(function):
        FAULTS[name] = function
        return function

    return decorate


@fault("no fault")
def no_fault(fleet):
    del fleet


@fault(f"{NO_MAJORITY_S} s without a majority")
def lose_majority(fleet):
    """Kills the leader and stops another controller for a while."""
    leader = fleet.leader()
    paused = next(node_id for node_id in fleet.nodes if node_id != leader)
    fleet.signal(paused, signal.SIGSTOP)
    fleet.signal(leader, signal.SIGKILL)
    time.sleep(NO_MAJORITY_S)
    fleet.signal(paused, signal.SIGCONT)


@fault("kill -9 of the leader")
def kill_leader(fleet):
    fleet.signal(fleet.leader(), signal.SIGKILL)


@fault("kill -9 and restart of all")
def kill_all(fleet):
    restart_all(fleet, signal.SIGKILL)


@fault("orderly stop and restart of all")
def stop_all(fleet):
    restart_all(fleet, signal.SIGTERM)


@fault("freeze of the leader for 2 s")
def freeze_leader(fleet):
    leader = fleet.leader()
    fleet.signal(leader, signal.SIGSTOP)
    time.sleep(2)
    fleet.signal(leader, signal.SIGCONT)


def restart_all(fleet, number):
    nodes = fleet.running()
    for node_id in nodes:
        fleet.nodes[node_id].process.send_signal(number)
    for node_id in nodes:
        fleet.nodes[node_id].process.wait(10)
    for node_id in nodes:
        fleet.start(node_id)


@behave.given("a group of 3 controllers")
def start_group(context):
    context.fleet = controller_fleet.Fleet()
    context.add_cleanup(context.fleet.close)
    context.fleet.leader()


@behave.given("a group of 3 controllers that can be cut off")
def start_cuttable_group(context):
    context.fleet = controller_fleet.Fleet(cuttable=True)
    context.add_cleanup(context.fleet.close)
    context.fleet.leader()


@behave.given('environment "{name}" was applied at the number {number:d}')
@behave.then('environment "{name}" can be applied at the number {number:d}')
def apply_environment(context, name, number):
    status, answer = context.fleet.apply(number, name=name)
    assert status == 200, (status, answer)
    assert answer["number"] == number + 1, answer


@behave.then(
    'environment "{name}" can be applied at the number {number:d} or later'
)
def apply_environment_later(context, name, number):
    fleet = context.fleet
    _, seen = fleet.call(fleet.leader(), "GET", "/v1/environment")
    assert seen["number"] >= number, seen
    status, answer = fleet.apply(seen["number"], name=name)
    assert status == 200, (status, answer)


@behave.then("exactly one controller answers operators as leader")
def one_leader(context):
    assert len(context.fleet.leaders()) == 1


@behave.then("the other controllers answer 421 with the leader's address")
def others_redirect(context):
    fleet = context.fleet
    leader = fleet.leader()
    expected = {
        "id": leader,
        "host": controller_fleet.HOST,
        "port": fleet.nodes[leader].ports["operators"],
    }
    for node_id in fleet.nodes:
        if node_id != leader:
            status, answer = fleet.call(node_id, "GET", "/v1/status")
            assert (status, answer) == (421, {"leader": expected}), answer


@behave.then("every controller is ready")
def all_ready(context):
    fleet = context.fleet
    for node_id in fleet.nodes:
        controller_fleet.wait_for(
            lambda node_id=node_id: (
                fleet.call(node_id, "GET", "/readyz")[0] == 200
            )
        )


@behave.when("the controller group meets {name}")
def meet_fault(context, name):
    FAULTS[name](context.fleet)


@behave.then('the controllers hold environment "{name}" with number {number:d}')
def holds_environment(context, name, number):
    fleet = context.fleet
    status, answer = fleet.call(fleet.leader(), "GET", "/v1/environment")
    assert status == 200, answer
    assert answer["number"] == number, answer
    assert answer["environment"]["name"] == name, answer


@behave.when("the leading controller is stopped by SIGTERM")
def stop_leader(context):
    context.first_leader = context.fleet.leader()
    context.exit_code = context.fleet.signal(
        context.first_leader, signal.SIGTERM
    )


@behave.then("that controller's process has ended with code 0")
def ended_well(context):
    assert context.exit_code == 0, context.exit_code


@behave.then("its log names its start and each step of its stop")
def start_and_stop_logged(context):
    steps = ["controller_started", "controller_stopping", "controller_stopped"]
    lines = context.fleet.log(context.first_leader)
    found = [line["event"] for line in lines if line["event"] in steps]
    assert found == steps, found


@behave.then("another controller leads")
def another_leads(context):
    assert context.fleet.leader(but=context.first_leader)


@behave.when(
    "{count:d} operators apply documents at the number 0 at the same time"
)
def race(context, count):
    fleet = context.fleet
    leader = fleet.leader()
    context.answers = controller_fleet.together(
        [
            lambda number=number: fleet.call(
                leader,
                "PUT",
                "/v1/environment",
                {
                    "operation": f"race-{number}",
                    "operator": f"operator-{number}",
                    "expected": 0,
                    "environment": controller_fleet.document(f"d{number}"),
                },
            )
            for number in range(count)
        ]
    )


@behave.then("exactly one operator was accepted with number 1")
def one_accepted(context):
    accepted = [
        number
        for number, (status, answer) in enumerate(context.answers)
        if status == 200 and answer["accepted"] and answer["number"] == 1
    ]
    assert len(accepted) == 1, context.answers
    context.winner = f"operator-{accepted[0]}"


@behave.then("the other operators were answered 409 with the winner")
def others_conflict(context):
    others = [item for item in context.answers if item[0] != 200]
    assert len(others) == len(context.answers) - 1, context.answers
    for status, answer in others:
        assert status == 409, answer
        assert answer["winner"] == context.winner, answer


@behave.when("an operator applies a document and the answer is lost")
def apply_and_forget(context):
    context.fleet.apply(0, operation="op-lost", name="lost")


@behave.when("the operator sends the same operation again")
def resend(context):
    context.resent = context.fleet.apply(0, operation="op-lost", name="lost")


@behave.then("the resend was accepted with number 1")
def resend_accepted(context):
    status, answer = context.resent
    assert status == 200, context.resent
    assert answer["accepted"] and answer["number"] == 1, answer


@behave.given(
    'a fake router "{name}" at the leading controller with a backend server'
)
def router_with_server(context, name):
    fleet = context.fleet
    context.first_leader = fleet.leader()
    router = fleet.router(name, context.first_leader)
    context.routers = {name: router}
    router.send_report(announcements=(controller_fleet.server(),))
    controller_fleet.wait_for(lambda: router.number == 1)


@behave.when("the leading controller is cut off from the others for {time_s} s")
def cut_leader(context, time_s):
    context.fleet.cut(context.first_leader)
    context.cut_s = float(time_s)
    context.cut_at = time.monotonic()


@behave.when(
    'the fake router "{name}" asks for a grant {delay_s} s after the cut'
)
def ask_after_cut(context, name, delay_s):
    time.sleep(max(0, context.cut_at + float(delay_s) - time.monotonic()))
    want = data.QueuedRequest(1, "ws1", "desk", "read")
    context.routers[name].send_report(
        announcements=(controller_fleet.server(),), wants=(want,)
    )
    time.sleep(max(0, context.cut_at + context.cut_s - time.monotonic()))


@behave.then('the fake router "{name}" got no grant and was sent away')
def sent_away(context, name):
    router = context.routers[name]
    assert not router.grants, router.grants
    assert router.ended and router.refusals, router.refusals


@behave.then('a fake router "{name}" at the leading controller gets a grant')
def gets_grant(context, name):
    fleet = context.fleet
    router = fleet.router(name, fleet.leader(but=context.first_leader))
    router.send_report(
        announcements=(controller_fleet.server(),),
        wants=(data.QueuedRequest(1, "ws1", "desk", "read"),),
    )
    controller_fleet.wait_for(lambda: router.grants)


@behave.when("a follower restarts with a damaged log")
def damage_follower(context):
    fleet = context.fleet
    context.damaged = next(x for x in fleet.nodes if x != fleet.leader())
    fleet.signal(context.damaged, signal.SIGKILL)
    log = fleet.folder / f"data-{context.damaged}" / "log"
    blob = bytearray(log.read_bytes())
    blob[16] ^= 0xFF
    log.write_bytes(blob)
    fleet.start(context.damaged)


@behave.then(
    "that controller answers 503 at /readyz and says that its storage is "
    "damaged"
)
def damaged_not_ready(context):
    fleet, node_id = context.fleet, context.damaged
    status, answer = controller_fleet.wait_for(
        lambda: next(
            (
                item
                for item in [fleet.call(node_id, "GET", "/readyz", token=None)]
                if item[0]
            ),
            None,
        )
    )
    assert status == 503, answer
    assert "damaged" in answer["reason"], answer
    assert fleet.metric(node_id, "replica_failed") == 1


@behave.when("a follower is lost with its disk")
def lose_follower(context):
    fleet = context.fleet
    leader = fleet.leader()
    context.lost, context.other = (x for x in fleet.nodes if x != leader)
    fleet.signal(context.lost, signal.SIGKILL)


@behave.when('an operator repairs it with a new controller "{node_id}"')
def repair(context, node_id):
    fleet = context.fleet
    kept = tuple(x for x in fleet.nodes if x != context.lost)
    node = fleet.add(node_id)
    fleet.start(node_id, listed=(*kept, node_id))

    def address(port):
        return {"host": controller_fleet.HOST, "port": port}

    status, answer = fleet.change(
        "PUT",
        f"/v1/controllers/{node_id}",
        operation="op-repair",
        operator="ada",
        control=address(node.ports["control"]),
        operators=address(node.ports["operators"]),
        replaces=context.lost,
    )
    assert status == 200 and answer["accepted"], answer


@behave.when("the other old follower is killed")
def lose_second(context):
    context.fleet.signal(context.other, signal.SIGKILL)


@behave.then(
    'the status shows the new controller "{node_id}" as a voter and not the '
    "lost one"
)
def repaired(context, node_id):
    fleet = context.fleet
    _, answer = fleet.call(fleet.leader(), "GET", "/v1/status")
    voters = {row["id"] for row in answer["controllers"] if row["voter"]}
    assert node_id in voters and context.lost not in voters, answer
