"""Writes docs/fault-matrix.md from behave's reports of the fault matrix.

Usage: fault_matrix_page.py [PAGE.md] REPORT.json ... CHECKS.log ...

The reports come from `behave --format=json --outfile=REPORT.json` runs of
features/fault_matrix_*.feature. A log is the output of scripts/run_checks.py;
of it, only features of which every scenario passed count. An earlier page gives
the results of cells that are in none of them; the new page counts these. A cell
without a result is "not run".
"""

import collections
import json
import pathlib
import re
import sys

from behave import parser

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from features.support import faults  # noqa: E402

PAGE = ROOT / "docs" / "fault-matrix.md"
NOT_RUN = "not run"
RESULTS = {"passed": "passed", "failed": "failed", "error": "failed"}

# Invariant, mechanism, features that test it, and what a commit body says
# about a run without the mechanism.
INVARIANTS = (
    (
        "I1",
        "virtual counters charged at the grant, one scheduler for the fleet",
        ("scheduler_fairness", "fleet_invariants"),
        "b413c56: 18 of 23 scenarios fail without the counters, 4 without the"
        " weights, 2 without the start floor",
    ),
    (
        "I2",
        "lowest counter is served next; queue limits per workspace",
        (
            "scheduler_fairness",
            "router_limits",
            "fleet_invariants",
        ),
        "b413c56: 18 of 23 scenarios fail without the counters",
    ),
    (
        "I3",
        "slot limit of 1 after each new incarnation, cut on cold starts",
        ("scheduler_slots", "stand_in", "fleet_invariants"),
        "b413c56: 5 scenarios fail with the full limit at the start, 3 without"
        " the cut at a cold start; 76df003: 4 scenarios fail when answers of 2"
        " to 4 times the usual latency raise the limit",
    ),
    (
        "I4",
        "placement skips drained data centres; grants expire after 1 s",
        ("scheduler_slots", "router_control", "fault_matrix_drain"),
        "edda42c: without the filter of drained data centres the matrix cell"
        " without a fault fails; expiry of grants: see below",
    ),
    (
        "I5",
        "judges, steps of the share, deadline",
        (
            "rollout_decisions",
            "controller_rollouts",
            "fault_matrix_rollout",
            "fault_matrix_rollout_bad",
            "order_decisions",
            "engine_orders",
            "fault_matrix_order_*",
        ),
        "5a2c922: 9 scenarios fail without the errors judge, 3 without the"
        " latency judge, 2 when latencies are compared across data centres;"
        " 3d213cd: 3 fail with rates pooled over data centres; a26ac77:"
        " samples that are not observed are caught; 8bce6c7: without the judges"
        " a matrix cell fails; 27e5143: 5 scenarios fail without the comparison"
        " share and levels of load; b5aef49: seeds break when orders to engines"
        " lack the check of numbers, the outstanding record or the read-back",
    ),
    (
        "I6",
        "whole answers only, check of the echoed request id",
        (
            "router_answers",
            "router_streams",
            "fleet_backpressure",
            "fault_matrix_request_5",
        ),
        "5929f35: removal of the held end of sized answers and of the check"
        " of the echoed request id each fail a scenario",
    ),
    (
        "I7",
        "execution from the closed table of error kinds",
        (
            "router_failures",
            "router_decisions",
            "router_faults",
            "fault_matrix_request_*",
        ),
        "2cbb125: 7 of 10 scenarios of router_faults fail with the earlier"
        " program; the table itself: see below",
    ),
    (
        "I8",
        "key claimed on a majority before the first byte is sent",
        (
            "replication_keys",
            "controller_keys",
            "router_keys",
            "fault_matrix_request_*",
        ),
        "f63e6de: random test without the key floor fails at seed 1, with"
        " release by anyone at seed 1; without lookup and claim 17 of 20 cells"
        " of a dispatched request fail (commit of this row)",
    ),
    (
        "I9",
        "no grants to a departing server",
        (
            "scheduler_slots",
            "stand_in",
            "fleet_invariants",
            "departures",
            "platform_departures",
        ),
        "b413c56: 2 scenarios fail when a departure is not final; 4583fef:"
        " 6 of 8 of `platform_departures` fail without the record",
    ),
    (
        "I10",
        "graceful stop of the router",
        ("router_stop", "fleet_invariants", "operations_procedures"),
        "5929f35: removal of Connection: close on answers begun while closing"
        " fails a scenario; the rest: see below",
    ),
    (
        "I11",
        "replicated log, expected numbers, lower numbers refused",
        (
            "replication_consensus",
            "replication_operators",
            "replication_random",
            "replication_storage",
            "controller_group",
            "controller_routers",
            "router_control",
            "controller_cuts",
            "operations_procedures",
            "fault_matrix_configuration*",
        ),
        "f63e6de: random test fails without a sync before acknowledgement"
        " (seeds 36 and 20), with votes to any log (seed 2), with a lease"
        " before the first own entry (seed 3), with the expected number"
        " ignored (seed 1); 1a142a7: without refusal of votes during a lease"
        " (seed 13); 381b5e6: matrix cells fail with the expected number or the"
        " operation id ignored; refusal of lower numbers at routers: see below",
    ),
)

