"""A request on an unsafe route, without a slash at its end, runs twice."""

import collections
import concurrent.futures
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import harness  # noqa: E402

REQUESTS = 60
# Share of the answers that the one worker in trouble loses.
LOST_SHARE = 0.4
# Path of the requests: it begins with "/jobs/" and not with "/jobs/list/".
PATH = "/jobs/list"
MANIFEST = {
    "routes": [
        {
            "name": "r-jobs",
            "host": "h.example",
            "pathPrefix": "/jobs/",
            "kind": "unsafe",
            "timeoutMs": 2500,
            "targetLatencyMs": 300,
            "priority": 1,
            "service": "booking",
            "maxAttempts": 1,
            "public": False,
            "stickySessions": False,
            "streamResume": False,
        },
        {
            "name": "r-list",
            "host": "h.example",
            "pathPrefix": "/jobs/list/",
            "kind": "safe",
            "timeoutMs": 2500,
            "targetLatencyMs": 300,
            "priority": 1,
            "service": "booking",
            "maxAttempts": 2,
            "public": False,
            "stickySessions": False,
            "streamResume": False,
        },
    ],
    "services": [
        {
            "name": "booking",
            "healthPath": "/health",
            "maxConnections": 110,
            "protocol": "h1",
            "tls": False,
            "coldStartS": 0.0,
            "coldPerS": 0.0,
        },
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "ta", "apiKeys": ["key-a"], "priority": 1}],
}


def lose_answers(worker, record):
    """Lets a worker lose two in five answers of the requests that it ran."""
    lost = collections.Counter()

    def behave(request, sock):
        lost["all"] += 1
        if int(lost["all"] * LOST_SHARE) == lost["lost"]:
            return False
        lost["lost"] += 1
        record(f"worker {worker.id} loses its answer to {request['id']}")
        harness.reset(sock)
        return True

    worker.behave = behave


def scenario(record, trouble):
    """Plays the case."""
    fleet = harness.Fleet(record, controllers=3, routers=2)
    try:
        fleet.start()
        workers = [
            harness.Worker(fleet, "booking", zone) for zone in harness.ZONES
        ]
        fleet.replace_manifest(MANIFEST)
        fleet.wait_ready()
        harness.wait_until(
            lambda: (
                harness.ask(fleet, fleet.routers[0], "/jobs/x")["status"] == 200
            ),
            20.0,
            "a first request is served",
        )
        time.sleep(1.5)
        if trouble:
            lose_answers(workers[0], record)
        sent = []
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            for number in range(REQUESTS):
                sent.append(
                    pool.submit(
                        harness.ask, fleet, fleet.routers[number % 2], PATH
                    )
                )
                time.sleep(4.0 / REQUESTS)
        answers = [item.result() for item in sent]
        runs = collections.Counter(
            run[1] for worker in workers for run in worker.runs
        )
        twice = [item["id"] for item in answers if runs[item["id"]] > 1]
        served = sum(item["status"] == 200 for item in answers)
        record(f"{len(answers)} requests, {served} served, {len(twice)} twice")
        for request_id in twice:
            record(f"ran {runs[request_id]} times: {request_id}")
        if served < REQUESTS / 2:
            raise harness.CannotRunError("less than half was served")
        return harness.BROKEN if twice else harness.HELD
    finally:
        fleet.stop()


harness.play(FOLDER, scenario)
