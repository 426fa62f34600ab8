"""Background observers of a running fleet for the fault matrix."""

import contextlib
import itertools
import json
import re
import socket
import threading
import time

from features.support import fleet

SAMPLE_INTERVAL_S = 0.15
SAMPLE_TIMEOUT_S = 0.7
_NUMBER = re.compile(r"^\w*environment_number(?:\{[^}]*\})? (\S+)$", re.M)


class NumberWatch:
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
        self._lock = threading.Lock()
        self._ended = threading.Event()
        self.samples = []
        self.decreases = []
        sources = [self._status] + [
            lambda name=name: self._metrics(name)
            for name in cluster.controllers + cluster.routers
        ]
        self._threads = [
            threading.Thread(target=self._run, args=(source,), daemon=True)
            for source in sources
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._ended.set()
        for thread in self._threads:
            thread.join(10)

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

    def _run(self, source):
        while not self._ended.wait(SAMPLE_INTERVAL_S):
            with contextlib.suppress(OSError, ValueError):
                source()

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


class Load:
    """Idempotent requests at a steady rate from a few threads.

    Attributes:
      calls: Start, end (monotonic seconds), router and answer of each call.
    """

    def __init__(self, cluster, threads=3, interval_s=0.1):
        self._cluster = cluster
        self._interval_s = interval_s
        self._ended = threading.Event()
        self._lock = threading.Lock()
        self.calls = []
        self._threads = [
            threading.Thread(target=self._run, args=(n,), daemon=True)
            for n in range(threads)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._ended.set()
        for thread in self._threads:
            thread.join(35)

    def since(self, start):
        """Returns the calls that started after a time."""
        with self._lock:
            return [call for call in self.calls if call[0] >= start]

    def _run(self, first):
        routers = self._cluster.routers
        turns = itertools.cycle(routers[first:] + routers[:first])
        while not self._ended.wait(self._interval_s):
            router = next(turns)
            start = time.monotonic()
            answer = self._cluster.call(
                router, "GET", "/booking/free", timeout_s=8
            )
            with self._lock:
                self.calls.append((start, time.monotonic(), router, answer))


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
