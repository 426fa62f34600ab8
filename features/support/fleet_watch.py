"""Background observers of a running fleet for the fault matrix."""

import contextlib
import functools
import itertools
import json
import re
import socket
import threading
import time
from typing import NamedTuple

from features.support import fleet

SAMPLE_INTERVAL_S = 0.15
SAMPLE_TIMEOUT_S = 0.7
START_TIMEOUT_S = 30.0
_NUMBER = re.compile(r"^\w*environment_number(?:\{[^}]*\})? (\S+)$", re.M)


class Call(NamedTuple):
    """A request of a load.

    Attributes:
      start: Time of the request, in monotonic seconds.
      end: Time of the end of the answer.
      router: Router that was asked.
      answer: The answer.
      key: Idempotency key, or empty.
    """

    start: float
    end: float
    router: str
    answer: fleet.Answer
    key: str = ""


class Background:
    """Functions that threads of their own repeat until the end.

    Args:
      work: Functions without arguments; each gets a thread.
      interval_s: Pause between two calls of a function, in seconds.
    """

    def __init__(self, work, interval_s):
        self._interval_s = interval_s
        self._lock = threading.Lock()
        self._ended = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(one,), daemon=True)
            for one in work
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._ended.set()
        for thread in self._threads:
            thread.join(35)

    def _run(self, work):
        while not self._ended.wait(self._interval_s):
            with contextlib.suppress(OSError, ValueError):
                work()


class NumberWatch(Background):
    """Samples the environment numbers that the processes show.

    Each process is sampled by a thread of its own, so that a frozen process
    delays no other sample. The status is sampled by one thread, so that its
    samples are ordered.

    Attributes:
      samples: Time, source and number of each sample.
      decreases: Source, highest number before and lower number.
    """

    def __init__(self, cluster):
        self._cluster = cluster
        self._highest = {}
        self.samples = []
        self.decreases = []
        sources = [self._status] + [
            lambda name=name: self._metrics(name)
            for name in cluster.controllers + cluster.routers
        ]
        super().__init__(sources, SAMPLE_INTERVAL_S)

    def missing(self, number, since):
        """Returns the sources that have not shown a number since a time."""
        with self._lock:
            shown = {
                source
                for at, source, found in self.samples
                if at >= since and found == number
            }
        return {
            "status",
            *self._cluster.controllers,
            *self._cluster.routers,
        } - shown

    def _status(self):
        for name in self._cluster.controllers:
            answer = self._cluster.operate(
                "GET", "/v1/status", at=name, timeout_s=SAMPLE_TIMEOUT_S
            )
            if answer.status == 200 and answer.whole:
                self._record("status", json.loads(answer.body)["number"])

    def _metrics(self, name):
        port = self._cluster.members[name].ports["operators"]
        answer = fleet.request(
            port, "GET", "/metrics", timeout_s=SAMPLE_TIMEOUT_S
        )
        found = _NUMBER.search(answer.body.decode(errors="replace"))
        # A process that has just started has no environment and shows 0.
        if answer.whole and found and float(found[1]) > 0:
            self._record(name, int(float(found[1])))

    def _record(self, source, number):
        with self._lock:
            highest = self._highest.get(source, 0)
            if number < highest:
                self.decreases.append((source, highest, number))
            self._highest[source] = max(highest, number)
            self.samples.append((time.monotonic(), source, number))


class Load(Background):
    """Idempotent requests at a steady rate from a few threads.

    Attributes:
      calls: `Call` of each request that has ended.
    """

    def __init__(self, cluster, threads=3, interval_s=0.1):
        self._cluster = cluster
        self.calls = []
        routers = cluster.routers
        work = [
            functools.partial(
                self._read, itertools.cycle(routers[n:] + routers[:n])
            )
            for n in range(threads)
        ]
        super().__init__(work, interval_s)

    def since(self, start):
        """Returns the calls that started after a time."""
        with self._lock:
            return [call for call in self.calls if call.start >= start]

    def _read(self, turns):
        self._record(next(turns), lambda router: read(self._cluster, router))

    def _record(self, router, send, key=""):
        start = time.monotonic()
        answer = send(router)
        with self._lock:
            self.calls.append(
                Call(start, time.monotonic(), router, answer, key)
            )


