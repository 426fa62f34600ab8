"""Alternatives to decisions of the product, for comparisons only.

Each alternative is a program that the bench starts in place of one role. The
parts here do no I/O. Two alternatives change what the scheduler reads in the
reports of the routers; the third one gives each router a scheduler of its own.
"""

from collections.abc import Callable
import dataclasses
import random
import zlib

from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.core import registry
from waxwingrack.operations import scheduler

# Workspace that stands for all of them where requests are served in order of
# arrival.
EVERYONE = "everyone"
# Cost of each request where costs are ignored.
EQUAL_COST = 1.0
# Term of the grants that a router issues to itself.
LOCAL_TERM = 1

Rewrite = Callable[[messages.RouterReport], messages.RouterReport]

# Changes of routers' reports before the leader's scheduler reads them.
REWRITES: registry.Registry[str, Rewrite] = registry.Registry(
    "rewrite of reports"
)


@REWRITES.register("first_come_first_served")
def first_come_first_served(
    report: messages.RouterReport,
) -> messages.RouterReport:
    """Makes the scheduler serve all requests in order of arrival.

    The scheduler serves the requests of one workspace in this order, so all
    requests are given to the same one.
    """
    return dataclasses.replace(
        report,
        wants=tuple(
            dataclasses.replace(want, workspace=EVERYONE)
            for want in report.wants
        ),
        running=tuple(
            dataclasses.replace(running, workspace=EVERYONE)
            for running in report.running
        ),
    )


@REWRITES.register("round_robin")
def round_robin(report: messages.RouterReport) -> messages.RouterReport:
    """Makes the scheduler serve the workspaces in turn, whatever they cost.

    With equal costs the lowest counter belongs to the workspace that got the
    fewest requests for its weight.
    """
    return dataclasses.replace(
        report,
        wants=tuple(
            dataclasses.replace(want, hint=0.0) for want in report.wants
        ),
        running=tuple(
            dataclasses.replace(running, cost=EQUAL_COST)
            for running in report.running
        ),
        finished=tuple(
            dataclasses.replace(ended, cost=EQUAL_COST)
            for ended in report.finished
        ),
        progress=(),
    )


def static_share(server_id: str, slots: int, index: int, routers: int) -> int:
    """Computes the slots of a backend server that one router may use.

    The remainder of the division goes to routers that differ between servers,
    so that the totals of the routers are near each other.

    Args:
      server_id: Backend server.
      slots: Its slots.
      index: Number of the router, from 0.
      routers: Number of routers.

    Returns:
      Slots; their sum over all routers is `slots`.
    """
    first = zlib.crc32(server_id.encode()) % routers
    extra = (index - first) % routers < slots % routers
    return slots // routers + extra


class LocalScheduler:
    """Scheduler of one router over its static share of all slots.

    It uses the product's scheduler. Counters of workspaces are local and are
    not gossiped.
    """

    def __init__(
        self, router: data.RouterRef, index: int, routers: int, now_ms: int
    ):
        """Prepares the scheduler.

        Args:
          router: The router.
          index: Its number, from 0.
          routers: Number of routers.
          now_ms: Present time.
        """
        self._router = router
        self._index = index
        self._routers = routers
        self._tables = scheduler.create_tables(LOCAL_TERM, now_ms, (), ())

    def step(
        self,
        report: messages.RouterReport,
        policy: data.Policy,
        now_ms: int,
    ) -> scheduler.Decisions:
        """Takes what happened at the router and decides.

        Args:
          report: Report as the router would send it to the leader.
          policy: Policy of the environment in force.
          now_ms: Present time.

        Returns:
          The decisions.
        """
        seen = map(self._own_part, report.announcements)
        report = dataclasses.replace(
            report, announcements=tuple(part for part in seen if part.slots)
        )
        tables = scheduler.on_report(self._tables, self._router, report, now_ms)
        # The scheduler draws no random numbers.
        ticked = scheduler.tick(tables, policy, now_ms, random.Random(0))
        self._tables = ticked.tables
        return ticked.decisions

    def _own_part(self, seen: data.Announcement) -> data.Announcement:
        # Requests of other routers use other slots.
        return dataclasses.replace(
            seen,
            in_flight=0,
            slots=static_share(
                seen.server_id, seen.slots, self._index, self._routers
            ),
        )