# Requirement, mechanism, patch, feature, scenarios (empty for all), and the
# scenarios that passed without and with the mechanism.
WITHOUT = (
    (
        "I1",
        "cost charged at the grant",
        "`fairness.add_cost` adds no cost",
        "scheduler_fairness",
        "among them: the gap in service stays bounded",
        "18 of 36",
        "36 of 36",
    ),
    (
        "I2",
        "lowest counter is served next",
        "`fairness.add_cost` adds no cost",
        "fleet_invariants",
        "no workspace starves while another floods",
        "0 of 1",
        "1 of 1",
    ),
    (
        "I2",
        "queue limit of a workspace",
        "`router_queues.enqueue` never refuses",
        "router_limits",
        "a flood over a limit is refused and the rest is served",
        "3 of 4",
        "4 of 4",
    ),
    (
        "I3",
        "slot limit of 1 at the start",
        "`slots` starts at the announced slots",
        "scheduler_slots",
        "among them: a slot limit starts at 1",
        "59 of 73",
        "73 of 73",
    ),
    (
        "I3",
        "slot limit of 1 at the start",
        "`slots` starts at the announced slots",
        "fleet_invariants",
        "a fresh backend server gets one request at a time",
        "0 of 2",
        "2 of 2",
    ),
    (
        "I4",
        "no grants into a drained data centre",
        "`dispatch` takes no data centre as drained",
        "scheduler_slots",
        "among them: a backend server gets no grants after drain",
        "72 of 73",
        "73 of 73",
    ),
    (
        "I4",
        "no grants into a drained data centre",
        "`dispatch` takes no data centre as drained",
        "fault_matrix_drain",
        "drain, answer received, none",
        "0 of 1",
        "1 of 1",
    ),
    (
        "I4",
        "expiry of grants",
        "`router_queues.is_grant_valid` is always true",
        "router_control",
        "among them: an expired grant is given back, a frozen router"
        " does not dispatch",
        "9 of 11",
        "11 of 11",
    ),
    (
        "I4",
        "expiry of grants",
        "`router_queues.is_grant_valid` is always true",
        "router_decisions",
        "among them: a grant is valid for its lifetime",
        "78 of 80",
        "80 of 80",
    ),
    (
        "I5",
        "errors judge",
        "`judge_errors` finds nothing",
        "rollout_decisions",
        "among them: a rollout of a failing version",
        "30 of 39",
        "39 of 39",
    ),
    (
        "I5",
        "errors judge",
        "`judge_errors` finds nothing",
        "fault_matrix_rollout_bad",
        "trial, leader killed",
        "0 of 1 (28.6 s on the bad version)",
        "1 of 1",
    ),
    (
        "I5",
        "one outstanding order at an engine that ignores numbers",
        "`replicated_orders.may_follow` is always true",
        "fault_matrix_order_1",
        "sent, leader killed and leader frozen",
        "0 of 2",
        "2 of 2",
    ),
    (
        "I5",
        "check of fencing numbers by the engine",
        "the stand-in takes every number",
        "fault_matrix_order_1",
        "sent, leader killed and leader frozen",
        "0 of 2",
        "2 of 2",
    ),
    (
        "I5",
        "read-back of an order of unknown outcome",
        "`orders` takes every order read back as not sent",
        "fault_matrix_order_1",
        "sent, leader killed and leader frozen",
        "0 of 2",
        "2 of 2",
    ),
    (
        "I6",
        "check of the echoed request id",
        "`forwarding` compares no id",
        "router_answers",
        "among them: a late copy of an answer",
        "17 of 18",
        "18 of 18",
    ),
    (
        "I6",
        "end of the answer as a sign of its length",
        "`answers` takes every end as whole",
        "router_answers",
        "among them: an answer that breaks",
        "12 of 18",
        "18 of 18",
    ),
    (
        "I6",
        "end of the answer as a sign of its length",
        "`answers` takes every end as whole",
        "fault_matrix_request_5",
        "first byte and streaming, server killed",
        "0 of 2",
        "2 of 2",
    ),
    (
        "I7",
        "table: connection lost and time-out may have run",
        "the kinds say `not_run` and no refusal is corrected",
        "router_failures",
        "among them: a request without an answer",
        "5 of 13",
        "13 of 13",
    ),
    (
        "I7",
        "table: keys that are running, unknown or expired may have run",
        "the kinds say `not_run`",
        "router_keys",
        "among them: the record of a key decides",
        "22 of 29",
        "29 of 29",
    ),
    (
        "I7",
        "table: `internal` may have run",
        "the kind says `not_run`",
        "router_faults",
        "among them: an unexpected exception at the admission",
        "5 of 10",
        "10 of 10",
    ),
    (
        "I7",
        "table: `answer_not_kept` ran",
        "the kind says `not_run`",
        "router_decisions",
        "among them: a refusal says not run only where that is certain",
        "79 of 80",
        "80 of 80",
    ),
    (
        "I7",
        "refusals after a byte was sent may have run",
        "`exchanges` never tells that a byte was sent",
        "router_failures",
        "a request that waits again after a try may have run (new; the 13"
        " others passed)",
        "1 of 3",
        "3 of 3",
    ),
    (
        "I8",
        "key claimed before the first byte",
        "`_claim` sends no claim",
        "router_keys",
        "among them: a resend gets what is known of the first request",
        "7 of 29",
        "29 of 29",
    ),
    (
        "I8",
        "key claimed before the first byte",
        "`_claim` sends no claim",
        "fault_matrix_request_3",
        "dispatched, router killed",
        "0 of 1 (ran twice)",
        "1 of 1",
    ),
    (
        "I5",
        "limit on the exposure of a new version",
        "`placement.may_expose` is always true",
        "scheduler_placement",
        "among them: a new version gets no more requests than its rollout may"
        " expose",
        "33 of 37",
        "37 of 37",
    ),
    (
        "I5",
        "samples of the former leader",
        "a new leader starts without samples",
        "rollout_decisions",
        "a new leader judges by the samples of the former ones",
        "1 of 3",
        "3 of 3",
    ),
    (
        "crash guard",
        "parts of prompts as suspects",
        "`crashes.name_parts` names none",
        "scheduler_crashes",
        "among them: requests with a prompt part that crashes servers",
        "29 of 37",
        "37 of 37",
    ),
    (
        "crash guard",
        "evidence at the other controllers",
        "a new leader does not read it",
        "controller_faults",
        "among them: a new leader counts on from the crashes that the former"
        " one counted",
        "3 of 4",
        "4 of 4",
    ),
    (
        "I9",
        "departures told in answers",
        "`server_notices.find_bar` finds none and the leader ignores notices",
        "server_notices",
        "among them: a server that leaves gets nothing more (at that commit)",
        "4 of 12",
        "12 of 12",
    ),
    (
        "I3",
        "pauses that servers ask for",
        "`server_notices.find_bar` ignores pauses and the leader records none",
        "server_notices",
        "among them: a server that pauses one router serves the other one",
        "28 of 38",
        "38 of 38",
    ),
    (
        "I9",
        "recorded departures at a new leader",
        "`departures.mark_departed` marks none",
        "departures",
        "among them: a new leader grants a departed server nothing",
        "13 of 22",
        "22 of 22",
    ),
    (
        "I9",
        "departures recorded before they are acknowledged",
        "`DepartureLog.wait_until_recorded` is always true",
        "departures",
        "among them: a leader records every departure that it learns of",
        "20 of 22",
        "22 of 22",
    ),
    (
        "I9",
        "recorded departures in snapshots",
        "`replicated_image.encode` leaves them out",
        "departures",
        "among them: the replicated state keeps departures for a time",
        "18 of 22",
        "22 of 22",
    ),
    (
        "I9",
        "departing servers get no grants",
        "`tables.is_usable` ignores a departure",
        "scheduler_slots",
        "among them: a backend server gets no grants after departure",
        "69 of 73",
        "73 of 73",
    ),
    (
        "I9",
        "departing servers get no grants",
        "`tables.is_usable` ignores a departure",
        "fleet_invariants",
        "a departing backend server gets no new work after 2 s",
        "0 of 1 (5.0 s)",
        "1 of 1",
    ),
    (
        "I10",
        "a stop waits for running requests",
        "`Router.stop` does not wait",
        "router_stop",
        "among them: a graceful stop cuts no request",
        "4 of 5",
        "5 of 5",
    ),
    (
        "I10",
        "a stop waits for running requests",
        "`Router.stop` does not wait",
        "fleet_invariants",
        "a graceful shutdown of a router cuts no request (streams are new;"
        " it passed before)",
        "0 of 1",
        "1 of 1",
    ),
    (
        "I10",
        "requests are taken until the balancer has left",
        "`Router.stop` sets no delay",
        "router_stop",
        "among them: a graceful stop cuts no request",
        "4 of 5",
        "5 of 5",
    ),
    (
        "I10",
        "`/readyz` tells of the stop",
        "`Router.not_ready_reason` ignores the stop",
        "router_stop",
        "among them: a graceful stop cuts no request",
        "4 of 5",
        "5 of 5",
    ),
    (
        "I10",
        "connections end when their answers have ended",
        "`Router.stop` aborts them at once",
        "router_stop",
        "a stop ends requests that outlast the time for it",
        "0 of 1",
        "1 of 1",
    ),
    (
        "I10",
        "a stop waits for unconfirmed outcomes of keys",
        "`Router._has_open_work` ignores them",
        "router_stop",
        "a stop waits for the record of an answered deposit (new; the 5"
        " others passed)",
        "0 of 1",
        "1 of 1",
    ),
    (
        "I11",
        "routers refuse lower numbers",
        "`Router.handle_environment` refuses only its own number",
        "router_control",
        "the number of the environment only grows",
        "2 of 3",
        "3 of 3",
    ),
    (
        "I11",
        "expected numbers",
        "`replicated_outcomes` compares no number",
        "replication_operators",
        "among them: replicated operators race",
        "66 of 72",
        "72 of 72",
    ),
    (
        "I11",
        "outcomes by operation id",
        "`replicated_outcomes` looks none up",
        "replication_operators",
        "among them: a replicated resend gets the first outcome",
        "67 of 72",
        "72 of 72",
    ),
)


