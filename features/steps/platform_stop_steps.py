"""Steps for planned stops of routers on the platform, with real processes."""

import dataclasses
import http.client
import itertools
import signal
import threading
import time
import uuid

import behave

from features.support import platform_fleet

GRACE_S = 8.0
SERVERS = 2
PAUSE_S = 0.15
PATHS = {"unsafe": "/jobs/x", "safe": "/list/x"}
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclasses.dataclass
class Call:
    """A request of a caller.

    Attributes:
      request_id: Its id.
      sent: Whether all of it was written to an accepted connection.
      status: Status of the answer; 0 before a whole answer.
      kept: Whether it was sent on a connection that had been used.
      sent_s: Monotonic time at which it was written; 0 before that.
      ended_s: Monotonic time at which its answer or error came.
      error: Error in place of a whole answer.
    """

    request_id: str
    kept: bool
    sent: bool = False
    status: int = 0
    sent_s: float = 0.0
    ended_s: float = 0.0
    error: str = ""


def _document():
    return {
        "version": 1,
        "routes": [
            {
                "name": kind,
                "host": "h.example",
                "pathPrefix": path.removesuffix("x"),
                "kind": kind,
                "timeoutMs": 20_000,
                "maxAttempts": 2,
                "service": "s",
            }
            for kind, path in PATHS.items()
        ],
        "services": [{"name": "s", "coldPerS": 0.0}],
        "limits": {},
        "tenants": [{"name": "w", "apiKeys": [platform_fleet.KEY]}],
    }


@behave.given("a document with unsafe and safe routes")
def document(context):
    cluster = context.fleet
    if cluster.last_document is None:
        cluster.last_document = _document()
        cluster.until_accepted(
            "POST", "/api/config/replace", cluster.last_document
        )
        for _ in range(SERVERS - 1):
            cluster.add_server("s")
        cluster.keep_announcing()


@behave.given("backend servers in the mode {mode}")
def server_mode(context, mode):
    for server in context.fleet.servers:
        # Two of twelve callers are served at a time.
        server.slots = 1 if mode == "crowded" else 8
        server.mode = "slow" if mode == "crowded" else mode


class _Caller(threading.Thread):
    """Sends one request after another, on a kept or on new connections."""

    def __init__(self, ip, path, keeps, stopped):
        super().__init__(daemon=True)
        self.calls = []
        self._ip = ip
        self._path = path
        self._keeps = keeps
        self._stopped = stopped

    def run(self):
        """Sends requests until connections are refused."""
        conn = None
        while not self._stopped.is_set():
            call = Call(uuid.uuid4().hex[:16], kept=conn is not None)
            try:
                conn = conn or self._connect()
            except OSError:
                return
            self.calls.append(call)
            try:
                conn.request("POST", self._path, b"hello", self._headers(call))
                call.sent = True
                call.sent_s = time.monotonic()
                answer = conn.getresponse()
                answer.read()
                call.status = answer.status
                closed = answer.will_close
            except (OSError, http.client.HTTPException) as exc:
                closed = True
                call.error = repr(exc)
            call.ended_s = time.monotonic()
            if closed or not self._keeps:
                conn.close()
                conn = None
            time.sleep(PAUSE_S)

    def _connect(self):
        conn = http.client.HTTPConnection(
            self._ip, platform_fleet.FRONT_PORT, timeout=20
        )
        conn.connect()
        return conn

    def _headers(self, call):
        return {
            "Host": "h.example",
            "Request-Id": call.request_id,
            "Deadline-Ms": "20000",
            "Authorization": f"Bearer {platform_fleet.KEY}",
        }


@behave.when("a router is stopped while callers send {kind} requests")
def stop_router(context, kind):
    cluster = context.fleet
    router = cluster.add_router()
    stopped = threading.Event()
    callers = [
        _Caller(router.ip, PATHS[kind], keeps, stopped)
        for keeps in (True, False) * 6
    ]
    for caller in callers:
        caller.start()
        time.sleep(PAUSE_S / 6)
    time.sleep(0.5)
    router.process.send_signal(signal.SIGTERM)
    context.stop_began_s = time.monotonic()
    router.process.wait(2 * GRACE_S)
    context.stop_s = time.monotonic() - context.stop_began_s
    context.router_log = (router.folder / "log").read_text()
    stopped.set()
    for caller in callers:
        caller.join(25)
    context.calls = list(
        itertools.chain.from_iterable(caller.calls for caller in callers)
    )


@behave.then("each of these requests that was read got a whole answer")
def all_answered(context):
    runs = _runs(context.fleet)
    lost = [
        call
        for call in context.calls
        if call.sent
        and not call.status
        # A request on a kept connection may cross the close of the connection.
        and (call.request_id in runs or not call.kept)
    ]
    assert not lost, _describe_lost(context, lost, runs)
    assert sum(call.status > 0 for call in context.calls) > 10


def _describe_lost(context, lost, runs):
    lines = [
        f"{len(lost)} of {len(context.calls)} without an answer;"
        f" the router ended after {context.stop_s:.3f} s"
    ]
    lines += [
        f"{call.request_id} kept={call.kept} run={call.request_id in runs}"
        f" sent {call.sent_s - context.stop_began_s:.3f} s and ended"
        f" {call.ended_s - context.stop_began_s:.3f} s after the signal:"
        f" {call.error}"
        for call in lost
    ]
    return "\n".join([*lines, context.router_log])


def _runs(cluster):
    return {
        headers["Request-Id"]
        for server in cluster.servers
        for _, headers, _ in server.requests
    }


@behave.then("none that is refused as not run was run")
def truthful(context):
    runs = _runs(context.fleet)
    wrong = [
        call
        for call in context.calls
        if call.status in NOT_RUN_STATUSES and call.request_id in runs
    ]
    assert not wrong, wrong[:5]


@behave.then("each unsafe one that was run got the server's answer")
def run_and_answered(context):
    runs = _runs(context.fleet)
    cut = [
        call
        for call in context.calls
        if call.request_id in runs and call.status != 200
    ]
    assert not cut, (len(cut), len(context.calls), cut[:5])


@behave.then("the router ended within its grace period")
def in_time(context):
    assert context.stop_s <= GRACE_S, context.stop_s
