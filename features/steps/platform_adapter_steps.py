"""Steps for the adapter to the users' platform."""

import dataclasses
import json
import os
import pathlib
import re
import tempfile
import unittest.mock
import urllib.parse

import behave
from returns import result
from twisted.web import http_headers
import yaml

from features.support import scheduler_tables
from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.daemons import dialects
from waxwingrack.operations import scheduler
from waxwingrack.platform import announcements
from waxwingrack.platform import configuration
from waxwingrack.platform import headers
from waxwingrack.platform import settings

ROOT = pathlib.Path(__file__).resolve().parents[2]
ADAPTER = ROOT / "waxwingrack" / "platform"
# Names that the platform uses on the wire and in its settings file.
WIRE_NAMES = re.compile(
    r"Response-Seal|Server-Load|Token-Usage|Prefix-Hash|Expect-Instance|Not-Executed"
    r"|Length-Hint|Deadline-Ms|Kv-(From|Fetch|Backup)|Pin-Ms|Weight-Versions"
    r"|Expect-Version|coldRemainingMs|heartbeatUrl|pathPrefix|trafficSplit"
    r"|timeoutMs|targetLatencyMs|maxAttempts|streamResume|stickySessions"
    r"|apiKeys|kvCapacityTokens|coldPerS|bootS|readinessAddr|internalPorts"
    r"|countsAsLoss|faultTolerance|durationS|api/(instances|config|rollouts"
    r"|evacuations|ready|kv-|report|hold)"
    r"|Duty-Holder|Fence-Token|windowSeq|desiredCount|dutyPerS|leaseMs"
    r"|usageWindowS|usageLateS"
)
REGIONS = {"z1": "r", "z2": "r"}

SETTINGS = {
    "nodeName": "front-1",
    "zone": "z1",
    "zones": REGIONS,
    "listen": {"front": "127.0.1.1:8783", "readinessAddr": "127.0.1.1:8780"},
    "internalPorts": [7400, 7415],
    "seeds": ["127.0.2.1:8785", "127.0.2.2:8785", "127.0.2.3:8785"],
    "bootstrap": True,
    "dataDir": None,
    "limits": {"memoryMb": 300, "cores": 2, "maxFds": 1638},
    "faultTolerance": {"machines": 2, "zones": 1},
    "bounds": {
        "graceS": 8,
        "retryBudgetRatio": 0.2,
        "retryBudgetSlack": 54,
        "strictRevocation": False,
    },
    "somethingNew": 1,
}

DOCUMENT = {
    "version": 7,
    "routes": [
        {
            "name": "r-a",
            "host": "h.example",
            "pathPrefix": "/a/",
            "kind": "safe",
            "timeoutMs": 2500,
            "targetLatencyMs": 200,
            "service": "s",
            "maxAttempts": 2,
            "public": True,
        },
        {
            "name": "r-b",
            "host": "h.example",
            "pathPrefix": "/b/",
            "kind": "streaming",
            "timeoutMs": 12000,
            "trafficSplit": [
                {"service": "s", "weight": 9},
                {"service": "b", "weight": 1},
            ],
            "maxAttempts": 1,
        },
        {
            "name": "r-c",
            "host": "h.example",
            "pathPrefix": "/c/",
            "kind": "streaming",
            "timeoutMs": 10000,
            "service": "s",
            "maxAttempts": 2,
            "streamResume": True,
        },
    ],
    "services": [
        {"name": "s", "engine": {"kvCapacityTokens": 1000, "stride": 7}},
        {"name": "b", "coldPerS": 0.0},
    ],
    "limits": {"maxHeaderBytes": 16384},
    "tenants": [
        {"name": "w", "apiKeys": ["k1", "k2"]},
        {"name": "x", "apiKeys": []},
    ],
}

# Stands for a value that is nested deeply.
_NESTED = "@nested"
HEARTBEAT = {
    "service": "s",
    "address": "127.0.0.1:80",
    "zone": "z1",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 4,
    "born": 1700000000000,
}


def _deep_copy(value):
    return json.loads(json.dumps(value))


@behave.then("no module outside the adapter holds a name of the platform")
def check_wire_names(_):
    found = [
        f"{path.relative_to(ROOT)}:{number}: {line.strip()}"
        for path in sorted((ROOT / "waxwingrack").rglob("*.py"))
        if ADAPTER not in path.parents
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if WIRE_NAMES.search(line)
    ]
    assert not found, found


@behave.given("the platform's settings file of a router")
def settings_file(context):
    context.document = _deep_copy(SETTINGS)


@behave.given("the operators' document of the platform")
def operators_document(context):
    context.document = _deep_copy(DOCUMENT)


@behave.given("the announcement of a backend server of the platform")
def heartbeat(context):
    context.document = _deep_copy(HEARTBEAT)


