"""Steps for idempotency records in the replicated state machine."""

import contextlib
import dataclasses
import time
from unittest import mock

import behave
import replication_simulation

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.operations import replicated
from waxwingrack.operations import replicated_keys

KEY = "1700000000-k"
ANSWER = data.StoredAnswer(200, (), b"answer")
State = data.KeyState


def empty_state(retention_s=50.0):
    document = replication_simulation.environment(retention_s=retention_s)
    command = commands.ApplyEnvironment("first", "zoe", 0, document)
    return replicated.apply(data.ReplicatedState(), command).state


def apply(context, command):
    applied = replicated.apply(context.state, command)
    context.state = applied.state
    return applied.outcome


def checkpoint(seconds):
    return commands.Checkpoint(seconds, (), ())


def key_command(name, owner):
    return {
        "claim": commands.ClaimKey("w", KEY, "digest", owner),
        "other request": commands.ClaimKey("w", KEY, "other", owner),
        "answer": commands.RecordKeyOutcome("w", KEY, owner, ANSWER),
        "unknown": commands.RecordKeyOutcome("w", KEY, owner, None),
        "release": commands.ReleaseKey("w", KEY, owner),
    }[name]


HISTORIES = {
    "absent": (),
    "claimed": ("claim",),
    "answered": ("claim", "answer"),
    "may_have_run": ("claim", "unknown"),
    "released": ("claim", "release"),
    "expired": ("claim", "expire"),
}


@behave.given("the replicated key of r1 is {state}")
def key_history(context, state):
    context.state = empty_state()
    for name in HISTORIES[state]:
        if name == "expire":
            apply(context, checkpoint(50.0))
        else:
            apply(context, key_command(name, "r1"))


@behave.when("{owner} sends {command} for the replicated key")
def send_command(context, owner, command):
    context.before = context.state.keys.get(("w", KEY))
    context.outcome = apply(context, key_command(command, owner))


def key_state(context):
    record = context.state.keys.get(("w", KEY))
    return "absent" if record is None else str(record.state)


@behave.then("the replicated key answers {answer} and is {state}")
def key_answers(context, answer, state):
    outcome = context.outcome
    if isinstance(outcome, data.KeyRecord):
        claimed = outcome.state is State.CLAIMED
        found = "granted" if claimed else str(outcome.state)
        assert outcome == context.state.keys[("w", KEY)]
    else:
        found = str(outcome)
    assert found == answer, outcome
    assert key_state(context) == state
    record = context.state.keys.get(("w", KEY))
    if context.before is not None and record is not None:
        assert record.owner == context.before.owner


@behave.then(
    "a lookup of the replicated key with {digest} and live owners {live}"
    " finds {state}"
)
def lookup(context, digest, live, state):
    digest = "digest" if digest == "same" else digest
    found = replicated.lookup_key(
        context.state, "w", KEY, digest, frozenset(live.split(","))
    )
    assert found.state == state, found
    assert found.answer == (ANSWER if state == "answered" else None)


@behave.when("{owner} claims the replicated key {key} of workspace {workspace}")
def claim_other(context, owner, key, workspace):
    with bounds(context):
        context.outcome = apply(
            context, commands.ClaimKey(workspace, key, "digest", owner)
        )


@behave.then("the replicated claim is {answer}")
def claim_is(context, answer):
    outcome = context.outcome
    found = outcome.state if isinstance(outcome, data.KeyRecord) else outcome
    assert found == answer, outcome


@behave.when(
    "{seconds:g} s of leader-counted time pass with a replicated retention of"
    " {retention:g} s"
)
def pass_time(context, seconds, retention):
    assert context.state.environment.key_retention_s == retention
    apply(context, checkpoint(seconds))


@behave.then("the replicated key is {state}")
def key_is(context, state):
    assert key_state(context) == state
    floor = context.state.key_floors.get("w", 0)
    assert floor == (1_700_000_000 if state == "absent" else 0), floor


def bounds(context):
    """Returns the bounds that the scenario has set, as a patch."""
    changed = getattr(context, "bounds", None)
    if not changed:
        return contextlib.nullcontext()
    return mock.patch.multiple(replicated_keys, **changed)


@behave.given("a replicated store that is full by {bound}")
def full_store(context, bound):
    context.state = empty_state()
    context.bounds = {
        "count": {"MAX_KEYS": 10},
        "bytes": {"MAX_STORED_BYTES": 10 * len(ANSWER.body)},
    }[bound]
    with bounds(context):
        for index in range(10):
            key = f"1700000000-{index}"
            claim = commands.ClaimKey("w", key, "digest", "r1")
            outcome = apply(context, claim)
            assert outcome.state is State.CLAIMED, outcome
            apply(context, commands.RecordKeyOutcome("w", key, "r1", ANSWER))


@behave.then("all keys of the replicated store are kept")
def all_kept(context):
    records = context.state.keys.values()
    assert [record.answer for record in records] == [ANSWER] * 10


@behave.when("the retention of the replicated store has passed")
def retention_passed(context):
    apply(context, checkpoint(50.0))
    assert context.state.stored_bytes == 0


@behave.when("r1 records a replicated answer of {size:d} bytes")
def record_large(context, size):
    answer = dataclasses.replace(ANSWER, body=bytes(size))
    apply(context, commands.RecordKeyOutcome("w", KEY, "r1", answer))


@behave.then(
    "the stored replicated answer has {kept:d} bytes and truncated is"
    " {truncated}"
)
def stored_answer(context, kept, truncated):
    answer = context.state.keys[("w", KEY)].answer
    assert len(answer.body) == kept
    assert answer.truncated == (truncated == "True")
    assert context.state.stored_bytes == kept


def filled(count):
    state = empty_state()
    for index in range(count):
        command = commands.ClaimKey("w", f"1700000000-{index}", "d", "r1")
        state = replicated.apply(state, command).state
    return state


def shortest_s(state, make):
    """Returns the shortest of some times that a command takes."""
    times = []
    for index in range(200):
        command = make(index)
        began_s = time.perf_counter()
        state = replicated.apply(state, command).state
        times.append(time.perf_counter() - began_s)
    return min(times)


@behave.given("a replicated store with {count:d} keys")
def store_with(context, count):
    context.large = filled(count)


@behave.then(
    "a replicated {kind} takes less than {factor:d} times as long as with"
    " {count:d} keys"
)
def compare_times(context, kind, factor, count):
    def make(index):
        if kind == "claim":
            return commands.ClaimKey("w", f"1700000001-{index}", "d", "r1")
        return checkpoint(0.001)

    large_s = shortest_s(context.large, make)
    small_s = shortest_s(filled(count), make)
    assert large_s < factor * small_s, (large_s, small_s)
