"""Helpers that drive a scheduler with reports and ticks.

The functions work on any object with the attributes `tables`, `policy` and
`at_ms`, such as behave's context.
"""

import dataclasses
import random

from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.operations import scheduler

ROUTER = data.RouterRef("r0", "a", "a")
ENVIRONMENT = data.Environment(
    "table",
    (data.Workspace("w", 1.0, ()),),
    (data.Service("s", (), "v1"),),
    (),
)


def create_scheduler(owner, at_ms, term=1, routers=()):
    """Gives the owner a new scheduler.

    Args:
      owner: Object that gets the attributes.
      at_ms: Time.
      term: Term of the leader.
      routers: Node ids of the routers that are awaited.
    """
    owner.at_ms = at_ms
    owner.policy = data.Policy(ENVIRONMENT)
    owner.tables = scheduler.create_tables(term, at_ms, (), routers)
    owner.sequence = 0


def set_service_options(owner, **options):
    """Changes fields of all services of the environment from now on."""
    environment = owner.policy.environment
    owner.policy = data.Policy(
        dataclasses.replace(
            environment,
            services=tuple(
                dataclasses.replace(service, **options)
                for service in environment.services
            ),
        )
    )
    run_tick(owner)


def send_report(owner, router=ROUTER, **fields):
    """Sends a router's report to the scheduler."""
    owner.tables = scheduler.on_report(
        owner.tables,
        router,
        messages.RouterReport(owner.at_ms, 1, **fields),
        owner.at_ms,
    )


def run_tick(owner, rng=None):
    """Runs a tick and returns its decisions."""
    result = scheduler.tick(
        owner.tables, owner.policy, owner.at_ms, rng or random.Random(1)
    )
    owner.tables = result.tables
    return result.decisions


def create_announcement(server_id, incarnation="i", slots=8, **fields):
    """Creates an announcement of a backend server of the service `s`."""
    place = {"version": "v1", "data_centre": "a"} | fields
    return data.Announcement(
        server_id,
        incarnation,
        data.Address("127.0.0.1", 1),
        "s",
        slots=slots,
        **place,
    )


def create_request(sequence, **fields):
    """Creates a queued request of the workspace `w`."""
    return data.QueuedRequest(sequence, "w", "s", "r", **fields)


def create_running_request(number):
    """Creates a running request on the server `x`."""
    return data.RunningRequest(
        1, number, "x", "i1", "v1", "w", "s", "r", "", 5.0
    )