@behave.when("{place} is {value} there")
def set_field(context, place, value):
    *parents, field = place.split(".")
    target = context.document
    for key in parents:
        target = target[int(key)] if key.isdecimal() else target[key]
    if value == "absent":
        del target[field]
    elif value.startswith("nested "):
        target[field] = _NESTED
    else:
        target[field] = json.loads(value)


def _encode(document):
    """Encodes a document; Python cannot encode lists nested that deeply."""
    depth = 100_000
    return (
        json.dumps(document)
        .replace(json.dumps(_NESTED), "[" * depth + "]" * depth)
        .encode()
    )


def _load_settings(context):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.yaml"
        path.write_text(yaml.safe_dump(context.document))
        return settings.load(str(path))


@behave.then("its settings have")
def settings_have(context):
    context.settings, regions = _load_settings(context).unwrap()
    assert regions == REGIONS
    for row in context.table:
        found = getattr(context.settings, row["field"])
        if isinstance(found, float):
            found = round(found, 6)
        assert str(found) == row["value"], (row["field"], found)


@behave.then("its duties are {expected}")
def duties_are(context, expected):
    duties = _load_settings(context).unwrap()[0].duties
    found = duties and (
        f"{' '.join(duties.duties)} of {duties.holder} at {duties.address}, "
        f"{duties.lease_ms} {duties.calls_per_s} {duties.usage_window_s} "
        f"{duties.usage_late_s}"
    )
    assert str(found) == expected, found


@behave.then("its first controller is {node_id} at {control} and {operators}")
def first_controller(context, node_id, control, operators):
    peer = context.settings.controllers[0]
    found = (peer.id, str(peer.control), str(peer.operators))
    assert found == (node_id, control, operators), found


@behave.then("the settings are refused at {path}")
def settings_refused(context, path):
    faults = _load_settings(context).failure()
    assert any(fault.path.startswith(path) for fault in faults), faults


def _parse_document(context):
    body = json.dumps(context.document).encode()
    return configuration.parse_document(body, REGIONS)


@behave.then('the document is {verdict} with "{reason}"')
@behave.then('the document is {verdict} with ""')
def document_verdict(context, verdict, reason=""):
    found = _parse_document(context)
    if verdict == "accepted":
        assert isinstance(found, result.Success), found
    else:
        assert reason in found.failure(), found


@behave.then(
    "callers may send {headers} and {body} bytes, take {take_s} and stay idle "
    "for {idle_s} seconds"
)
def caller_limits(context, headers, body, take_s, idle_s):
    limits = _parse_document(context).unwrap().caller_limits
    found = tuple(map(str, dataclasses.astuple(limits)))
    assert found == (headers, body, take_s, idle_s), limits