def cell(name):
    """Splits the name of a scenario.

    Args:
      name: Name of an outline's scenario: kind | step | fault.

    Returns:
      Kind, step and fault, or None for another scenario.
    """
    parts = tuple(part.strip() for part in name.split(" -- @")[0].split(" | "))
    return parts if len(parts) == 3 else None


def feature_cells(path):
    """Returns the cells of one feature, in their order."""
    scenarios = parser.parse_file(str(path)).walk_scenarios()
    return [found for found in map(cell, (s.name for s in scenarios)) if found]


def read_log(path):
    """Reads the output of the check script.

    Args:
      path: Path of the output.

    Returns:
      "passed" by cell, for features of which every scenario passed.
    """
    lines = re.findall(
        r"^(fault_matrix_\w+\.feature): (\d+) of (\d+) passed$",
        pathlib.Path(path).read_text(),
        re.MULTILINE,
    )
    return {
        found: "passed"
        for name, passed, total in lines
        if passed == total
        for found in feature_cells(ROOT / "features" / name)
    }


def defined_cells():
    """Returns the cells of the fault matrix features, in their order."""
    paths = sorted((ROOT / "features").glob("fault_matrix_*.feature"))
    return [found for path in paths for found in feature_cells(path)]


def read_page(path):
    """Reads the results of an earlier page.

    Args:
      path: Path of the page.

    Returns:
      "passed" or "failed" by cell.
    """
    kinds = {_title(kind): kind for kind, _, _ in defined_cells()}
    results, kind, steps = {}, None, ()
    for line in pathlib.Path(path).read_text().splitlines():
        if line.startswith("## "):
            kind = kinds.get(line.removeprefix("## "))
        fault, *values = (part.strip() for part in line.strip("| ").split("|"))
        if fault == "fault":
            steps = values
        elif kind and line.startswith("| "):
            results |= {
                (kind, step, fault): value
                for step, value in zip(steps, values, strict=True)
                if value in RESULTS.values()
            }
    return results


