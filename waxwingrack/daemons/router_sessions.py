"""Connections of routers to the leader."""

from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.daemons import transport
from waxwingrack.operations import known_routers

# Time after which a push that did not take effect is repeated.
PUSH_REPEAT_MS = 1_000
# Time for which a router whose connection has ended is remembered.
REMEMBER_MS = int(known_routers.LOST_ROUTER_RETENTION_S * 1000)


@dataclasses.dataclass(slots=True)
class Session:
    """One router that reports to this controller.

    Attributes:
      conn: Its connection.
      ref: The router incarnation.
      seen_ms: Time of its last report, or of the connection before the first.
      echo_ms: `sent_ms` of its last report.
      number: Environment number in force at the router.
      pushed_number: Environment number last pushed on this connection.
      pushed_ms: Time of that push.
      reported: Whether a report came on this connection.
      draining: Whether the router shuts down.
    """

    conn: transport.Connection
    ref: data.RouterRef
    seen_ms: int
    echo_ms: int = 0
    number: int = 0
    pushed_number: int = 0
    pushed_ms: int = 0
    reported: bool = False
    draining: bool = False


class Sessions:
    """Sessions by node id of the router."""

    def __init__(self):
        self._by_node: dict[str, Session] = {}
        self._ended: dict[str, Session] = {}
        self._left: set[str] = set()

    def __iter__(self) -> Iterator[Session]:
        return iter(tuple(self._by_node.values()))

    def __len__(self) -> int:
        return len(self._by_node)

    def get(self, node_id: str) -> Session | None:
        """Returns the session of a router, or None."""
        return self._by_node.get(node_id)

    def of(self, conn: transport.Connection) -> Session | None:
        """Returns the session of a connection, unless it was replaced."""
        session = self._by_node.get(conn.peer.node_id)
        return session if session and session.conn is conn else None

    def open(self, conn: transport.Connection, now_ms: int) -> Session | None:
        """Enters a connection.

        Args:
          conn: Connection of a router.
          now_ms: Monotonic clock.

        Returns:
          The session that it replaces, or None.
        """
        peer = conn.peer
        old = self._by_node.get(peer.node_id)
        self._ended.pop(peer.node_id, None)
        self._left.discard(peer.node_id)
        ref = data.RouterRef(peer.node_id, peer.incarnation, "")
        self._by_node[peer.node_id] = Session(conn, ref, now_ms)
        return old

    def close(self, session: Session) -> bool:
        """Removes a session.

        Args:
          session: The session.

        Returns:
          False if another session has replaced it or it was removed before.
        """
        if self._by_node.get(session.ref.node_id) is not session:
            return False
        del self._by_node[session.ref.node_id]
        if session.draining:
            self._left.add(session.ref.node_id)
        elif session.reported:
            self._ended[session.ref.node_id] = session
        return True

    def forget(self) -> None:
        """Forgets the routers that are not connected any more."""
        self._ended.clear()
        self._left.clear()

    def left(self, known: Container[str]) -> frozenset[str]:
        """Returns which of the known routers have shut down gracefully.

        Args:
          known: Ids of known routers; others are forgotten.

        Returns:
          Ids of the routers, those that still drain included.
        """
        self._left = {node_id for node_id in self._left if node_id in known}
        draining = {s.ref.node_id for s in self if s.draining}
        return frozenset(self._left | draining)

    def ended(self, now_ms: int) -> tuple[Session, ...]:
        """Returns the sessions of routers that are not connected any more."""
        self._ended = {
            node_id: session
            for node_id, session in self._ended.items()
            if now_ms - session.seen_ms <= REMEMBER_MS
        }
        return tuple(self._ended.values())

    def silent(self, now_ms: int) -> tuple[Session, ...]:
        """Returns the sessions without a report for too long."""
        limit_ms = messages.CONTROL_TIMEOUT_MS
        return tuple(s for s in self if now_ms - s.seen_ms > limit_ms)

    def incarnations(self) -> frozenset[str]:
        """Returns the incarnations of routers that have reported."""
        return frozenset(s.ref.incarnation for s in self if s.reported)

    def lagging(self, number: int) -> Iterable[Session]:
        """Returns the sessions whose environment is older than `number`."""
        return (s for s in self if s.number < number)


def push_due(session: Session, number: int, now_ms: int) -> bool:
    """Whether the environment is to be pushed to a router now.

    Args:
      session: Session of the router.
      number: Environment number in force.
      now_ms: Monotonic clock.

    Returns:
      True if the router's environment is older and was not pushed, or was
      pushed a while ago without effect. A router that has not reported yet
      may have the environment already.
    """
    if not session.reported or session.number >= number:
        return False
    return (
        session.pushed_number < number
        or now_ms - session.pushed_ms >= PUSH_REPEAT_MS
    )
