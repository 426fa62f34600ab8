"""Sessions of the routers that are connected to the leader."""

from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.daemons import transport
from waxwingrack.operations import known_routers

# Time after which an environment push without effect is repeated.
PUSH_RETRY_MS = 1_000
# Time for which the session of a disconnected router is kept.
DISCONNECTED_RETENTION_MS = int(known_routers.LOST_ROUTER_RETENTION_S * 1000)


@dataclasses.dataclass(slots=True)
class Session:
    """Connection and latest report of one router.

    Attributes:
      conn: Connection of the router.
      ref: The router incarnation.
      last_report_ms: Time of the last report; before the first one, the time
        at which the router connected.
      echo_ms: `sent_ms` of its last report.
      environment_number: Number of the environment in force at the router.
      pushed_number: Environment number last pushed on this connection.
      pushed_ms: Time of that push.
      has_reported: Whether the router has reported on this connection.
      draining: Whether the router is shutting down.
    """

    conn: transport.Connection
    ref: data.RouterRef
    last_report_ms: int
    echo_ms: int = 0
    environment_number: int = 0
    pushed_number: int = 0
    pushed_ms: int = 0
    has_reported: bool = False
    draining: bool = False


class Sessions:
    """Sessions of routers, one per node id."""

    def __init__(self):
        self._by_node: dict[str, Session] = {}
        self._disconnected: dict[str, Session] = {}
        self._shut_down: set[str] = set()

    def __iter__(self) -> Iterator[Session]:
        return iter(tuple(self._by_node.values()))

    def __len__(self) -> int:
        return len(self._by_node)

    def get(self, node_id: str) -> Session | None:
        """Returns the session of a router, or None."""
        return self._by_node.get(node_id)

    def find_by_connection(self, conn: transport.Connection) -> Session | None:
        """Returns the session of a connection, or None if it was replaced."""
        session = self._by_node.get(conn.peer.node_id)
        return session if session and session.conn is conn else None

    def open(self, conn: transport.Connection, now_ms: int) -> Session | None:
        """Opens a session for a new connection.

        Args:
          conn: Connection of a router.
          now_ms: Monotonic clock.

        Returns:
          The former session of the router, which this one replaces, or None.
        """
        peer = conn.peer
        former_session = self._by_node.get(peer.node_id)
        self._disconnected.pop(peer.node_id, None)
        self._shut_down.discard(peer.node_id)
        ref = data.RouterRef(peer.node_id, peer.incarnation, "")
        self._by_node[peer.node_id] = Session(conn, ref, now_ms)
        return former_session

    def close(self, session: Session) -> bool:
        """Removes a session.

        A router that was shutting down is recorded as shut down; any other that
        has reported is kept as disconnected.

        Args:
          session: The session.

        Returns:
          False if the session was replaced or removed before.
        """
        if self._by_node.get(session.ref.node_id) is not session:
            return False
        del self._by_node[session.ref.node_id]
        if session.draining:
            self._shut_down.add(session.ref.node_id)
        elif session.has_reported:
            self._disconnected[session.ref.node_id] = session
        return True

    def forget_disconnected(self) -> None:
        """Forgets all routers that are not connected."""
        self._disconnected.clear()
        self._shut_down.clear()

    def list_shut_down(self, known_ids: Container[str]) -> frozenset[str]:
        """Returns the routers that shut down gracefully.

        Args:
          known_ids: Ids of known routers; all others are forgotten.

        Returns:
          Ids of the routers, including connected ones that still drain.
        """
        self._shut_down = {
            node_id for node_id in self._shut_down if node_id in known_ids
        }
        draining = {s.ref.node_id for s in self if s.draining}
        return frozenset(self._shut_down | draining)

    def list_disconnected(self, now_ms: int) -> tuple[Session, ...]:
        """Returns the sessions of routers that lost their connection."""
        self._disconnected = {
            node_id: session
            for node_id, session in self._disconnected.items()
            if now_ms - session.last_report_ms <= DISCONNECTED_RETENTION_MS
        }
        return tuple(self._disconnected.values())

    def list_silent(self, now_ms: int) -> tuple[Session, ...]:
        """Returns the sessions without a report for `CONTROL_TIMEOUT_MS`."""
        limit_ms = messages.CONTROL_TIMEOUT_MS
        return tuple(s for s in self if now_ms - s.last_report_ms > limit_ms)

    def list_incarnations(self) -> frozenset[str]:
        """Returns the incarnations of connected routers that have reported."""
        return frozenset(s.ref.incarnation for s in self if s.has_reported)

    def list_lagging(self, number: int) -> Iterable[Session]:
        """Returns the sessions of routers with an older environment.

        Args:
          number: Number of the environment in force.
        """
        return (s for s in self if s.environment_number < number)


def is_push_due(session: Session, number: int, now_ms: int) -> bool:
    """Returns whether to push the environment to a router now.

    Args:
      session: Session of the router.
      number: Number of the environment in force.
      now_ms: Monotonic clock.

    Returns:
      True if the router has an older environment and the current one was not
      pushed yet, or was pushed `PUSH_RETRY_MS` ago without effect. False before
      the first report: the router may have the current environment already.
    """
    if not session.has_reported or session.environment_number >= number:
        return False
    return (
        session.pushed_number < number
        or now_ms - session.pushed_ms >= PUSH_RETRY_MS
    )
