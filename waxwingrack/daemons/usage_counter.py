"""Counts the usage of the workspaces at a router."""

from collections.abc import Callable
import logging
import time

from waxwingrack.core import data
from waxwingrack.core import logs
from waxwingrack.operations import true_time
from waxwingrack.operations import usage

# Difference between the wall clock and true time that is logged, in
# milliseconds. Clocks that are kept in time differ by less.
LOGGED_DEVIATION_MS = 1_000


class WallClock:
    """True time of this process."""

    def __init__(self, read_wall_s: Callable[[], float] = time.time):
        """Starts without samples.

        Args:
          read_wall_s: Returns the wall clock in seconds since 1970-01-01.
        """
        self._read_wall_s = read_wall_s
        self._samples = true_time.TrueTime()
        self._is_deviating = False

    def read_ms(self, now_ms: int) -> int | None:
        """Returns true time in milliseconds since 1970-01-01.

        Args:
          now_ms: Monotonic clock.

        Returns:
          The time; None if the wall clock has never shown one.
        """
        if true_time.is_sample_due(self._samples, now_ms):
            wall_ms = 1000 * self._read_wall_s()
            self._samples = true_time.add_sample(self._samples, wall_ms, now_ms)
            self._log_deviation(wall_ms, now_ms)
        return true_time.to_true_ms(self._samples, now_ms)

    def _log_deviation(self, wall_ms: float, now_ms: int) -> None:
        """Logs when the wall clock leaves true time and when it is back."""
        true_ms = true_time.to_true_ms(self._samples, now_ms)
        is_near = (
            true_ms is not None
            and abs(wall_ms - true_ms) <= LOGGED_DEVIATION_MS
        )
        if self._is_deviating != is_near:
            return
        self._is_deviating = not is_near
        fields = {"wall_ms": wall_ms, "true_ms": true_ms}
        if is_near:
            logs.event("wall_clock_right", **fields)
        else:
            logs.event("wall_clock_wrong", logging.WARNING, **fields)


class UsageCounter:
    """Counts requests whose answers have begun."""

    def __init__(
        self,
        settings: data.DutySettings | None,
        clock: Callable[[], int],
        wall_clock: WallClock | None = None,
    ):
        """Prepares a counter.

        Args:
          settings: Duties of the deployment; without the report of usage,
            nothing is counted.
          clock: Returns monotonic milliseconds.
          wall_clock: True time of the process.
        """
        self._settings = (
            settings
            if settings and data.Duty.USAGE_REPORT in settings.duties
            else None
        )
        self._clock = clock
        self._wall_clock = wall_clock or WallClock()
        self._counts = usage.RouterCounts()

    def count(self, workspace: str, status: int) -> None:
        """Counts a request whose answer begins.

        Args:
          workspace: Workspace of the caller.
          status: HTTP status of the answer.
        """
        if (
            self._settings is None
            or workspace == data.PUBLIC_WORKSPACE
            or status in usage.NOT_RUN_STATUSES
        ):
            return
        true_ms = self._wall_clock.read_ms(self._clock())
        if true_ms is None:
            return
        former = self._counts
        self._counts = usage.count_request(
            former,
            usage.find_window(true_ms, self._settings.usage_window_s),
            workspace,
        )
        # Too many windows are kept only without a leader.
        if former.order and self._counts.order[0] != former.order[0]:
            logs.event(
                "usage_lost",
                logging.WARNING,
                window=former.order[0],
                reason="no leader took the counts of the oldest window",
            )

    def take_report(
        self, first: bool, urgent: bool = False
    ) -> tuple[data.WindowUsage, ...]:
        """Takes the counts for the next report to the leader.

        Args:
          first: Whether it is the first report on a connection.
          urgent: Whether no later report may follow.
        """
        if self._settings is None:
            return ()
        now_ms = self._clock()
        # Without requests, the wall clock is sampled here.
        self._wall_clock.read_ms(now_ms)
        if not first:
            self._counts = usage.drop_recorded(
                self._counts, now_ms, self._settings.usage_late_s
            )
        self._counts, report = usage.take_report(
            self._counts, now_ms, first, urgent
        )
        return report
