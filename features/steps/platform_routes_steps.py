"""Steps for the routes of requests on the platform, with real processes."""

import itertools

import behave

from features.support import fleet
from features.support import platform_fleet

START_S = 20.0
SERVICES = ("jobs", "lists", "lists", "jobs")
PREFIXES = (
    ("/jobs/", "unsafe", "jobs"),
    ("/jobs/list/", "safe", "lists"),
    ("/jobs/list/cancel/", "unsafe", "lists"),
    ("/-/", "safe", "jobs"),
)
RUNS = {"once": 1, "twice": 2}


def _document():
    return {
        "version": 1,
        "routes": [
            {
                "name": f"r{number}",
                "host": "h.example",
                "pathPrefix": prefix,
                "kind": kind,
                "timeoutMs": 3000,
                "maxAttempts": 2,
                "service": service,
            }
            for number, (prefix, kind, service) in enumerate(PREFIXES)
        ],
        "services": [
            {"name": name, "coldPerS": 0.0} for name in ("jobs", "lists")
        ],
        "limits": {},
        "tenants": [{"name": "w", "apiKeys": [platform_fleet.KEY]}],
    }


@behave.given("the routes of the services jobs and lists")
def routes(context):
    cluster = context.fleet
    if cluster.last_document is not None:
        return
    cluster.last_document = _document()
    cluster.until_accepted("POST", "/api/config/replace", cluster.last_document)
    cluster.server.service = SERVICES[0]
    for service in SERVICES[1:]:
        cluster.add_server(service)
    cluster.keep_announcing()
    for path, server in itertools.product(
        ("/jobs/x", "/jobs/list/x"), cluster.servers
    ):
        if (server.service == "lists") == ("list" in path):
            fleet.wait_until(
                lambda at=path, expected=server: (
                    cluster.ask(path=at).status == 200 and expected.requests
                ),
                START_S,
                f"{server.id} serves {path}",
            )


def _runs(cluster, request_id):
    return [
        (server.service, path)
        for server in cluster.servers
        for path, headers, _ in server.requests
        if headers["Request-Id"] == request_id
    ]


@behave.when("a caller asks the platform for {path}")
@behave.when("a caller sends {method} to the platform for {path}")
def ask(context, path, method="POST"):
    context.path = path
    context.answer = context.fleet.ask(path=path, method=method)


@behave.then(
    "the request is answered {status:d} and {service} ran it with the path "
    "unchanged"
)
def ran_by(context, status, service):
    ran = _runs(context.fleet, context.fleet.last_request_id)
    expected = [] if service == "nobody" else [(service, context.path)]
    assert ran == expected, ran
    assert context.answer.status == status, context.answer


@behave.when("the backend servers lose their answers to a request for {path}")
def lose_answers(context, path):
    cluster = context.fleet
    for server in cluster.servers:
        server.mode = "lose"
    context.answer = cluster.ask(path=path)
    for server in cluster.servers:
        server.mode = "serve"


@behave.then("that request ran {count}")
def ran(context, count):
    found = _runs(context.fleet, context.fleet.last_request_id)
    assert len(found) == RUNS[count], (found, context.answer)
