"""Fixtures of the integration features."""

import behave

from features.support import certificates
from features.support import fleet


@behave.fixture
def running_fleet(context):
    """Three controllers, three routers and four backend servers."""
    context.fleet = fleet.Fleet()
    try:
        context.fleet.start()
        context.fleet.apply(fleet.environment())
        for number, service in enumerate(
            ("sketch", "sketch", "booking", "booking")
        ):
            context.fleet.add_server(
                f"{service}-{number % 2 + 1}",
                service,
                engine=service == "sketch",
                data_centre="ab"[number % 2],
            )
        fleet.wait_until(
            lambda: len(context.fleet.status()["backend_servers"]) == 4,
            10,
            "four announced backend servers",
        )
        for router in context.fleet.routers:
            fleet.wait_until(
                lambda name=router: context.fleet.serving(name), 10, router
            )
        yield context.fleet
    finally:
        context.fleet.stop()


# Delay of every link of the slow fleet, in milliseconds each way.
LINK_DELAY_MS = 150
WORK_MS = 600


@behave.fixture
def slow_fleet(context):
    """Three routers and two booking desks behind links with a delay."""
    context.fleet = fleet.Fleet(link_delay_ms=LINK_DELAY_MS)
    try:
        context.fleet.start()
        context.fleet.apply(fleet.environment())
        for name in ("booking-1", "booking-2"):
            context.fleet.add_server(
                name,
                "booking",
                work_ms=WORK_MS,
                data_centre="ab"[int(name[-1]) - 1],
                runs_file=str(context.fleet.folder / f"{name}.runs"),
            )
        for router in context.fleet.routers:
            fleet.wait_until(
                lambda name=router: (
                    context.fleet.call(name, "GET", "/booking/free").status
                    == 200
                ),
                20,
                f"{router} serves",
            )
        yield context.fleet
    finally:
        context.fleet.stop()


@behave.fixture
def tls_fleet(context):
    """Three controllers, two routers and a booking desk over TLS."""
    first, second = (certificates.Authority(x) for x in ("first", "second"))
    first.trusted = second.trusted = (first, second)
    context.second = second
    context.fleet = fleet.Fleet(
        routers=2,
        authority=first,
        router_settings={"shutdown_delay_s": 1.0},
    )
    try:
        context.fleet.start()
        context.fleet.apply(fleet.environment())
        context.runs = context.fleet.folder / "booking-1.runs"
        context.fleet.add_server(
            "booking-1", "booking", slots=4, runs_file=str(context.runs)
        )
        for router in context.fleet.routers:
            fleet.wait_until(
                lambda name=router: (
                    context.fleet.call(name, "GET", "/booking/free").status
                    == 200
                ),
                20,
                f"{router} serves",
            )
        yield context.fleet
    finally:
        context.fleet.stop()


@behave.fixture
def cut_fleet(context):
    """Three controllers, a router and a booking desk."""
    context.fleet = fleet.Fleet(routers=1)
    try:
        context.fleet.start()
        context.fleet.apply(fleet.environment())
        context.runs = context.fleet.folder / "booking-1.runs"
        context.fleet.add_server(
            "booking-1", "booking", slots=4, runs_file=str(context.runs)
        )
        fleet.wait_until(
            lambda: (
                context.fleet.call("r1", "GET", "/booking/free").status == 200
            ),
            20,
            "r1 serves",
        )
        yield context.fleet
    finally:
        context.fleet.stop()


def _limit(context, server):
    """Answers a request and returns the slot limit of a backend server."""
    context.fleet.call("r1", "GET", f"/{server.split('-')[0]}")
    rows = context.fleet.status()["backend_servers"]
    return next(row["limit"] for row in rows if row["id"] == server)


@behave.fixture
def stream_fleet(context):
    """A controller, a router and an engine with large streams."""
    context.fleet = fleet.Fleet(
        controllers=1,
        routers=1,
    )
    services = [
        {
            "id": name,
            "version": "v1",
            "idle_timeout_s": idle_timeout_s,
            "routes": [{"id": "r", "path": f"/{name}", "idempotent": True}],
        }
        for name, idle_timeout_s in (("patient", 60.0), ("strict", 2.0))
    ]
    try:
        context.fleet.start()
        context.fleet.apply(fleet.environment(services=services))
        for name in ("patient", "strict"):
            context.fleet.add_server(
                f"{name}-1",
                name,
                engine=True,
                token_ms=0,
                token_batch_ms=0,
                token_bytes=65_536,
            )
            fleet.wait_until(
                lambda name=name: (
                    context.fleet.call("r1", "GET", f"/{name}").status == 200
                ),
                20,
                f"r1 serves {name}",
            )
        fleet.wait_until(
            lambda: _limit(context, "patient-1") >= 2, 20, "two slots"
        )
        yield context.fleet
    finally:
        context.fleet.stop()


FIXTURES = {
    "fixture.fleet": running_fleet,
    "fixture.slow_fleet": slow_fleet,
    "fixture.tls_fleet": tls_fleet,
    "fixture.stream_fleet": stream_fleet,
    "fixture.cut_fleet": cut_fleet,
}


def before_tag(context, tag):
    """Starts the fleet that a tag of a feature or scenario names."""
    if tag in FIXTURES:
        behave.use_fixture(FIXTURES[tag], context)
