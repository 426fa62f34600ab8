"""Usage of the workspaces by windows of true time.

A router counts requests by window and workspace and reports cumulative counts.
The leader keeps the largest count of each router incarnation, so a report that
is repeated, late or sent to a second leader counts once.
"""

from collections.abc import Iterable
import dataclasses
import itertools

import immutables

from waxwingrack.core import data

# Statuses which say that a request has not run; these are not counted.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Windows that a router keeps for a new leader. At 5 s each they outlast an
# outage of all controllers of several minutes.
MAX_ROUTER_WINDOWS = 60
# Workspaces that are counted in one window; environments have up to hundreds.
MAX_WORKSPACES = 4_096
# Shortest interval between two reports of changed counts, in milliseconds.
REPORT_INTERVAL_MS = 1_000
# Windows that are open at the leader. Those of one router that was cut off fit,
# and those of clocks that differ.
MAX_OPEN_WINDOWS = 2 * MAX_ROUTER_WINDOWS
# Windows by which the clock of a router may be ahead of the leader's.
MAX_AHEAD_WINDOWS = 6
# Router incarnations that are counted in one window; fleets have hundreds.
MAX_ROUTERS = 2_048
# Largest count of a router, workspace and window. It is 100 times what a router
# with ten cores can serve in a window of a minute.
MAX_COUNT = 100_000_000
# Multiple of the time after which a report is late. A leader that has had the
# counts for that long has recorded them.
KEEP_FACTOR = 2
# Share of the time after which a report is late that passes before a window is
# closed. Routers report every second; the rest is for retries of the call.
CLOSE_SHARE = 0.4