def read_results(paths):
    """Reads reports and logs.

    Args:
      paths: Paths of the reports; an empty one holds no result.

    Returns:
      "passed" or "failed" by cell; a cell that failed once has failed.
    """
    results = {}
    for path in paths:
        if path.endswith(".log"):
            results |= read_log(path)
            continue
        text = pathlib.Path(path).read_text().strip()
        for feature in json.loads(text) if text else ():
            for element in feature.get("elements", ()):
                found = cell(element["name"])
                result = RESULTS.get(element.get("status"))
                if found and result and results.get(found) != "failed":
                    results[found] = result
    return results


def matrix(kind, defined, results):
    """Returns the lines of one kind of cell."""
    own = [found for found in defined if found[0] == kind]
    steps = list(dict.fromkeys(step for _, step, _ in own))
    used = {fault for _, _, fault in own}
    rows = [
        fault
        for fault in faults.FAULTS
        if fault in used or fault not in faults.OF_ENGINES
    ]
    seen = collections.Counter(results.get(found, NOT_RUN) for found in own)
    left_out = len(steps) * len(rows) - len(own)
    return [
        f"## {_title(kind)}",
        "",
        f"{seen['passed']} passed, {seen['failed']} failed,"
        f" {seen[NOT_RUN]} not run; {left_out} further cells left out.",
        "",
        _row("fault", *steps),
        _row(*["---"] * (len(steps) + 1)),
        *(
            _row(
                fault,
                *(_mark((kind, step, fault), own, results) for step in steps),
            )
            for fault in rows
        ),
        "",
    ]


