"""Callers of the soak, who keep their connections until the router is gone."""

import contextlib
import dataclasses
import http.client
import itertools
import json
import threading
import time
import uuid

from features.support import fleet

# Longest pause within an exchange, in seconds.
TIMEOUT_S = 8.0
# Pause between two requests of a caller and before it calls again, in seconds.
PAUSE_S = 0.05
AGAIN_S = 0.3
# Time for which a caller sends a deposit again that got no final answer, in
# seconds.
INSIST_S = 20.0
TOKENS = 40
# Word in a request that crashes each server that runs it. Its caller sends it
# again and again.
CRASH_WORD = "deadly word"


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller.

    Attributes:
      kind: `read`, `stream`, `deposit` or `crash`.
      key: Idempotency key, or empty.
      router: Router that was asked.
      start_s: Start, from the start of the traffic.
      end_s: End of the answer.
      status: HTTP status; 0 if the connection ended without one.
      whole: Whether the answer arrived whole.
      execution: What a refusal says about the execution, or empty.
      own: Whether the answer carries the id of this request.
    """

    kind: str
    key: str
    router: str
    start_s: float
    end_s: float
    status: int
    whole: bool
    execution: str
    own: bool


class Traffic:
    """Callers in threads of their own.

    Attributes:
      calls: `Call` of each request that has ended.
    """

    def __init__(self, cluster, callers):
        """Prepares the callers.

        Args:
          cluster: The fleet.
          callers: Callers of each kind of request.
        """
        self.calls: list[Call] = []
        self._cluster = cluster
        self._numbers = itertools.count()
        self._ended = threading.Event()
        self._start_s = time.monotonic()
        self._threads = [
            threading.Thread(target=self._call_forever, args=(kind, number))
            for kind in ("read", "stream", "deposit")
            for number in range(callers)
        ]
        self._threads.append(
            threading.Thread(target=self._call_forever, args=("crash", 0))
        )

    @property
    def started_s(self):
        """Time of the start on the monotonic clock."""
        return self._start_s

    @property
    def caller_count(self):
        """Number of callers."""
        return len(self._threads)

    def now_s(self):
        """Returns the time since the start of the traffic."""
        return time.monotonic() - self._start_s

    def start(self):
        """Starts the callers."""
        self._start_s = time.monotonic()
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Lets every caller end its present request."""
        self._ended.set()
        for thread in self._threads:
            thread.join(INSIST_S + 2 * TIMEOUT_S)

    def _call_forever(self, kind, number):
        caller = _Caller(self._cluster, self.now_s, number)
        while not self._ended.wait(PAUSE_S):
            if kind == "deposit":
                unique = f"soak-{next(self._numbers)}-{uuid.uuid4().hex[:8]}"
                self.calls.extend(caller.insist(fleet.key(unique)))
            else:
                self.calls.append(caller.call(kind))
        caller.hang_up()


class _Caller:
    """One caller with at most one connection."""

    def __init__(self, cluster, now_s, number):
        self._cluster = cluster
        self._now_s = now_s
        turns = cluster.routers[number % len(cluster.routers) :]
        self._turns = itertools.cycle([*turns, *cluster.routers])
        self._router = next(self._turns)
        self._conn = None

    def hang_up(self):
        """Closes the connection and takes the next router."""
        if self._conn is not None:
            self._conn.close()
        self._conn = None
        self._router = next(self._turns)

    def insist(self, key):
        """Sends a deposit again until its outcome is known.

        Returns:
          The calls.
        """
        calls, until_s = [], self._now_s() + INSIST_S
        while not calls or (not _final(calls[-1]) and self._now_s() < until_s):
            if calls:
                time.sleep(AGAIN_S)
            calls.append(self.call("deposit", key))
        return calls

    def call(self, kind, key=""):
        """Sends one request on the present connection.

        Args:
          kind: Kind of the request.
          key: Idempotency key.

        Returns:
          The call.
        """
        request_id, router = uuid.uuid4().hex, self._router
        start_s = self._now_s()
        status, headers, body, whole = 0, {}, b"", False
        try:
            status, headers, body, whole = self._exchange(kind, key, request_id)
        except (OSError, http.client.HTTPException):
            whole = False
        if not whole or headers.get("connection") == "close" or status == 503:
            self.hang_up()
        refusal = {}
        with contextlib.suppress(ValueError, AttributeError):
            refusal = json.loads(body).get("error") or {}
        return Call(
            kind=kind,
            key=key,
            router=router,
            start_s=start_s,
            end_s=self._now_s(),
            status=status,
            whole=whole,
            execution=refusal.get("execution", "") if status >= 300 else "",
            own=headers.get("x-request-id") == request_id,
        )

    def _exchange(self, kind, key, request_id):
        if self._conn is None:
            port = self._cluster.members[self._router].ports["callers"]
            self._conn = http.client.HTTPConnection(
                "127.0.0.1", port, timeout=TIMEOUT_S
            )
        method, path, body = _REQUESTS[kind]
        headers = {
            "Authorization": "Bearer token-w1",
            "X-Request-Id": request_id,
        }
        if body is not None:
            headers["Content-Type"] = "application/json"
        if key:
            headers["Idempotency-Key"] = key
        self._conn.request(method, path, body, headers)
        response = self._conn.getresponse()
        found = {name.lower(): text for name, text in response.getheaders()}
        received = response.read()
        return response.status, found, received, True


def _final(call):
    return call.whole and (
        200 <= call.status < 300 or call.status in (400, 409)
    )


_REQUESTS = {
    "read": ("GET", "/booking/free", None),
    "stream": (
        "POST",
        "/sketch/ask",
        json.dumps({"prompt": "a heron", "stream": True, "max_tokens": TOKENS}),
    ),
    "deposit": ("POST", "/booking/confirm", json.dumps({"deposit": 1})),
    "crash": (
        "POST",
        "/sketch/draft",
        json.dumps({"prompt": f"a {CRASH_WORD}", "max_tokens": TOKENS}),
    ),
}
