"""Steps for the routers in the replicated state."""

import behave

from features.support import controller_fleet
from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.operations import known_routers
from waxwingrack.operations import replicated

wait_for = controller_fleet.wait_for


def _row(text):
    """Reads `id#number`, or `id#number@time` of a lost router."""
    head, _, lost = text.partition("@")
    node_id, _, number = head.partition("#")
    lost_s = float(lost) if lost else None
    return data.KnownRouter(node_id, "a", int(number), lost_s)


def _rows(text):
    return tuple(_row(one) for one in text.split())


def _apply(context, command):
    context.state = replicated.apply(context.state, command).state


@behave.given('the known routers "{known}"')
def known(context, known):
    context.state = data.ReplicatedState()
    rows = _rows("" if known == "none" else known)
    _apply(context, commands.NoteRouters(rows, ()))


@behave.when(
    'a leader at {clock:d} s sees "{seen}", that "{left}" left, {more}'
)
def leader_sees(context, clock, seen, left, more):
    seen = known_routers.ObservedRouters(
        rows=_rows("" if seen == "none" else seen),
        left=frozenset(left.split()),
        clock_s=clock,
        missing_since_s=40.0 if "late" in more else None,
        include_numbers="numbers" in more,
    )
    context.writes = 0
    # A second comparison must find no further differences.
    for _ in range(2):
        command = known_routers.find_changes(
            context.state.known_routers.values(), seen
        )
        if command is not None:
            context.writes += 1
            _apply(context, command)


@behave.then('the known routers are "{rows}" after {writes:d} commands')
def known_are(context, rows, writes):
    found = set(context.state.known_routers.values())
    assert found == set(_rows("" if rows == "none" else rows)), found
    assert context.writes == writes, context.writes
    assert context.state.number == 0


@behave.when("{lost:d} lost and {connected:d} connected routers are noted")
def note_many(context, lost, connected):
    _apply(
        context,
        commands.NoteRouters(
            (
                *_rows(" ".join(f"l{i}#1@{i}" for i in range(lost))),
                *_rows(" ".join(f"c{i}#1" for i in range(connected))),
            ),
            (),
        ),
    )


@behave.then("{connected:d} connected and the {lost:d} last lost are known")
def bounded(context, connected, lost):
    rows = context.state.known_routers.values()
    assert sum(row.lost_s is None for row in rows) == connected
    times = [row.lost_s for row in rows if row.lost_s is not None]
    assert len(times) == lost and max(times) - min(times) == lost - 1


@behave.given('fake routers "{names}" that the leader has noted')
def noted(context, names):
    fleet = context.fleet
    context.routers = {
        name: fleet.router(
            name, fleet.leader(), beats=not name.endswith("left")
        )
        for name in names.split()
    }
    wait_for(lambda: _noted(context, "routers") >= set(names.split()))


def _noted(context, field):
    """Returns routers in the leader's `routers_noted` log lines."""
    return {
        name
        for line in context.fleet.log(context.fleet.leader())
        if line["event"] == "routers_noted"
        for name in line[field]
        if field == "left" or line[field][name] > 0
    }


@behave.when('the fake router "{name}" is lost and "{other}" shuts down')
def lost_and_left(context, name, other):
    context.routers[other].send_report(draining=True)
    wait_for(lambda: other in _noted(context, "left"))
    context.routers[other].close()
    context.routers[name].close()
    wait_for(lambda: not _status(context)[name]["connected"])


def _status(context):
    def ask():
        _, answer = context.fleet.call(
            context.fleet.leader(), "GET", "/v1/status"
        )
        rows = answer.get("routers")
        return rows is not None and ({row["id"]: row for row in rows},)

    (rows,) = wait_for(ask)
    return rows


@behave.then(
    'the status names "{names}" as lagging at number {number:d} and not'
    ' "{left}"'
)
def names_lost(context, names, number, left):
    rows = _status(context)
    for name in names.split():
        row = rows[name]
        assert row["lagging"] and not row["connected"], row
        assert row["number"] == number and row["data_centre"] == "a", row
        assert 0 <= row["seen_ms_ago"] < 60_000, row
    assert left not in rows, rows
