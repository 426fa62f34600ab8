"""Steps for the stand-in backend server."""

import concurrent.futures
import http.client
import http.server
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import threading
import time

import behave

ROOT = pathlib.Path(__file__).resolve().parents[2]
TIMEOUT_S = 10


class Process:
    """A running stand-in."""

    def __init__(self, config):
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "waxwingrack.daemons.stand_in",
                json.dumps({"server_id": "s1", "service": "x"} | config),
            ],
            cwd=ROOT,
            env=os.environ | {"PYTHONPATH": str(ROOT)},
            stdout=subprocess.PIPE,
            text=True,
        )
        self.port = json.loads(self.process.stdout.readline())["port"]

    def stop(self):
        self.process.terminate()
        try:
            self.process.wait(TIMEOUT_S)
        finally:
            self.process.kill()
            self.process.stdout.close()
            self.process.wait()

    def call(self, method, path, body=None, key="", timeout=TIMEOUT_S):
        conn = http.client.HTTPConnection("127.0.0.1", self.port, timeout)
        try:
            headers = {"Idempotency-Key": key} if key else {}
            conn.request(method, path, json.dumps(body), headers)
            response = conn.getresponse()
            return response.status, response.read()
        finally:
            conn.close()

    def get(self, path):
        return json.loads(self.call("GET", path)[1])


@behave.given("a stand-in process with {config}")
def stand_in_process(context, config):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.runs_file = pathlib.Path(folder.name) / "runs"
    fakes = getattr(context, "routers", [])
    routers = [
        {"host": "127.0.0.1", "port": fake.getsockname()[1]} for fake in fakes
    ]
    context.stand_in = Process(
        {"runs_file": str(context.runs_file), "routers": routers}
        | json.loads(config)
    )
    context.add_cleanup(context.stand_in.stop)
    context.incarnation = context.stand_in.get("/-/runs")["incarnation"]


@behave.when("the prompt {prompt} goes to the stand-in")
def send_prompt(context, prompt):
    context.answer = context.stand_in.call("POST", "/a", json.loads(prompt))


@behave.when("the mode of the stand-in becomes {mode}")
def set_mode(context, mode):
    status, body = context.stand_in.call("PUT", "/-/mode", json.loads(mode))
    assert status == 200, body


@behave.when("{seconds:f} s have passed for the stand-in")
def wait(context, seconds):
    time.sleep(seconds)


@behave.then(
    "the stand-in's stream has {words:d} words, a usage of {total:d} tokens "
    "and an end"
)
def stream_is_whole(context, words, total):
    lines = context.answer[1].decode().split("\n\n")
    assert lines[-2:] == ["data: [DONE]", ""], lines
    events = [json.loads(line.removeprefix("data: ")) for line in lines[:-2]]
    assert len([event for event in events if event["choices"]]) == words
    assert events[-1]["usage"]["total_tokens"] == total, events


def _at_once(context, count, body):
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        calls = [
            pool.submit(context.stand_in.call, "POST", "/a", body)
            for _ in range(count)
        ]
        return [call.result()[0] for call in calls]


@behave.when(
    "the stand-in gets 1 and then {count:d} requests at once of "
    "{tokens:d} tokens"
)
def batches(context, count, tokens):
    context.times = []
    for size in (1, count):
        start = time.monotonic()
        _at_once(context, size, {"prompt": "a", "max_tokens": tokens})
        context.times.append(time.monotonic() - start)


@behave.then(
    "the stand-in takes at least {factor:d} times as long for {count:d} "
    "requests"
)
def takes_longer(context, factor, count):
    one, many = context.times
    assert many >= factor * one, context.times


@behave.when(
    'the stand-in gets "{plain}" with key "{one}" twice and "{crash}" with '
    'key "{two}" once'
)
def keyed_requests(context, plain, one, crash, two):
    for _ in range(2):
        status, _ = context.stand_in.call("POST", "/a", plain, one)
        assert status == 200, status
    try:
        answer = context.stand_in.call("POST", "/a", crash, two)
    except (OSError, http.client.HTTPException):
        return
    raise AssertionError(f"the crash was answered: {answer}")


def _eventually(check):
    limit = time.monotonic() + TIMEOUT_S
    while True:
        try:
            return check()
        except (OSError, http.client.HTTPException, AssertionError):
            if time.monotonic() > limit:
                raise
            time.sleep(0.05)


