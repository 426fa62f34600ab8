"""Selects the log lines of all processes that explain one request.

A router's lines have the request's id. The leader's lines have the router and
the number of the queued request, which the router's line `queued` shows. These
numbers restart with each process, so only lines from the lifetime of that
process count. The leader's lines about a backend server tell what happened to
it while it had the request.
"""

from collections.abc import Iterable
import dataclasses
import itertools
import json
from typing import Any

# Lines about the servers of a request are shown from this time before its first
# line until this time after its last one.
MARGIN_S = 1.0
# The leader's events about a server that don't concern a single request.
_SERVER_EVENTS = frozenset(
    (
        "server_departing",
        "server_aged_out",
        "server_back",
        "server_blocked",
        "server_replaced",
        "server_restarted",
        "server_paused",
        "limit_cut",
        "server_speed_changed",
        "crash_counted",
        "server_leaving",
        "server_pauses_router",
        "router_paused",
    )
)
# Events of a process that affect all its requests.
_PROCESS_EVENTS = frozenset(
    (
        "control_lost",
        "control_found",
        "leader_left",
        "leader_followed",
        "leadership_gained",
        "leadership_lost",
        "environment_in_force",
        "router_stopping",
        "saturated",
        "caught_up",
        "no_other_router",
    )
)
# Event of a router whose process has started.
_START_EVENT = "router_started"
# The router's last events about a request.
_LAST_EVENTS = frozenset(("ended", "refused"))
# Events that begin a state of a router, by the events that end it.
_STATE_BEGINS = {"caught_up": "saturated", "control_found": "control_lost"}


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One log line.

    Attributes:
      time: Time as text; sorts the lines of one day.
      node: Node id of the process.
      event: Name of the event.
      fields: All other fields.
    """

    time: str
    node: str
    event: str
    fields: dict[str, Any]


def parse_log_lines(texts: Iterable[str]) -> tuple[LogLine, ...]:
    """Parses log lines.

    Text before the first brace and lines without a record are ignored.

    Args:
      texts: Lines of one or more logs.
    """
    found = []
    for text in texts:
        begin = text.find("{")
        if begin < 0:
            continue
        try:
            record = json.loads(text[begin:])
            found.append(
                LogLine(
                    record.pop("time"),
                    record.pop("node"),
                    record.pop("event"),
                    record,
                )
            )
        except (ValueError, KeyError, AttributeError):
            continue
    return tuple(found)


def select_request_lines(
    lines: tuple[LogLine, ...], request_id: str
) -> tuple[LogLine, ...]:
    """Selects the lines that explain what happened to a request.

    Args:
      lines: Lines of all processes.
      request_id: Id of the request.

    Returns:
      The lines in order of time; empty if no router knows the request.
    """
    own = [
        line for line in lines if line.fields.get("request_id") == request_id
    ]
    if not own:
        return ()
    lifetimes = {
        (line.node, line.fields["want"]): _find_process_lifetime(lines, line)
        for line in own
        if line.event == "queued"
    }
    servers = {line.fields["server"] for line in own if "server" in line.fields}
    routers = {line.node for line in own}
    times = sorted(line.time for line in own)
    first, last = (
        _shift_time(times[0], -MARGIN_S),
        _shift_time(times[-1], MARGIN_S),
    )
    related = [
        line
        for line in lines
        if _is_within(
            line.time,
            lifetimes.get((line.fields.get("router"), line.fields.get("want"))),
        )
        or (
            first <= line.time <= last
            and (
                (
                    line.event in _SERVER_EVENTS
                    and line.fields.get("server") in servers
                )
                or (
                    line.event in _PROCESS_EVENTS
                    and (line.node in routers or "leadership" in line.event)
                )
            )
        )
    ]
    lasting_states = _find_lasting_states(lines, routers, first)
    restarts = _find_restarts(lines, own)
    return tuple(
        sorted(
            itertools.chain(lasting_states, own, related, restarts),
            key=lambda line: line.time,
        )
    )


def _find_process_lifetime(
    lines: tuple[LogLine, ...], queued: LogLine
) -> tuple[str, str]:
    """Returns the start and end of the process that wrote a line.

    The start is `MARGIN_S` early, since the clocks of VMs differ.
    """
    starts = [line.time for line in _find_starts(lines, queued.node)]
    before = [time for time in starts if time <= queued.time]
    after = [time for time in starts if time > queued.time]
    begin = _shift_time(before[-1], -MARGIN_S) if before else ""
    # The letter sorts after the digits with which every time begins.
    return begin, after[0] if after else "z"


def _find_starts(lines: tuple[LogLine, ...], node: str) -> list[LogLine]:
    """Returns the start lines of a router's processes in order of time."""
    return sorted(
        (
            line
            for line in lines
            if line.event == _START_EVENT and line.node == node
        ),
        key=lambda line: line.time,
    )


def _is_within(time: str, lifetime: tuple[str, str] | None) -> bool:
    return lifetime is not None and lifetime[0] <= time < lifetime[1]


def _find_restarts(
    lines: tuple[LogLine, ...], own: list[LogLine]
) -> Iterable[LogLine]:
    """Returns restarts of routers that logged no end of a request."""
    for node in {line.node for line in own}:
        node_lines = [line for line in own if line.node == node]
        if any(line.event in _LAST_EVENTS for line in node_lines):
            continue
        last = max(line.time for line in node_lines)
        later = (item for item in _find_starts(lines, node) if item.time > last)
        yield from itertools.islice(later, 1)


def _find_lasting_states(
    lines: tuple[LogLine, ...], routers: set[str], until: str
) -> Iterable[LogLine]:
    """Returns lines that began states of routers which last at a time."""
    states: dict[tuple[str, str], LogLine] = {}
    for line in sorted(lines, key=lambda line: line.time):
        if line.node not in routers or line.time >= until:
            continue
        if line.event in _STATE_BEGINS.values():
            states[line.node, line.event] = line
        elif line.event in _STATE_BEGINS:
            states.pop((line.node, _STATE_BEGINS[line.event]), None)
    return states.values()


def _shift_time(stamp: str, seconds: float) -> str:
    """Shifts the time of a log line within its day."""
    day, clock = stamp.rstrip("Z").split("T")
    hours, minutes, rest = clock.split(":")
    total = int(hours) * 3600 + int(minutes) * 60 + float(rest) + seconds
    total = min(max(total, 0.0), 86_399.999)
    hour, within = divmod(total, 3600)
    minute, second = divmod(within, 60)
    return f"{day}T{int(hour):02d}:{int(minute):02d}:{second:06.3f}Z"
