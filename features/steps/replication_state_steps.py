"""Steps for operators' commands in the replicated state machine."""

import dataclasses

import behave
import replication_simulation
from returns import result

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.operations import replicated

environment = replication_simulation.environment


def apply(context, command):
    applied = replicated.apply(context.state, command)
    context.state = applied.state
    return applied.outcome


def plan(name, version, service="s"):
    return data.RolloutPlan(name, service, version)


def with_state(document, said):
    """Returns the document with another entry for data centre dc1."""
    first, *others = document.data_centres
    state = None if said == "nothing" else said
    if said == "removal":
        centres = tuple(others)
    else:
        first = dataclasses.replace(
            first, state=state and data.DataCentreState(state)
        )
        centres = (first, *others)
    return dataclasses.replace(document, data_centres=centres)


def operation(kind, name, operator, expected):
    head = (name, operator, expected)
    drained = data.DataCentreState.DRAINED
    two = (plan("p", "v2"), plan("q", "v3"))
    made = {
        "document": lambda: commands.ApplyEnvironment(*head, environment()),
        "drain": lambda: commands.SetDataCentre(*head, "dc1", drained),
        "rollout": lambda: commands.StartRollout(*head, plan("p", "v2")),
        "drain of unknown": lambda: commands.SetDataCentre(
            *head, "dc9", drained
        ),
        "rollout of unknown": lambda: commands.StartRollout(
            *head, plan("p", "v2", "t")
        ),
        "rollout to v1": lambda: commands.StartRollout(*head, plan("p", "v1")),
        "take-back of unknown": lambda: commands.TakeBackRollout(*head, "p"),
        "two rollouts of a service": lambda: commands.ApplyEnvironment(
            *head, environment("v1", two)
        ),
    }
    return made[kind]()


@behave.given("a replicated environment at number 1")
def first_environment(context):
    context.state = data.ReplicatedState()
    context.serial = 0
    outcome = apply(context, operation("document", "first", "zoe", 0))
    assert outcome.accepted and outcome.number == 1


@behave.when(
    "ann and bob send {first} and {second} expecting number {number:d}"
)
def race(context, first, second, number):
    context.outcomes = [
        apply(context, operation(first, "op a", "ann", number)),
        apply(context, operation(second, "op b", "bob", number)),
    ]


@behave.then(
    "the replicated outcomes are {outcomes} and the number is {number:d}"
)
def outcomes_are(context, outcomes, number):
    found = [
        "accepted" if item.accepted else "refused" for item in context.outcomes
    ]
    assert ", ".join(found) == outcomes, context.outcomes
    assert context.state.number == number


@behave.then("bob's replicated outcome names ann as the winner")
def names_winner(context):
    assert context.outcomes[-1].winner == "ann", context.outcomes


@behave.when("ann, then carl change it and bob still expects number 1")
def late_bob(context):
    context.outcomes = [
        apply(context, operation("document", "op a", "ann", 1)),
        apply(context, operation("document", "op c", "carl", 2)),
        apply(context, operation("document", "op b", "bob", 1)),
    ]


@behave.when(
    "ann sends {change} expecting number {expected:d} and resends it after"
    " {others:d} other operations"
)
def resend(context, change, expected, others):
    command = operation(change, "op a", "ann", expected)
    context.outcomes = [apply(context, command)]
    for index in range(others):
        apply(context, operation("drain", f"other {index}", "bob", None))
    context.before = context.state
    context.outcomes.append(apply(context, command))


@behave.then(
    "both replicated outcomes are equal and the second changed nothing"
)
def equal_outcomes(context):
    first, second = context.outcomes
    assert first == second, context.outcomes
    assert context.state is context.before


@behave.when("{count:d} replicated operations are applied")
def many_operations(context, count):
    for index in range(count):
        apply(context, operation("drain", f"op {index}", "ann", None))
    context.count = count


@behave.then("{kept:d} replicated outcomes are kept, the latest ones")
def outcomes_kept(context, kept):
    names = {f"op {i}" for i in range(context.count - kept, context.count)}
    assert set(context.state.outcomes.keys()) == names
    assert len(context.state.outcome_order) == kept


