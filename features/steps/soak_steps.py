"""Steps for the randomised soak."""

import contextlib
import itertools
import os
import pathlib
import signal
import subprocess
import sys

import behave

from features.support import fleet
from soak import checks
from soak import injection
from soak import plan
from soak import run
from soak import traffic

SEEDS = range(1, 21)
SECONDS = 60.0
# Length of the other fault of a scenario, in seconds.
OTHER_S = 0.5


def _plan(seed):
    return plan.draw(
        seed,
        SECONDS,
        injection.ALL,
        ("r1", "r2"),
        ("sketch-1", "booking-1"),
        injection.OF_CONTROLLERS,
    )


@behave.then("the plans of seeds 1 to 20 are the same when drawn again")
def same_again(context):
    context.plans = [_plan(seed) for seed in SEEDS]
    assert context.plans == [_plan(seed) for seed in SEEDS]
    assert all(context.plans)


@behave.then("the plans of different seeds differ")
def seeds_differ(context):
    assert len(set(context.plans)) == len(SEEDS)


@behave.then("no two faults of controllers overlap in any of them")
def no_overlap(context):
    for steps in context.plans:
        lonely = [x for x in steps if x.fault in injection.OF_CONTROLLERS]
        for one, other in itertools.pairwise(lonely):
            assert one.end_s <= other.at_s, (one, other)


def _call(start_s, end_s, text, key="k"):
    status, _, execution = text.partition(":")
    whole = status != "broken"
    return traffic.Call(
        kind="deposit",
        key=key,
        router="r1",
        start_s=start_s,
        end_s=end_s,
        status=int(status) if whole else 0,
        whole=whole,
        execution=execution,
        own=whole,
    )


@behave.given(
    'the deposit "{key}" that was answered "{answers}" and ran {runs:d} times'
)
def deposit(context, key, answers, runs):
    context.calls = [
        _call(number, number + 0.5, text, key)
        for number, text in enumerate(answers.split())
    ]
    context.runs = {key: runs} if runs else {}


@behave.then('the check of runs finds "{found}"')
@behave.then('the check of runs finds ""')
def runs_checked(context, found=""):
    broken = checks.ran_once(context.calls, context.runs)
    assert broken == ([found] if found else []), broken


@behave.given("a router that is stopped at {at_s:g} s and no other fault")
def stopped(context, at_s):
    context.steps = (plan.Step(at_s, 1.0, "router stopped", "r1", ""),)


@behave.given(
    "a router that is stopped at {at_s:g} s and a server that fails at "
    "{other_s:g} s"
)
def stopped_and_failing(context, at_s, other_s):
    stopped(context, at_s)
    context.steps += (plan.Step(other_s, OTHER_S, "server fails", "", "s"),)


@behave.given("a request from {start_s:g} s to {end_s:g} s that was {end:w}")
def request(context, start_s, end_s, end):
    text = "broken" if end == "cut" else "200"
    context.calls = [_call(start_s, end_s, text)]


@behave.then("the check of planned stops finds {count:d} cut requests")
def stops_checked(context, count):
    broken = checks.planned_stops_cut_nothing(context.calls, context.steps)
    assert len(broken) == count, broken


@behave.given(
    'the numbers "{decreases}" shown, {acknowledged:d} accepted and {final:d} '
    "at the end"
)
@behave.given(
    'the numbers "" shown, {acknowledged:d} accepted and {final:d} at the end'
)
def numbers(context, acknowledged, final, decreases=""):
    shown = [text.split(":") for text in decreases.split()]
    context.numbers = (
        [(name, int(high), int(low)) for name, high, low in shown],
        acknowledged,
        final,
    )


@behave.then("the check of numbers finds {count:d} broken promises")
def numbers_checked(context, count):
    broken = checks.numbers_grow(*context.numbers)
    assert len(broken) == count, broken