@behave.then("its first half is refused")
def half_refused(context):
    body = json.dumps(context.document).encode()
    found = configuration.parse_document(body[: len(body) // 2], REGIONS)
    assert isinstance(found, result.Failure), found


@behave.then("the environment has these routes")
def routes(context):
    environment = _parse_document(context).unwrap()
    found = [
        (service.id, route)
        for service in environment.services
        for route in service.routes
    ]
    assert len(found) == len(context.table.rows), found
    for (service, route), row in zip(found, context.table, strict=True):
        targets = " ".join(f"{t.service}:{t.weight}" for t in route.targets)
        assert (service, targets) == (row["service"], row["targets"])
        for name in row.headings:
            if name not in ("service", "targets"):
                assert str(getattr(route, name)) == row[name], (name, route)


@behave.then("the document is read back byte for byte")
def read_back(context):
    body = json.dumps(context.document).encode()
    assert (
        configuration.serialize_document(_parse_document(context).unwrap())
        == body
    )


@behave.then("the announcement is {verdict}")
def announcement_verdict(context, verdict):
    body = _encode(context.document)
    match announcements.parse_announcement("i-1", body):
        case result.Success(announcement):
            assert verdict == (
                "departing" if announcement.departing else "ready"
            )
            assert (announcement.born_ms, announcement.sequence) == (
                1700000000000,
                4,
            )
        case result.Failure(reason):
            assert verdict == "refused", reason


@behave.then("the announced limit of connections is {limit:d}")
def announced_limit(context, limit):
    body = _encode(context.document)
    found = announcements.parse_announcement("i-1", body).unwrap()
    assert found.max_connections == limit, found


@behave.then('the id "{server_id}" is refused')
@behave.then('the id "" is refused')
def refused_id(context, server_id=""):
    found = announcements.parse_announcement(
        urllib.parse.unquote(server_id), _encode(context.document)
    )
    assert isinstance(found, result.Failure), found


def _announce(context, server_id):
    """Passes an announcement on to the scheduler if it is valid."""
    found = announcements.parse_announcement(
        server_id, _encode(context.document)
    )
    if isinstance(found, result.Success):
        context.tables = scheduler.on_announcement(
            context.tables,
            dataclasses.replace(found.unwrap(), version="v1"),
            context.at_ms,
        )


@behave.given(
    "a scheduler with a backend server that announced itself on the platform"
)
def scheduler_with_server(context):
    scheduler_tables.create_scheduler(context, 100_000)
    scheduler_tables.send_report(context, first=True)
    scheduler_tables.run_tick(context)
    context.document = _deep_copy(HEARTBEAT) | {"service": "s"}
    _announce(context, "good")


@behave.when("odd announcements arrive at the scheduler")
def odd_announcements(context):
    for number, row in enumerate(context.table):
        context.document = _deep_copy(HEARTBEAT) | {
            "service": "s",
            "address": f"127.0.0.1:{9_000 + number}",
        }
        set_field(context, row["field"], row["value"])
        _announce(context, f"odd-{number}")


@behave.then(
    "the scheduler grants the server to a request with a latency target"
)
def grants_server(context):
    request = scheduler_tables.create_request(1, target_ms=1_000)
    scheduler_tables.send_report(context, wants=(request,))
    context.at_ms += 20
    grants = scheduler_tables.run_tick(context).grants
    assert [row.grant.server_id for row in grants] == ["good"], grants


@behave.when(
    'a caller\'s headers are passed on for the workspace "{workspace}" with'
    " {left:d} ms left"
)
def pass_on(context, workspace, left):
    received = http_headers.Headers()
    for row in context.table:
        received.addRawHeader(row["name"].encode(), row["value"].encode())
    context.passed = headers.PlatformDialect().build_server_headers(
        received,
        dialects.ServerRequestInfo(
            "i-1",
            data.Address("127.0.0.1", 80),
            "r1",
            workspace,
            "127.0.0.9",
            left,
        ),
    )


@behave.then("the backend server gets exactly")
def gets_exactly(context):
    found = {
        (name.decode(), value.decode())
        for name, values in context.passed.getAllRawHeaders()
        for value in values
    }
    assert found == {(row["name"], row["value"]) for row in context.table}, (
        found
    )


@behave.when('a request has the headers "{usage}", "{prefix}" and "{hint}"')
@behave.when('a request has the headers "{usage}", "{prefix}" and ""')
@behave.when('a request has the headers "", "" and ""')
def request_headers(context, usage="", prefix="", hint=""):
    received = http_headers.Headers()
    for name, value in (
        (headers.TOKEN_USAGE, usage),
        (headers.PREFIX_HASH, prefix),
        (headers.LENGTH_HINT, hint),
    ):
        if value:
            received.setRawHeaders(name, [value.encode()])
    context.facts = headers.PlatformDialect().read_hints(received, "", b"")


@behave.then(
    "its prompt has {tokens:d} tokens in {parts} and {output:d} tokens are"
    " expected"
)
def prompt(context, tokens, parts, output):
    facts = context.facts
    found = " ".join(f"{p.id}:{p.tokens}" for p in facts.prompt) or "-"
    assert (facts.prompt_tokens, found, facts.output_tokens) == (
        tokens,
        parts,
        output,
    ), facts


@behave.then(
    "a refusal for {kind} that says {stated} has the status {status:d}"
)
def refusal_status(_, kind, stated, status):
    found = headers.PlatformDialect().refusal_status(
        errors.ErrorKind(kind), errors.Execution(stated)
    )
    assert found == status, found


@behave.then(
    "the notice of an answer of status {status:d} with Server-Leaving"
    ' "{value}" is {result}'
)
@behave.then(
    'the notice of an answer of status {status:d} with Server-Leaving "" is'
    " {result}"
)
def notice_read(context, status, result, value=""):
    received = http_headers.Headers({"Server-Leaving": [value]})
    notice = headers.PlatformDialect().read_notice(status, received)
    assert notice.leaving == (result == "leaving"), notice


@behave.then('the Server-Load "{value}" is read as {load}')
def load_read(_, value, load):
    received = http_headers.Headers({"Server-Load": [value]})
    found = headers.PlatformDialect().read_notice(200, received).load
    *values, invalid = dataclasses.astuple(found)
    shown = [*map(str, values), "invalid" if invalid else "valid"]
    assert " ".join(shown) == load, found


@behave.then('with the hedge share "{value}" the settings have {expected}')
@behave.then('with the hedge share "" the settings have {expected}')
def hedge_share_read(context, expected, value=""):
    variables = {settings.HEDGE_SHARE_VARIABLE: value}
    with unittest.mock.patch.dict(os.environ, variables):
        loaded = _load_settings(context)
    if expected == settings.HEDGE_SHARE_VARIABLE:
        assert [f.path for f in loaded.failure()] == [expected], loaded
    else:
        found, _ = loaded.unwrap()
        assert str(found.hedge_share) == expected and found.hedge_needs_slowness
