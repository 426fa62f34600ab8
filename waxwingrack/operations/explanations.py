"""Log lines of all processes that tell what became of one request.

A router's lines carry the request's id. The leader's carry the router and the
number of the want, which the line `queued` of the router gives. These numbers
start again with each process, so only lines of the life of that process count.
What happened to a backend server while it had the request is told by the
leader's lines about that server.
"""

from collections.abc import Iterable
import dataclasses
import itertools
import json
from typing import Any

# Time before the first and after the last line of a request in which lines
# about its servers are shown, in seconds.
MARGIN_S = 1.0
# Leader's lines about a server that say nothing of a single request.
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
        "crash_counted",
    )
)
# Lines about a process that bear on every request that it has.
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
    )
)
# Line of a router whose process has started.
_STARTED = "router_started"
# Router's lines after which it has no more to tell of a request.
_LAST_EVENTS = frozenset(("ended", "refused"))
# Lines that begin a state of a router, by the lines that end it.
_STATE_BEGINS = {"caught_up": "saturated", "control_found": "control_lost"}


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One log line.

    Attributes:
      time: Time as text; lines of one day sort by it.
      node: Process.
      event: Name of the event.
      fields: All other fields.
    """

    time: str
    node: str
    event: str
    fields: dict[str, Any]


def parse_log_lines(texts: Iterable[str]) -> tuple[LogLine, ...]:
    """Reads log lines; text before the first brace and other lines are left.

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
    """Selects the lines that tell what became of a request.

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
    wants = {
        (line.node, line.fields["want"]): _life(lines, line)
        for line in own
        if line.event == "queued"
    }
    servers = {line.fields["server"] for line in own if "server" in line.fields}
    routers = {line.node for line in own}
    times = sorted(line.time for line in own)
    first, last = _shifted(times[0], -MARGIN_S), _shifted(times[-1], MARGIN_S)
    about = [
        line
        for line in lines
        if _within(
            line.time,
            wants.get((line.fields.get("router"), line.fields.get("want"))),
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
    lasting = _lasting(lines, routers, first)
    cut = _cut(lines, own)
    return tuple(
        sorted(
            itertools.chain(lasting, own, about, cut),
            key=lambda line: line.time,
        )
    )


def _life(lines: tuple[LogLine, ...], queued: LogLine) -> tuple[str, str]:
    """Returns the times between which the process that wrote a line ran.

    The first time is a margin early, as the clocks of VMs differ.
    """
    starts = [line.time for line in _starts(lines, queued.node)]
    before = [time for time in starts if time <= queued.time]
    after = [time for time in starts if time > queued.time]
    begin = _shifted(before[-1], -MARGIN_S) if before else ""
    # Letters sort behind the digits that every time begins with.
    return begin, after[0] if after else "z"


def _starts(lines: tuple[LogLine, ...], node: str) -> list[LogLine]:
    """Returns the starts of a router's processes in order of time."""
    return sorted(
        (
            line
            for line in lines
            if line.event == _STARTED and line.node == node
        ),
        key=lambda line: line.time,
    )


def _within(time: str, life: tuple[str, str] | None) -> bool:
    return life is not None and life[0] <= time < life[1]


def _cut(lines: tuple[LogLine, ...], own: list[LogLine]) -> Iterable[LogLine]:
    """Returns the next start of a router that tells no end of a request."""
    for node in {line.node for line in own}:
        told = [line for line in own if line.node == node]
        if any(line.event in _LAST_EVENTS for line in told):
            continue
        last = max(line.time for line in told)
        later = (item for item in _starts(lines, node) if item.time > last)
        yield from itertools.islice(later, 1)


def _lasting(
    lines: tuple[LogLine, ...], routers: set[str], until: str
) -> Iterable[LogLine]:
    """Returns the lines that began what still lasts at routers at a time."""
    states: dict[tuple[str, str], LogLine] = {}
    for line in sorted(lines, key=lambda line: line.time):
        if line.node not in routers or line.time >= until:
            continue
        if line.event in _STATE_BEGINS.values():
            states[line.node, line.event] = line
        elif line.event in _STATE_BEGINS:
            states.pop((line.node, _STATE_BEGINS[line.event]), None)
    return states.values()


def _shifted(stamp: str, seconds: float) -> str:
    """Moves a time of day as it stands in a log line."""
    day, clock = stamp.rstrip("Z").split("T")
    hours, minutes, rest = clock.split(":")
    total = int(hours) * 3600 + int(minutes) * 60 + float(rest) + seconds
    total = min(max(total, 0.0), 86_399.999)
    hour, within = divmod(total, 3600)
    minute, second = divmod(within, 60)
    return f"{day}T{int(hour):02d}:{int(minute):02d}:{second:06.3f}Z"