@behave.when("the soak plays seed {seed:d} for {seconds:d} seconds")
def play(context, seed, seconds):
    context.report = run.play(seed, seconds)


@behave.then("it has kept all promises and served requests")
def kept(context):
    report = context.report
    print(plan.describe(report.steps))
    assert not report.broken, report.broken
    assert not report.unplayed, report.unplayed
    assert report.served, report


# ---------------------------------------------------------------------------
# End by a signal
# ---------------------------------------------------------------------------

# Controllers, routers, stand-ins and the proxy of the smallest fleet.
FLEET_PROCESSES = 8
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 30.0


def _descendants(parent):
    """Returns the ids of the processes below a process."""
    parents = {}
    for stat in pathlib.Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = stat.read_text().rpartition(")")[2].split()
        except (FileNotFoundError, ProcessLookupError):
            # The process ended meanwhile.
            continue
        parents.setdefault(int(fields[1]), []).append(int(stat.parent.name))
    found, ahead = set(), [parent]
    while ahead:
        children = parents.get(ahead.pop(), [])
        found.update(children)
        ahead += children
    return found


def _alive(process_id):
    try:
        text = pathlib.Path(f"/proc/{process_id}/stat").read_text()
    except (FileNotFoundError, ProcessLookupError):
        return False
    # An ended process whose parent is gone may stay as a zombie for a moment.
    return text.rpartition(")")[2].split()[0] != "Z"


def _kill(processes):
    for process_id in filter(_alive, processes):
        with contextlib.suppress(ProcessLookupError):
            os.kill(process_id, signal.SIGKILL)


@behave.when(
    "a soak of {seconds:d} seconds is stopped by SIGTERM once its fleet runs"
)
def stop_soak(context, seconds):
    command = [sys.executable, "-m", "soak", "--seeds", "1"]
    soak = subprocess.Popen(
        [*command, "--seconds", str(seconds)],
        cwd=fleet.ROOT,
        stdout=subprocess.DEVNULL,
    )
    context.add_cleanup(soak.wait, STOP_TIMEOUT_S)
    context.add_cleanup(soak.kill)
    fleet.wait_until(
        lambda: len(_descendants(soak.pid)) >= FLEET_PROCESSES,
        START_TIMEOUT_S,
        "the fleet of the soak",
    )
    context.processes = _descendants(soak.pid)
    context.add_cleanup(_kill, context.processes)
    soak.send_signal(signal.SIGTERM)
    soak.wait(STOP_TIMEOUT_S)


@behave.then("none of its processes is left")
def none_left(context):
    fleet.wait_until(
        lambda: not any(map(_alive, context.processes)),
        STOP_TIMEOUT_S,
        "the end of the processes of the soak",
    )


@behave.given('crashes under one request at "{times}" s')
@behave.given('crashes under one request at "" s')
def crashes_at(context, times=""):
    context.crashes = [float(word) for word in times.split()]


@behave.then("the check of crashes finds {count:d} broken promises")
def crashes_found(context, count):
    assert len(checks.crashes_end(context.crashes)) == count


@behave.given(
    "a server that left from {told:d} s to {ended:d} s and served {late:d}"
    " requests late, beside {other}"
)
def left_server(context, told, ended, late, other):
    context.departures = [checks.Departure("s", told, ended, late)]
    context.steps = (
        (plan.Step(3.0, 1.0, "router restarts empty", "r1", "s"),)
        if other == "a router restart"
        else ()
    )


@behave.given(
    "a server that asked for pauses for {seconds:d} s and turned {away:d}"
    " requests away"
)
def pausing_server(context, seconds, away):
    context.pauses = [checks.Paused("s", float(seconds), away)]


@behave.then("the checks of notices find {count:d} broken promises")
def notices_found(context, count):
    found = [
        *checks.departures_respected(context.departures, context.steps, 0.0),
        *checks.pauses_respected(context.pauses, 3, 10),
    ]
    assert len(found) == count, found
