"""Fixtures of the integration features."""

from behave import fixture
from behave import use_fixture

from features.support import fleet


@fixture.fixture
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


def before_tag(context, tag):
    """Starts the fleet of a feature or scenario tagged `fixture.fleet`."""
    if tag == "fixture.fleet":
        use_fixture(running_fleet, context)
