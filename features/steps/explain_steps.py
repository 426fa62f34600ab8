"""Steps for the log lines of one request."""

import json
import pathlib
import subprocess
import sys
import tempfile

import behave

from features.support import fleet
from waxwingrack.operations import explanations

ROUTER = (
    ("10.000", "queued", {"request_id": "r-over", "want": 1}),
    ("10.004", "refused", {"request_id": "r-over", "refusal": "overloaded"}),
    ("11.000", "queued", {"request_id": "r-lost", "want": 2}),
    ("11.003", "dispatched", {"request_id": "r-lost", "server": "s1"}),
    ("11.500", "ended", {"request_id": "r-lost", "server": "s1"}),
    ("20.000", "queued", {"request_id": "r-ok", "want": 3}),
    ("20.003", "dispatched", {"request_id": "r-ok", "server": "s1"}),
    ("20.100", "ended", {"request_id": "r-ok", "server": "s1"}),
    ("25.000", "saturated", {"busy": 1.0}),
    ("30.000", "queued", {"request_id": "r-slow", "want": 4}),
    ("31.000", "dispatched", {"request_id": "r-slow", "server": "s1"}),
    ("31.100", "ended", {"request_id": "r-slow", "server": "s1"}),
    ("35.000", "caught_up", {"busy": 0.4}),
    ("40.000", "queued", {"request_id": "r-fine", "want": 5}),
    ("40.003", "dispatched", {"request_id": "r-fine", "server": "s1"}),
    ("40.100", "ended", {"request_id": "r-fine", "server": "s1"}),
    ("45.000", "queued", {"request_id": "r-cut", "want": 6}),
    ("45.003", "dispatched", {"request_id": "r-cut", "server": "s1"}),
    ("48.000", "router_started", {}),
    # The numbers of wants start again with the process.
    ("50.000", "queued", {"request_id": "r-new", "want": 2}),
    ("50.003", "refused", {"request_id": "r-new", "refusal": "overloaded"}),
)
LEADER = (
    ("10.002", "refusal", {"router": "r1", "want": 1, "reason": "<late>"}),
    ("10.002", "grant", {"router": "r2", "want": 1, "server": "s1"}),
    ("11.002", "grant", {"router": "r1", "want": 2, "server": "s1"}),
    ("11.400", "server_blocked", {"server": "s1"}),
    ("11.400", "server_blocked", {"server": "s2"}),
    ("20.002", "grant", {"router": "r1", "want": 3, "server": "s1"}),
    ("30.002", "grant", {"router": "r1", "want": 4, "server": "s1"}),
    ("40.002", "grant", {"router": "r1", "want": 5, "server": "s1"}),
    ("45.002", "grant", {"router": "r1", "want": 6, "server": "s1"}),
    ("50.002", "refusal", {"router": "r1", "want": 2, "reason": "<late>"}),
)


def _log(node, rows, prefix=""):
    return [
        prefix
        + json.dumps(
            {"time": f"2026-01-01T00:00:{at}Z", "node": node, "event": event}
            | fields
        )
        for at, event, fields in rows
    ]


@behave.given("the logs of a router and a leader")
def logs(context):
    # A collector may put its own words before a line.
    context.logs = {
        "r1.log": ["not a line", *_log("r1", ROUTER, "  3.1 r1 ")],
        "c1.log": [*_log("c1", LEADER), '{"half'],
    }


@behave.when("the request {request} is explained")
def explain(context, request):
    lines = explanations.parse_log_lines(
        text for texts in context.logs.values() for text in texts
    )
    context.found = explanations.select_request_lines(lines, request)


@behave.then('the events are "{events}"')
def events_are(context, events):
    assert [line.event for line in context.found] == events.split()


@behave.then("the command explains {known} and refuses {unknown}")
def command(context, known, unknown):
    with tempfile.TemporaryDirectory() as folder:
        paths = []
        for name, texts in context.logs.items():
            path = pathlib.Path(folder) / name
            path.write_text("\n".join(texts))
            paths.append(str(path))
        words = [sys.executable, "-m", "waxwingrack", "explain"]
        found, missing = (
            subprocess.run(
                [*words, request, *paths],
                cwd=fleet.ROOT,
                capture_output=True,
                text=True,
            )
            for request in (known, unknown)
        )
    assert found.returncode == 0, found
    assert len(found.stdout.splitlines()) == 5, found.stdout
    assert missing.returncode == 1, missing
    assert unknown in missing.stderr, missing