def _title(kind):
    return kind[:1].upper() + kind[1:]


def _mark(found, own, results):
    if found in results:
        return results[found]
    return NOT_RUN if found in own else f"{NOT_RUN} (left out)"


def invariants():
    """Returns the lines of the section of the invariants.

    Raises:
      FileNotFoundError: A feature does not exist.
    """
    return [
        "## Invariants",
        "",
        "The last column quotes commit bodies; `not shown` means that none"
        " tells of a run without the mechanism, and `see below` names the next"
        " section.",
        "",
        _row("id", "mechanism", "features", "without the mechanism"),
        _row(*["---"] * 4),
        *(
            _row(name, mechanism, _features(patterns), shown)
            for name, mechanism, patterns, shown in INVARIANTS
        ),
    ]


def without():
    """Returns the lines of the section of runs without a mechanism.

    Raises:
      FileNotFoundError: A feature does not exist.
    """
    return [
        "",
        "## Runs without a mechanism",
        "",
        "Each row is a trial on a scratch copy of 6e6b0ac, or for new scenarios"
        " of the commit that has them, run with the patch and without it."
        " Counts are of scenarios that passed, of the named ones or else of the"
        " whole feature; `among them` names one that fails without the"
        " mechanism.",
        "",
        _row("id", "mechanism", "patch", "scenarios", "without", "with"),
        _row(*["---"] * 6),
        *(
            _row(name, mechanism, patch, _scenarios(feature, scenario), *seen)
            for name, mechanism, patch, feature, scenario, *seen in WITHOUT
        ),
    ]


def _scenarios(feature, scenario):
    names = _features((feature,))
    return f"{names}: {scenario}" if scenario else names


def _features(patterns):
    names = []
    for pattern in patterns:
        paths = sorted((ROOT / "features").glob(f"{pattern}.feature"))
        if not paths:
            raise FileNotFoundError(pattern)
        names += [f"`{path.name}`" for path in paths]
    return ", ".join(names)


def _row(*values):
    return f"| {' | '.join(values)} |"


def main():
    """Writes the page.

    Returns:
      Exit code.
    """
    if not sys.argv[1:]:
        print(__doc__)
        return 2
    defined = defined_cells()
    pages = [path for path in sys.argv[1:] if path.endswith(".md")]
    results = read_results(path for path in sys.argv[1:] if path not in pages)
    kept = {}
    for path in pages:
        kept |= read_page(path)
    kept = {
        found: kept[found]
        for found in defined
        if found in kept and found not in results
    }
    results = kept | results
    kinds = dict.fromkeys(kind for kind, _, _ in defined)
    lines = [
        "# Fault matrix",
        "",
        "Written by `scripts/fault_matrix_page.py` from behave reports and"
        " outputs of the check script."
        " `not run` is a cell without a result in them; `left out` marks a"
        " cell that no feature defines. Reasons: faults of backend servers do"
        " not touch the steps of a configuration change or a drain; the rest is"
        " left out for time, as a cell takes 2 to 35 s of a fleet. Orders to"
        " engines do not pass routers.",
        "",
        f"The results of {len(kept)} cells are those of the page before.",
        "",
    ]
    for kind in kinds:
        lines += matrix(kind, defined, results)
    PAGE.write_text("\n".join([*lines, *invariants(), *without()]) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