@behave.then(
    'the stand-in has counted {first:d} runs of "{one}" and {second:d} run '
    'of "{two}"'
)
def counted(context, first, one, second, two):
    runs = _eventually(lambda: context.stand_in.get("/-/runs"))["runs"]
    assert runs == {one: first, two: second}, runs


@behave.then(
    "the stand-in has a new incarnation and its runs file has {count:d} lines"
)
def new_incarnation(context, count):
    found = context.stand_in.get("/-/runs")["incarnation"]
    assert found != context.incarnation
    lines = context.runs_file.read_text().splitlines()
    assert len(lines) == count, lines


@behave.then("the stand-in answers {good:d} of {count:d} requests sent at once")
def answers_some(context, good, count):
    statuses = _at_once(context, count, {})
    assert statuses.count(200) == good, statuses
    assert statuses.count(503) == count - good, statuses


@behave.then("the stand-in is slower than {limit:d} ms")
def is_slow(context, limit):
    start = time.monotonic()
    context.stand_in.call("POST", "/a", {})
    assert time.monotonic() - start > limit / 1000


@behave.then("a stand-in request on {path} ends as {end}")
def request_ends(context, path, end):
    try:
        status, _ = context.stand_in.call("POST", path, {}, timeout=2)
        found = str(status)
    except TimeoutError:
        found = "timeout"
    except (OSError, http.client.IncompleteRead):
        found = "cut"
    assert found == end, found


@behave.when(
    'the stand-in gets the order {first:d} for "{one}" and then the order '
    '{second:d} for "{two}"'
)
def orders(context, first, one, second, two):
    for fencing, version in ((first, one), (second, two)):
        context.answer = context.stand_in.call(
            "POST", "/-/orders", {"fencing": fencing, "version": version}
        )


@behave.then(
    "the stand-in answers the last order with {status:d} and runs {version}"
)
def order_answered(context, status, version):
    assert context.answer[0] == status, context.answer
    assert context.stand_in.get("/-/orders")["version"] == version


@behave.given("two fake routers that take announcements")
def fake_routers(context):
    context.announced = []
    context.routers = [
        _fake_router(context, name).socket for name in ("r1", "r2")
    ]


@behave.given(
    "a router that ignores connections and a fake one that takes announcements"
)
def deaf_and_fake_router(context):
    context.announced = []
    deaf = socket.create_server(("127.0.0.1", 0), backlog=0)
    context.add_cleanup(deaf.close)
    # The system ignores attempts to connect while the queue of a port is full.
    for _ in range(2):
        conn = socket.socket()
        conn.setblocking(False)
        conn.connect_ex(deaf.getsockname())
        context.add_cleanup(conn.close)
    context.routers = [deaf, _fake_router(context, "r2").socket]


@behave.then(
    "the fake router gets {count:d} announcements within {seconds:d} seconds"
)
def gets_announcements(context, count, seconds):
    deadline_s = time.monotonic() + seconds
    while len(context.announced) < count:
        assert time.monotonic() < deadline_s, len(context.announced)
        time.sleep(0.05)


def _fake_router(context, name):
    class Handler(http.server.BaseHTTPRequestHandler):
        def do_PUT(self):  # noqa: N802
            body = self.rfile.read(int(self.headers["Content-Length"]))
            context.announced.append((name, json.loads(body)))
            self.send_response(204)
            self.end_headers()

        def log_message(self, *_):
            pass

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.add_cleanup(server.server_close)
    context.add_cleanup(server.shutdown)
    return server


@behave.when("{count:d} prompts are sent to the stand-in over {seconds:f} s")
def prompts(context, count, seconds):
    for number in range(count):
        context.stand_in.call("POST", "/a", {"prompt": f"prompt {number}"})
        time.sleep(seconds / count)
    context.prompts_end = time.monotonic()
    time.sleep(1)


@behave.then("both fake routers have got announcements")
def both_routers(context):
    assert {name for name, _ in context.announced} == {"r1", "r2"}


@behave.then("the announced cache events are late and have gaps")
def late_events(context):
    batches = [body["cache_events"] for _, body in context.announced]
    numbers = [event["sequence"] for batch in batches for event in batch]
    assert not batches[0] and not batches[1], batches
    assert numbers == sorted(set(numbers)), numbers
    assert 0 < len(numbers) < 8, numbers


@behave.when("the stand-in process is stopped")
def stop_process(context):
    context.stand_in.stop()


@behave.then("the last announcement says that it departs")
def departs(context):
    states = [body["departing"] for _, body in context.announced]
    assert states[-1] and not any(states[:-1]), states
