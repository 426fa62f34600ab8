"""Cost of forwarded requests at a router process."""

import http.client
import threading
import time

from bench import meters
from capacity import common
from features.support import fleet

RATES = (0, 10, 20, 40)
SECONDS = 6.0
TRAFFIC = r"waxwingrack_\w*bytes\w*"
CALLERS = 4


class _Callers:
    """Callers on kept connections with a common rate."""

    def __init__(self, port: int, rate: float, seconds: float):
        self.answers = 0
        self.failures = 0
        self._port = port
        self._lock = threading.Lock()
        pause = CALLERS / rate if rate else 0
        self._threads = [
            threading.Thread(
                target=self._run,
                args=(number / CALLERS * pause, pause, seconds),
            )
            for number in range(CALLERS if rate else 0)
        ]
        for thread in self._threads:
            thread.start()

    def join(self) -> None:
        """Waits for the end."""
        for thread in self._threads:
            thread.join()

    def _run(self, offset: float, pause: float, seconds: float) -> None:
        conn = http.client.HTTPConnection("127.0.0.1", self._port, timeout=10)
        start = time.monotonic() + offset
        for step in range(int(seconds / pause)):
            time.sleep(max(0, start + step * pause - time.monotonic()))
            conn.request(
                "POST",
                "/s0",
                b'{"prompt": "capacity"}',
                {"Authorization": "Bearer token-w1"},
            )
            answer = conn.getresponse()
            answer.read()
            with self._lock:
                if answer.status == 200:
                    self.answers += 1
                else:
                    self.failures += 1
        conn.close()


def _point(cluster: fleet.Fleet, rate: int) -> tuple[float, float, float]:
    member = cluster.members["r1"]
    callers = _Callers(member.ports["callers"], rate, SECONDS + 2)
    time.sleep(1)
    traffic = meters.metric(cluster, "r1", TRAFFIC)
    answered = callers.answers
    cpu = common.cpu_s(member.process.pid)
    start = time.monotonic()
    time.sleep(SECONDS)
    spent = time.monotonic() - start
    cpu = (common.cpu_s(member.process.pid) - cpu) / spent
    answered = (callers.answers - answered) / spent
    traffic = (meters.metric(cluster, "r1", TRAFFIC) - traffic) / spent
    callers.join()
    print(
        f"{rate:3} requests/s: {answered:5.1f} answers/s,"
        f" {callers.failures} failures, {cpu:6.2%} of a core,"
        f" {common.rss_mb(member.process.pid):5.1f} MB,"
        f" {traffic:6.0f} control bytes/s in and out",
        flush=True,
    )
    return answered, cpu, traffic


def main() -> None:
    """Prints cost per request, with one stand-in that announces itself."""
    cluster = fleet.Fleet(controllers=1, routers=1, proxied=False)
    try:
        cluster.start()
        cluster.apply(common.document(common.WORKSPACES))
        cluster.add_server("b1", "s0", slots=8, work_ms=5.0)
        port = cluster.members["r1"].ports["callers"]
        fleet.wait_until(
            lambda: cluster.call("r1", "POST", "/s0", b"{}").status == 200,
            20,
            f"an answer at port {port}",
        )
        found = [_point(cluster, rate) for rate in RATES]
    finally:
        cluster.stop()
    cpu = common.slope([(rate, share) for rate, share, _ in found])
    traffic = common.slope([(rate, sent) for rate, _, sent in found])
    print(
        f"slope of a request: {cpu[0] * 1e3:.2f} ms of processor time and"
        f" {traffic[0]:.0f} control bytes; at 0 {cpu[1]:.2%} of a core and"
        f" {traffic[1]:.0f} B/s"
    )
