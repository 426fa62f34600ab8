"""Documents, process figures and slopes shared by the measurements."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import hashlib
import pathlib
import secrets
import time

from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.daemons import transport

SEED = 7
# Sizes of the long-term target in section 1.6 of the design page.
ROUTERS = 380
SERVERS = 730
WORKSPACES = 350
SERVICES = 15
DATA_CENTRES = 8
REQUESTS_PER_S = 3_800


def digest(text: str) -> str:
    """Returns the SHA-256 digest of a text in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()


def document(workspaces: int, name: str = "capacity") -> dict:
    """Returns an environment document as JSON.

    Args:
      workspaces: Number of workspaces.
      name: Name of the environment.

    Returns:
      A document with the target's services and data centres. The token of
      workspace `w1` is `token-w1`, as in the integration features.
    """
    return {
        "name": name,
        "workspaces": [
            {
                "id": f"w{number}",
                "weight": 1 + number % 4,
                "token_digests": [digest(f"token-w{number}")],
            }
            for number in range(1, workspaces + 1)
        ],
        "services": [
            {
                "id": f"s{number}",
                "version": "v1",
                "routes": [
                    {"id": "use", "path": f"/s{number}", "idempotent": True}
                ],
            }
            for number in range(SERVICES)
        ],
        "data_centres": [
            {"id": name, "region": f"region-{index % 3}"}
            for index, name in enumerate("abcdefgh"[:DATA_CENTRES])
        ],
        "announce_token_digests": [digest("announce-token")],
    }


def announcement(number: int, in_flight: int = 0) -> data.Announcement:
    """Returns the announcement of a backend server.

    Args:
      number: Number of the server.
      in_flight: Requests that it runs. The leader counts those that no router
        reports against the slots, so a load on fake routers leaves it at 0.

    Returns:
      The announcement; servers are spread over services and data centres.
    """
    return data.Announcement(
        server_id=f"server-{number:04}",
        incarnation=f"{number:016x}",
        address=data.Address("127.0.0.1", 10_000 + number),
        service=f"s{number % SERVICES}",
        version="v1",
        data_centre="abcdefgh"[number // SERVICES % DATA_CENTRES],
        slots=8,
        in_flight=in_flight,
        load=0.5,
    )


def want(sequence: int, workspace: int, service: int) -> data.QueuedRequest:
    """Returns a want with a digest as long as a real one."""
    return data.QueuedRequest(
        sequence, f"w{workspace}", f"s{service}", "use", digest(str(sequence))
    )


def cpu_s(pid: int) -> float:
    """Returns the processor time of a process so far, in seconds.

    It adds up the threads from `schedstat`, which counts nanoseconds, as the
    10 ms units of `/proc/PID/stat` are coarse for an idle process. Threads that
    have ended are not included; the measured processes keep theirs.

    Args:
      pid: Process id.

    Returns:
      Time of all present threads on a processor.
    """
    threads = pathlib.Path(f"/proc/{pid}/task").iterdir()
    return (
        sum(
            int((thread / "schedstat").read_text().split()[0])
            for thread in threads
        )
        / 1e9
    )


def rss_mb(pid: int) -> float:
    """Returns the resident memory of a process in MB (10^6 bytes)."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024 / 1e6
    raise ValueError(f"no resident memory of process {pid}")


def per_call_us(call: Callable[[], object], seconds: float = 0.3) -> float:
    """Returns the processor time of a call in microseconds.

    Args:
      call: What to measure; it is called once before the measurement.
      seconds: Processor time to spend.

    Returns:
      Mean over the calls made.
    """
    call()
    calls = 0
    start = time.process_time()
    while time.process_time() - start < seconds:
        call()
        calls += 1
    return (time.process_time() - start) / calls * 1e6


def slope(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Fits a line by least squares.

    Args:
      points: Pairs of size and figure, with at least two sizes.

    Returns:
      Figure per unit of size, and figure at size 0.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    gradient = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum(
        (x - mean_x) ** 2 for x, _ in points
    )
    return gradient, mean_y - gradient * mean_x


class FakeRouter:
    """Router's side of the control connection, in the calling event loop.

    It reports at the interval of a real idle router, confirms environments,
    and ends each granted request after `hold_s`.

    Attributes:
      grants: Number of grants received.
      number: Number of the environment received last.
      pushed_s: Time of that push on the monotonic clock, in seconds.
      counts: Traffic of the connection.
    """

    def __init__(self, index: int, port: int, key: bytes, hold_s: float = 0.02):
        self.index = index
        self.grants = 0
        self.number = 0
        self.pushed_s = 0.0
        self.counts = transport.TrafficCounts()
        self._hold_s = hold_s
        self._sequence = 0
        self._sent_ms = 0
        self._tasks: list[asyncio.Task] = []
        self._conn: transport.Connection | None = None
        self._address = data.Address("127.0.0.1", port)
        self._identity = transport.Identity(
            data.Role.ROUTER, f"fake-{index}", secrets.token_hex(8), key
        )

    async def open(self) -> None:
        """Connects.

        Raises:
          ConnectionError: The controller refused the connection.
        """
        self._conn = await transport.connect(
            self._address, self._identity, self.counts
        )
        if self._conn is None:
            raise ConnectionError("the controller refused the connection")
        self._tasks = [
            asyncio.ensure_future(self._conn.run(self)),
            asyncio.ensure_future(self._beat()),
        ]

    async def close(self) -> None:
        """Ends the connection."""
        for task in self._tasks[1:]:
            task.cancel()
        self._conn.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _beat(self) -> None:
        while not self._conn.closed:
            await asyncio.sleep(messages.HEARTBEAT_MS / 1_000)
            # The rule of the real router's link.
            if self._now_ms() - self._sent_ms >= messages.HEARTBEAT_MS // 2:
                self.report()

    @property
    def connected_now(self) -> bool:
        """Whether the connection is open."""
        return self._conn is not None and not self._conn.closed

    def _now_ms(self) -> int:
        return time.monotonic_ns() // 1_000_000

    def report(self, **fields: object) -> None:
        """Sends a report."""
        self._sent_ms = self._now_ms()
        self._conn.send(
            messages.RouterReport(
                sent_ms=self._sent_ms,
                environment_number=self.number,
                **fields,
            )
        )

    def ask(self, workspace: int, service: int) -> None:
        """Reports a want of a workspace at a service."""
        self._sequence += 1
        self.report(wants=(want(self._sequence, workspace, service),))

    def connected(self, conn: transport.Connection) -> None:
        """Listener of the transport."""
        self.report(first=True, data_centre="abcdefgh"[self.index % 8])

    def received(self, conn: transport.Connection, message: object) -> None:
        """Listener of the transport."""
        match message:
            case messages.ControllerUpdate(grants=grants) if grants:
                self.grants += len(grants)
                loop = asyncio.get_running_loop()
                for grant in grants:
                    loop.call_later(self._hold_s, self._finish, grant)
            case messages.EnvironmentPush():
                self.number = max(self.number, message.number)
                self.pushed_s = time.monotonic()
                self.report()

    def disconnected(self, conn: transport.Connection) -> None:
        """Listener of the transport."""

    def _finish(self, grant: data.Grant) -> None:
        self.report(
            finished=(
                data.FinishedRequest(
                    grant.term,
                    grant.id,
                    data.Outcome.COMPLETED,
                    10.0,
                    20.0,
                    20.0,
                ),
            )
        )