@behave.given("data centre dc1 is {state} in the replicated state")
def set_state(context, state):
    document = with_state(environment(), state)
    number = context.state.number
    apply(context, commands.ApplyEnvironment("set", "ann", number, document))


@behave.when(
    "a document that says {said} of dc1 is applied to the replicated state"
)
def apply_said(context, said):
    document = with_state(environment(), said)
    number = context.state.number
    command = commands.ApplyEnvironment("said", "ann", number, document)
    assert apply(context, command).accepted


@behave.then("data centre dc1 is replicated as {state}")
def centre_is(context, state):
    assert ("dc1" in context.state.drained) == (state == "drained")


@behave.when("the replicated history is {history}")
def run_history(context, history):
    for item in history.split(", "):
        context.serial += 1
        verb, _, rest = item.partition(" ")
        apply(context, history_command(context, verb, rest))


def history_command(context, verb, rest):
    name = f"op {context.serial}"
    head = (name, "ann", context.state.number)
    newest = (context.state.rollout_order or ("",))[-1]
    if verb == "doc":
        return commands.ApplyEnvironment(*head, environment(rest))
    if verb == "declare":
        declared = environment("v1", (plan(f"declared {rest}", rest),))
        return commands.ApplyEnvironment(*head, declared)
    if verb == "remove":
        empty = environment("v1", services=("t",))
        return commands.ApplyEnvironment(*head, empty)
    if verb == "start":
        return commands.StartRollout(*head, plan(name, rest))
    if verb == "take":
        return commands.TakeBackRollout(*head, newest)
    if verb == "digest":
        return commands.RefuseDigest("d")
    if verb == "key":
        return commands.ClaimKey("w", "1700000000-k", "digest", "r1")
    if verb == "routers":
        lost = data.KnownRouter("r2", "dc1", 4, 0.5)
        return commands.NoteRouters(
            (data.KnownRouter("r1", "dc1", 5), lost), ()
        )
    if verb == "checkpoint":
        row = data.CounterRow("s", "w", 0.25)
        return commands.Checkpoint(0.7, (row,), ("r1", "r2"))
    return commands.MoveRollout(newest, data.RolloutPhase(verb), 0.3, "test")


@behave.then("the replicated version of s is {version}")
def version_is(context, version):
    assert context.state.versions["s"] == version, context.state.versions


@behave.then("the replicated rollout 1 is {phase} and the other ones {others}")
def phases_are(context, phase, others):
    first, *later = (
        str(context.state.rollouts[name].phase)
        for name in context.state.rollout_order
    )
    assert first == phase, first
    assert (", ".join(later) or "none") == others, later


@behave.when("ann sends {change} expecting number {number:d}")
def send_change(context, change, number):
    context.outcome = apply(context, operation(change, "op a", "ann", number))


@behave.then(
    'the replicated operation fails with "{message}" at number {number:d}'
)
def change_refused(context, message, number):
    outcome = context.outcome
    assert not outcome.accepted
    assert message in outcome.message, outcome
    assert outcome.number == context.state.number == number
    assert not context.state.rollouts


@behave.when("{count:d} digests are refused twice each in the replicated state")
def refuse_digests(context, count):
    context.count = count
    for index in range(count):
        for _ in range(2):
            apply(context, commands.RefuseDigest(f"d{index}"))


@behave.then("the latest {kept:d} digests are replicated at number {number:d}")
def digests_kept(context, kept, number):
    expected = {f"d{i}" for i in range(context.count - kept, context.count)}
    assert context.state.refused_digests == expected
    assert context.state.number == number


@behave.then("encoding and decoding return the same replicated state")
def encodes(context):
    blob = replicated.encode(context.state)
    decoded = replicated.decode(blob).unwrap()
    assert decoded == context.state
    assert replicated.encode(decoded) == blob
    context.blob = blob


@behave.then("cut or foreign bytes are refused as replicated state")
def refuses_bytes(context):
    for blob in (context.blob[:-1], b"", b"\x80", b"\x82\x40\x80", b"\x01"):
        decoded = replicated.decode(blob)
        assert isinstance(decoded, result.Failure), blob
