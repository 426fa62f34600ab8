"""Fixtures of the integration features."""

import contextlib

import behave

from features.support import certificates
from features.support import fleet
from features.support import platform_fleet as platform_fleet_support

# Delay of every link of the slow fleet, in milliseconds each way.
LINK_DELAY_MS = 150
WORK_MS = 600


@contextlib.contextmanager
def _started(context, services=None, **options):
    """Starts controllers and routers with an environment in force.

    Args:
      context: Context of behave; gets the attribute `fleet`.
      services: Services of the environment; those of `fleet.environment` if
        None.
      **options: Options of `fleet.Fleet`.

    Yields:
      The fleet.
    """
    context.fleet = fleet.Fleet(**options)
    try:
        context.fleet.start()
        context.fleet.apply(fleet.environment(services=services))
        yield context.fleet
    finally:
        context.fleet.stop()


def _wait_until_served(cluster, path="/booking/free"):
    for router in cluster.routers:
        fleet.wait_until(
            lambda name=router: cluster.call(name, "GET", path).status == 200,
            20,
            f"{router} serves {path}",
        )


def _add_booking_desk(context):
    context.runs = context.fleet.folder / "booking-1.runs"
    context.fleet.add_server(
        "booking-1", "booking", slots=4, runs_file=str(context.runs)
    )
    _wait_until_served(context.fleet)


@behave.fixture
def running_fleet(context):
    """Three controllers, three routers and four backend servers."""
    with _started(context) as cluster:
        for number, service in enumerate(
            ("sketch", "sketch", "booking", "booking")
        ):
            cluster.add_server(
                f"{service}-{number % 2 + 1}",
                service,
                engine=service == "sketch",
                data_centre="ab"[number % 2],
            )
        fleet.wait_until(
            lambda: len(cluster.status()["backend_servers"]) == 4,
            10,
            "four announced backend servers",
        )
        for router in cluster.routers:
            fleet.wait_until(
                lambda name=router: cluster.serving(name), 10, router
            )
        yield cluster


@contextlib.contextmanager
def _started_platform(context, **bounds):
    """Starts five controllers and a router as the platform starts them."""
    context.fleet = platform_fleet_support.PlatformFleet(**bounds)
    try:
        context.fleet.start()
        yield
    finally:
        context.fleet.stop()


@behave.fixture
def platform_fleet(context):
    """Five controllers and a router, started as the platform starts them."""
    with _started_platform(context):
        yield context.fleet


@behave.fixture
def retrying_platform_fleet(context):
    """A fleet on the platform whose retry budget does not bind."""
    with _started_platform(context, retryBudgetSlack=1_000):
        yield context.fleet


@behave.fixture
def slow_fleet(context):
    """Three routers and two booking desks behind links with a delay."""
    with _started(context, link_delay_ms=LINK_DELAY_MS) as cluster:
        for name in ("booking-1", "booking-2"):
            cluster.add_server(
                name,
                "booking",
                work_ms=WORK_MS,
                data_centre="ab"[int(name[-1]) - 1],
                runs_file=str(cluster.folder / f"{name}.runs"),
            )
        _wait_until_served(cluster)
        yield cluster


@behave.fixture
def tls_fleet(context):
    """Three controllers, two routers and a booking desk over TLS."""
    first, second = (certificates.Authority(x) for x in ("first", "second"))
    first.trusted = second.trusted = (first, second)
    context.second = second
    with _started(
        context,
        routers=2,
        authority=first,
        router_settings={"shutdown_delay_s": 1.0},
    ):
        _add_booking_desk(context)
        yield context.fleet


@behave.fixture
def cut_fleet(context):
    """Three controllers, a router and a booking desk."""
    with _started(context, routers=1):
        _add_booking_desk(context)
        yield context.fleet


@behave.fixture
def order_fleet(context):
    """Three controllers, a router and two engines that take orders.

    The links between controllers and engines can be held.
    """
    services = [
        {
            "id": name,
            "version": "v1",
            "routes": [{"id": "r", "path": f"/{name}", "idempotent": True}],
            "orders": {"min_serving_share": 0.0},
        }
        for name in ("checks", "ignores")
    ]
    with _started(context, services, routers=1) as cluster:
        for name in ("checks", "ignores"):
            cluster.add_server(
                name,
                name,
                engine=True,
                checks_fencing=name == "checks",
                linked=True,
            )
        fleet.wait_until(
            lambda: len(cluster.status()["backend_servers"]) == 2,
            10,
            "two announced engines",
        )
        yield cluster


def _limit(context, server):
    """Answers a request and returns the slot limit of a backend server."""
    context.fleet.call("r1", "GET", f"/{server.split('-')[0]}")
    rows = context.fleet.status()["backend_servers"]
    return next(row["limit"] for row in rows if row["id"] == server)


@behave.fixture
def stream_fleet(context):
    """A controller, a router and an engine with large streams."""
    services = [
        {
            "id": name,
            "version": "v1",
            "idle_timeout_s": idle_timeout_s,
            "routes": [{"id": "r", "path": f"/{name}", "idempotent": True}],
        }
        for name, idle_timeout_s in (("patient", 60.0), ("strict", 2.0))
    ]
    with _started(context, services, controllers=1, routers=1) as cluster:
        for name in ("patient", "strict"):
            cluster.add_server(
                f"{name}-1",
                name,
                engine=True,
                token_ms=0,
                token_batch_ms=0,
                token_bytes=65_536,
            )
            _wait_until_served(cluster, f"/{name}")
        fleet.wait_until(
            lambda: _limit(context, "patient-1") >= 2, 20, "two slots"
        )
        yield cluster


FIXTURES = {
    "fixture.fleet": running_fleet,
    "fixture.slow_fleet": slow_fleet,
    "fixture.tls_fleet": tls_fleet,
    "fixture.stream_fleet": stream_fleet,
    "fixture.cut_fleet": cut_fleet,
    "fixture.order_fleet": order_fleet,
    "fixture.platform_fleet": platform_fleet,
    "fixture.retrying_platform_fleet": retrying_platform_fleet,
}


def before_tag(context, tag):
    """Starts the fleet that a tag of a feature or scenario names."""
    if tag in FIXTURES:
        behave.use_fixture(FIXTURES[tag], context)