def find_window(true_ms: int, window_s: float) -> int:
    """Returns the number of the window that contains a time.

    Args:
      true_ms: True time in milliseconds since 1970-01-01.
      window_s: Length of a window, in seconds.
    """
    return int(true_ms // (window_s * 1000))


# ---------------------------------------------------------------------------
# Router
# ---------------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class RouterCounts:
    """Requests that a router has counted.

    Attributes:
      windows: Counts by window, then by workspace.
      order: The windows in the order in which they were begun. A clock that was
        wrong for a while may begin them in another order than by number.
      unreported: (window, workspace) whose counts have changed since the last
        report.
      reported_ms: Time of the last report with counts.
      sent_ms: Time at which each window was last reported on the present
        connection, by window.
    """

    windows: immutables.Map = immutables.Map()
    order: tuple[int, ...] = ()
    unreported: immutables.Map = immutables.Map()
    reported_ms: int | None = None
    sent_ms: immutables.Map = immutables.Map()


def count_request(
    counts: RouterCounts, window: int, workspace: str
) -> RouterCounts:
    """Counts one request.

    Args:
      counts: Counts so far.
      window: Window in which its answer began.
      workspace: Workspace of the caller.

    Returns:
      The new counts; unchanged at the bound on workspaces.
    """
    if window not in counts.windows:
        counts = _begin_window(counts, window)
    rows = counts.windows[window]
    if workspace not in rows and len(rows) >= MAX_WORKSPACES:
        return counts
    rows = rows.set(workspace, rows.get(workspace, 0) + 1)
    return dataclasses.replace(
        counts,
        windows=counts.windows.set(window, rows),
        unreported=counts.unreported.set((window, workspace), True),
    )


def _begin_window(counts: RouterCounts, window: int) -> RouterCounts:
    counts = dataclasses.replace(
        counts,
        windows=counts.windows.set(window, immutables.Map()),
        order=(*counts.order, window),
    )
    return _keep_windows(counts, counts.order[-MAX_ROUTER_WINDOWS:])


def _keep_windows(counts: RouterCounts, order: tuple[int, ...]) -> RouterCounts:
    """Drops all windows but those in `order`."""
    if len(order) == len(counts.order):
        return counts
    kept = frozenset(order)
    return dataclasses.replace(
        counts,
        windows=immutables.Map({key: counts.windows[key] for key in order}),
        order=order,
        unreported=immutables.Map(
            {key: True for key in counts.unreported if key[0] in kept}
        ),
        sent_ms=immutables.Map(
            {key: at for key, at in counts.sent_ms.items() if key in kept}
        ),
    )


def drop_recorded(
    counts: RouterCounts, now_ms: int, late_s: float
) -> RouterCounts:
    """Drops the windows that a leader has had for long enough.

    Args:
      counts: Counts so far; the connection to the leader has not ended since
        they were reported.
      now_ms: Monotonic clock.
      late_s: Time after the end of a window at which its report is late.

    Returns:
      The counts that a new leader still needs.
    """
    keep_ms = KEEP_FACTOR * late_s * 1000
    unreported = {window for window, _ in counts.unreported}
    return _keep_windows(
        counts,
        tuple(
            window
            for window in counts.order
            if window in unreported
            or now_ms - counts.sent_ms.get(window, now_ms) < keep_ms
        ),
    )


def take_report(
    counts: RouterCounts, now_ms: int, first: bool, urgent: bool = False
) -> tuple[RouterCounts, tuple[data.WindowUsage, ...]]:
    """Takes the counts for the next report to the leader.

    Args:
      counts: Counts so far.
      now_ms: Monotonic clock.
      first: Whether the report is the first one on a connection; it then holds
        all counts.
      urgent: Whether changes are reported without regard to the interval.

    Returns:
      The counts after the report and the content of the report.
    """
    is_due = (
        counts.reported_ms is None
        or now_ms - counts.reported_ms >= REPORT_INTERVAL_MS
    )
    if not first and (not counts.unreported or not (is_due or urgent)):
        return counts, ()
    if first:
        rows = [
            (window, workspace)
            for window in counts.order
            for workspace in counts.windows[window]
        ]
    else:
        rows = list(counts.unreported)
    if not rows:
        return counts, ()
    report = tuple(
        data.WindowUsage(
            window,
            tuple(
                data.UsageCount(name, counts.windows[window][name])
                for _, name in group
            ),
        )
        for window, group in itertools.groupby(
            sorted(rows), key=lambda row: row[0]
        )
    )
    counts = dataclasses.replace(
        counts,
        unreported=immutables.Map(),
        reported_ms=now_ms,
        sent_ms=counts.sent_ms.update({row.window: now_ms for row in report}),
    )
    return counts, report


# ---------------------------------------------------------------------------
# Leader
# ---------------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class OpenWindows:
    """Counts of windows that are not recorded yet, at the leader.

    Attributes:
      rows: Counts by window, router incarnation and workspace.
    """

    rows: immutables.Map = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class RejectedUsage:
    """Part of a report that is not counted.

    Attributes:
      window: Window.
      workspace: Workspace; empty if the whole window is rejected.
      reason: Why it is not counted.
    """

    window: int
    workspace: str
    reason: str


def is_recordable(state: data.ReplicatedState, window: int) -> bool:
    """Returns whether the counts of a window may still be recorded.

    Args:
      state: The replicated state.
      window: Number of the window.
    """
    return window > state.usage_floor and window not in state.usage


def add_report(
    windows: OpenWindows,
    state: data.ReplicatedState,
    current: int,
    incarnation: str,
    report: Iterable[data.WindowUsage],
) -> tuple[OpenWindows, tuple[RejectedUsage, ...]]:
    """Adds the counts that a router reports.

    Args:
      windows: Open windows.
      state: The replicated state.
      current: Window of the present true time.
      incarnation: Incarnation of the router.
      report: What it reports.

    Returns:
      The new open windows, and what was not counted.
    """
    rows, rejected = windows.rows, []
    for usage in report:
        reason = _find_window_fault(rows, state, current, incarnation, usage)
        if reason:
            rejected.append(RejectedUsage(usage.window, "", reason))
            continue
        routers = rows.get(usage.window, immutables.Map())
        counts = routers.get(incarnation, immutables.Map())
        for row in usage.counts:
            if not 0 < row.count <= MAX_COUNT:
                reason = f"the count {row.count:.6g} is out of range"
            elif row.workspace not in counts and len(counts) >= MAX_WORKSPACES:
                reason = "too many workspaces"
            else:
                known = counts.get(row.workspace, 0)
                counts = counts.set(row.workspace, max(known, row.count))
                continue
            rejected.append(RejectedUsage(usage.window, row.workspace, reason))
        if counts:
            rows = rows.set(usage.window, routers.set(incarnation, counts))
    return OpenWindows(rows), tuple(rejected)


def _find_window_fault(
    rows: immutables.Map,
    state: data.ReplicatedState,
    current: int,
    incarnation: str,
    usage: data.WindowUsage,
) -> str:
    if not is_recordable(state, usage.window):
        return "the window is closed"
    if not (
        current - MAX_OPEN_WINDOWS < usage.window <= current + MAX_AHEAD_WINDOWS
    ):
        return "the window is too far from the present"
    routers = rows.get(usage.window, immutables.Map())
    if incarnation not in routers and len(routers) >= MAX_ROUTERS:
        return "too many routers"
    return ""


def list_closable(
    windows: OpenWindows, true_ms: int, settings: data.DutySettings
) -> tuple[int, ...]:
    """Returns the windows whose counts may be recorded, oldest first.

    Args:
      windows: Open windows.
      true_ms: True time in milliseconds since 1970-01-01.
      settings: Length of the windows and the time at which they are late.
    """
    delay_ms = CLOSE_SHARE * settings.usage_late_s * 1000
    window_ms = settings.usage_window_s * 1000
    return tuple(
        window
        for window in sorted(windows.rows)
        if (window + 1) * window_ms + delay_ms <= true_ms
    )


def sum_counts(
    windows: OpenWindows, window: int
) -> tuple[data.UsageCount, ...]:
    """Returns the counts of a window over all routers, by workspace.

    Args:
      windows: Open windows.
      window: Number of the window.
    """
    totals: dict[str, int] = {}
    for counts in windows.rows[window].values():
        for workspace, count in counts.items():
            totals[workspace] = totals.get(workspace, 0) + count
    return tuple(itertools.starmap(data.UsageCount, sorted(totals.items())))


def drop_closed(
    windows: OpenWindows, state: data.ReplicatedState
) -> OpenWindows:
    """Drops the windows that have been recorded.

    Args:
      windows: Open windows.
      state: The replicated state.
    """
    if all(is_recordable(state, window) for window in windows.rows):
        return windows
    return OpenWindows(
        immutables.Map(
            {
                window: routers
                for window, routers in windows.rows.items()
                if is_recordable(state, window)
            }
        )
    )
