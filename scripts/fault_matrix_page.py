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
        " without a fault fails; expiry of grants: not shown",
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
        ("router_answers", "router_streams", "fleet_backpressure"),
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
        " program; the table itself: not shown",
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
        ("scheduler_slots", "stand_in", "fleet_invariants"),
        "b413c56: 2 scenarios fail when a departure is not final",
    ),
    (
        "I10",
        "graceful stop of the router",
        ("router_stop", "fleet_invariants", "operations_procedures"),
        "5929f35: removal of Connection: close on answers begun while closing"
        " fails a scenario; the rest: not shown",
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
        " operation id ignored; refusal of lower numbers at routers: not shown",
    ),
)

# Requirement, mechanism, patch, feature, scenarios (empty for all), and the
# scenarios that passed without and with the mechanism.
WITHOUT = ()


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
        " tells of a run without the mechanism.",
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
        "Each row is a trial on a scratch copy of the commit before it: the"
        " feature or its named scenarios, run with the patch and without it."
        " Counts are of scenarios that passed.",
        "",
        _row("id", "mechanism", "patch", "scenarios", "without", "with"),
        _row(*["---"] * 6),
        *(
            _row(
                name, mechanism, patch, _features((feature,)) + scenario, *seen
            )
            for name, mechanism, patch, feature, scenario, *seen in WITHOUT
        ),
    ]


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