class BalancedLoad(Load):
    """Reads, streams and deposits through routers that are ready.

    As the platform's balancer does, it asks a router for `/-/readyz` first, and
    takes the next router if a connection is refused.
    """

    def __init__(self, cluster, interval_s=0.05):
        work = [
            functools.partial(self._turn, kind)
            for kind in (read, stream, deposit)
            for _ in range(2)
        ]
        Background.__init__(self, work, interval_s)
        self._cluster = cluster
        self.calls = []
        self._turns = itertools.cycle(cluster.routers)
        self._numbers = itertools.count()

    def _turn(self, kind):
        with self._lock:
            router, number = next(self._turns), next(self._numbers)
        if self._cluster.serving(router):
            key = fleet.key(f"deposit-{number}") if kind is deposit else ""
            arguments = (key,) if key else ()
            self._record(
                router, lambda name: kind(self._cluster, name, *arguments), key
            )

    def begin_stream(self, router, tokens):
        """Starts a stream and returns once its first bytes have arrived.

        Args:
          router: Router to send it through.
          tokens: Length of the answer; a token takes at least 2 ms.
        """
        started = threading.Event()
        thread = threading.Thread(
            target=self._record,
            args=(
                router,
                lambda name: stream(
                    self._cluster, name, tokens, started=started
                ),
            ),
            daemon=True,
        )
        self._threads.append(thread)
        thread.start()
        assert started.wait(START_TIMEOUT_S), f"no answer through {router}"

    def _record(self, router, send, key=""):
        super()._record(router, send, key)
        with self._lock:
            # Nothing was sent, so a balancer takes another router.
            self.calls = [
                call for call in self.calls if not call.answer.unconnected
            ]


def read(cluster, router):
    """Reads from the booking desk."""
    return cluster.call(router, "GET", "/booking/free", timeout_s=8)


def stream(cluster, router, tokens=50, **options):
    """Streams an answer of the sketch assistant."""
    body = {"prompt": "a heron", "stream": True, "max_tokens": tokens}
    return cluster.call(
        router,
        "POST",
        "/sketch/ask",
        body,
        {"Content-Type": "application/json"},
        **options,
    )


def deposit(cluster, router, key):
    """Confirms a deposit, which must not run twice."""
    return cluster.call(
        router,
        "POST",
        "/booking/confirm",
        {"deposit": key},
        {"Idempotency-Key": key, "Content-Type": "application/json"},
    )


def send_and_cut(cluster, leader, method, path, body):
    """Sends an operator's request and closes before the answer arrives.

    Args:
      cluster: The fleet.
      leader: Controller to send to.
      method: HTTP method.
      path: Path.
      body: Object to send as JSON.
    """
    blob = json.dumps(body).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: 127.0.0.1\r\n"
        f"Authorization: Bearer {fleet.OPERATOR_TOKEN}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(blob)}\r\n\r\n"
    )
    port = cluster.members[leader].ports["operators"]
    with socket.create_connection(("127.0.0.1", port), 2) as conn:
        conn.sendall(head.encode() + blob)


def resend(cluster, method, path, body, first_at=None, timeout_s=20):
    """Sends an operator's change until its outcome is known.

    Args:
      cluster: The fleet.
      method: HTTP method.
      path: Path.
      body: Object with an operation id.
      first_at: Controller to ask first; its leader hint is followed.
      timeout_s: Longest time, in seconds.

    Returns:
      Status and body of the outcome.
    """
    targets = [first_at or cluster.leader() or cluster.controllers[0]]

    def attempt():
        name = targets[-1]
        answer = cluster.operate(method, path, body, at=name, timeout_s=3)
        if answer.status in (200, 400, 409) and answer.whole:
            return answer.status, json.loads(answer.body)
        hint = answer.status == 421 and json.loads(answer.body)["leader"]
        position = cluster.controllers.index(name) + 1
        following = cluster.controllers[position % len(cluster.controllers)]
        targets.append(hint["id"] if hint else following)
        return None

    return fleet.wait_until(attempt, timeout_s, f"outcome of {method} {path}")
