"""HTTP client for requests to backend servers.

It uses the connection layer of `twisted.web.client` directly. The agents above
that layer follow redirects, keep cookies, decode bodies and retry requests, and
they offer no point between connecting and the first byte sent at which a grant
could be checked.
"""

# Methods that override those of Twisted keep its names.
# ruff: noqa: N802, N815

import collections
from collections.abc import Callable
from collections.abc import Hashable
import dataclasses
import functools
import ipaddress
import math
import socket
from typing import Any

from returns import result
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error
from twisted.python import failure
from twisted.web import _newclient
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb
from zope.interface import implementer

from waxwingrack.core import data
from waxwingrack.core import logs
from waxwingrack.daemons import checked_parsing
from waxwingrack.daemons import dialects
from waxwingrack.daemons import event_loop
from waxwingrack.operations import connection_reuse
from waxwingrack.operations import http_syntax
from waxwingrack.operations import router_queues

# Maximum time to connect to a backend server. It is shorter than the lifetime
# of a grant, so that a retry can still get a place in the queue.
CONNECT_TIMEOUT_S = 0.8
# Longest idle time of a connection whose server stated no timeout.
POOL_IDLE_TIMEOUT_S = connection_reuse.DEFAULT_IDLE_S
# Number of server incarnations for which early closes and invalid timeouts are
# remembered.
MAX_KNOWN_SERVERS = 1024
# Maximum number of bytes before the end of the head of an answer, those of
# interim answers included.
MAX_HEAD_BYTES = 64 * 1024
# Number of backend servers whose endpoints are cached.
MAX_CACHED_ENDPOINTS = 1024


_HEAD_STATES = (_newclient.STATUS, _newclient.HEADER)
# Longest part of an invalid timeout that is logged, in characters.
MAX_LOGGED_TIMEOUT_CHARS = 64


class NotSentError(Exception):
    """The request has not run: it was not sent, or the server says so.

    Attributes:
      fault: How the attempt failed.
      notice: What the server told about itself.
    """

    def __init__(
        self,
        fault: router_queues.Fault,
        notice: dialects.AnswerNotice | None = None,
    ):
        super().__init__(fault)
        self.fault = fault
        self.notice = notice or dialects.AnswerNotice()


class NoAnswerError(Exception):
    """The request was written, but no usable answer began.

    Attributes:
      fault: How the attempt failed.
    """

    def __init__(self, fault: router_queues.Fault):
        super().__init__(fault)
        self.fault = fault


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request for a backend server.

    Attributes:
      method: HTTP method.
      uri: Path with query as the caller sent it.
      headers: Headers to send.
      body: Complete body; None if the caller sent none.
      request_id: Id that the answer must repeat if it contains an id.
      reuse_idle_s: Maximum idle time of a pooled connection to use if its
        server stated no timeout, 0 for a new connection in any case. The server
        may close a pooled connection at any moment, which loses the request.
      answer_timeout_s: Maximum time until the head of the answer.
      repeatable: Whether the request may be sent again if it is lost.
    """

    method: bytes
    uri: bytes
    headers: http_headers.Headers
    body: bytes | None
    request_id: str
    reuse_idle_s: float
    answer_timeout_s: float
    repeatable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status line and headers of an answer.

    Attributes:
      status: HTTP status.
      phrase: Reason phrase.
      headers: End-to-end headers as pairs of name and value.
      length: Length of the body in bytes; None if unknown.
      content_length: Content-Length to pass on, also for an answer without a
        body; None if the server sent none.
      response: Response whose body has not been read yet.
      conn: Connection of the response.
      notice: What the server told about itself.
    """

    status: int
    phrase: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    length: int | None
    content_length: bytes | None
    response: Any
    conn: "BackendConnection"
    notice: dialects.AnswerNotice = dialects.AnswerNotice()


class BackendConnection(_newclient.HTTP11ClientProtocol):
    """Connection to a backend server.

    Attributes:
      lost_reason: Why the connection ended, None while it is open.
      idle_since_s: Time on the reactor's clock at which it was pooled.
      answered: Whether an earlier answer was received on it.
      echoes_ids: Whether an earlier answer on it contained a request id.
      stated_s: Timeout that the server stated in its last answer; None for
        none.
      paused_s: Time for which reading the last answer was paused. The server
        may have sent the end of the answer that much earlier.
      reused_idle_s: Idle time before the present request; None on a new
        connection.
      reused_s: Time at which it was taken for the present request.
      note_lost: Called with the connection when it has ended.
      epoch: Number of times that all connections were closed before it was
        opened.
      answer_invalid: Whether the answer to the present request had a line that
        HTTP does not allow. No further request follows on the connection.
    """

    lost_reason: failure.Failure | None = None
    idle_since_s: float = 0.0
    answered: bool = False
    echoes_ids: bool = False
    stated_s: float | None = None
    paused_s: float = 0.0
    reused_idle_s: float | None = None
    reused_s: float = 0.0
    note_lost: Callable[[Any], None] = staticmethod(lambda _: None)
    epoch: int = 0
    answer_invalid: bool = False
    _head_bytes: int = 0
    _paused_since_s: float | None = None

    def __init__(
        self,
        quiescent_callback: Callable[[Any], None],
        count_received: Callable[[Any, int], None],
    ):
        """Prepares a connection.

        Args:
          quiescent_callback: Called when the connection can be used again.
          count_received: Called with the transport and the number of bytes
            received.
        """
        super().__init__(quiescent_callback)
        self._count_received = count_received

    def makeConnection(self, transport: Any) -> None:
        """Begins the connection; measures pauses of its transport from now."""
        pause, resume = transport.pauseProducing, transport.resumeProducing

        def note_pause() -> None:
            if self._paused_since_s is None:
                self._paused_since_s = transport.reactor.seconds()
            pause()

        def note_resume() -> None:
            if self._paused_since_s is not None:
                now_s = transport.reactor.seconds()
                self.paused_s += now_s - self._paused_since_s
                self._paused_since_s = None
            resume()

        transport.pauseProducing = note_pause
        transport.resumeProducing = note_resume
        super().makeConnection(transport)

    def request(self, request: Any) -> defer.Deferred:
        """Sends a request."""
        self._head_bytes = 0
        self.paused_s = 0.0
        return super().request(request)

    def dataReceived(self, data: bytes) -> None:
        """Handles bytes; ends the connection if a head exceeds its limit.

        The parser limits each line of a head, but not their number, and a
        server in trouble may send without end.
        """
        self._count_received(self.transport, len(data))
        if self._parser is None:
            # Bytes without a request end the connection, and tell nothing about
            # the time after which its server closes it.
            self.stated_s = None
        super().dataReceived(data)
        parser = self._parser
        if parser is None or parser.state not in _HEAD_STATES:
            return
        self._head_bytes += len(data)
        if self._head_bytes > MAX_HEAD_BYTES:
            logs.event("answer_head_too_large", bytes=self._head_bytes)
            self.transport.abortConnection()

    def connectionLost(self, reason: failure.Failure) -> None:
        """Keeps the reason, which tells how an answer without length ended."""
        self.lost_reason = reason
        self.note_lost(self)
        super().connectionLost(reason)

    def _finishResponse_WAITING(self, rest: bytes) -> None:
        # Surplus bytes after the answer would be read as the next answer.
        if rest and self._currentRequest is not None:
            self._currentRequest.persistent = False
        super()._finishResponse_WAITING(rest)

    _finishResponse_TRANSMITTING = _finishResponse_WAITING

    def _finishResponse_ABORTING(self, rest: bytes) -> None:
        # Without this method, the end of an answer without length that is being
        # aborted raises an exception, and its body never ends.
        del rest

    def idle_for_s(self, now_s: float) -> float:
        """Returns for how long the server may hold the connection for idle."""
        idle_s = now_s - self.idle_since_s
        return idle_s if self.stated_s is None else idle_s + self.paused_s

    def find_loss(self) -> router_queues.Fault:
        """Returns why the present answer ended early."""
        faults = router_queues.Fault
        return (
            faults.ANSWER_INVALID
            if self.answer_invalid
            else faults.CONNECTION_LOST
        )

    @property
    def head_begun(self) -> bool:
        """Whether bytes of the answer to the present request arrived."""
        return self._head_bytes > 0

    def is_closed_by_peer(self) -> bool:
        """Returns whether the idle connection was closed or received bytes.

        The socket is read directly because the event loop may not have noticed
        yet.
        """
        try:
            if self.transport.getHandle().recv(
                1, socket.MSG_PEEK | socket.MSG_DONTWAIT
            ):
                self.stated_s = None
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True


class _ConnectionFactory(client._HTTP11ClientFactory):
    def __init__(
        self,
        count_received: Callable[[Any, int], None],
        quiescent_callback: Callable[[Any], None],
        metadata: str,
    ):
        super().__init__(quiescent_callback, metadata)
        self._count_received = count_received

    def buildProtocol(self, addr: Any) -> BackendConnection:
        return BackendConnection(self._quiescentCallback, self._count_received)


class _Pool(client.HTTPConnectionPool):
    """Pool of idle connections that reuses the most recently used one first.

    Connections beyond the current need thus stay idle until they are closed.

    Attributes:
      counts: Number of connections by what became of them.
    """

    retryAutomatically = False

    def __init__(
        self,
        reactor: Any,
        count_received: Callable[[Any, int], None],
        max_idle: float,
        counts: collections.Counter,
    ):
        super().__init__(reactor)
        self._factory = functools.partial(_ConnectionFactory, count_received)
        self._max_idle = max_idle
        self.counts = counts
        # Keys of idle connections, the least recently used first.
        self._idle_keys: dict[BackendConnection, Hashable] = {}
        self._early: dict[Hashable, connection_reuse.EarlyClose] = {}
        self._max_idle_by_server: dict[Hashable, int] = {}
        self._incarnations: dict[data.Address, str] = {}
        self._epoch = 0

    @property
    def idle_count(self) -> int:
        """Number of idle connections."""
        return len(self._idle_keys)

    def acquire_connection(
        self,
        key: tuple[data.Address, str],
        endpoint: Any,
        unrepeatable_s: float | None,
    ) -> defer.Deferred:
        """Returns a connection for one request.

        Args:
          key: Address and incarnation of the server to connect to.
          endpoint: Where to connect if no idle connection can be used.
          unrepeatable_s: See `connection_reuse.find_limit_s`.
        """
        self._note_incarnation(key)
        now_s = self._reactor.seconds()
        # The last one is the one that was used last; the others may have a
        # longer limit only if their servers stated different timeouts.
        for conn in reversed(self._connections.get(key, [])):
            idle_s = conn.idle_for_s(now_s)
            limit_s = connection_reuse.find_limit_s(
                conn.stated_s, self._early.get(key), now_s, unrepeatable_s
            )
            if idle_s >= limit_s:
                break
            self._take_out(key, conn)
            if conn.state == "QUIESCENT" and not conn.is_closed_by_peer():
                conn.reused_idle_s, conn.reused_s = idle_s, now_s
                self.counts["reused"] += 1
                return defer.succeed(conn)
            self._note_closed(key, conn, idle_s)
            conn.transport.abortConnection()
        return self._newConnection(key, endpoint)

    def note_lost_request(self, key: Hashable, conn: BackendConnection) -> None:
        """Learns from a request that was lost without an answer.

        A request that was lost late reached a server that ended later.
        """
        waited_s = self._reactor.seconds() - conn.reused_s
        if (
            conn.reused_idle_s is not None
            and not conn.head_begun
            and waited_s < connection_reuse.MARGIN_S
        ):
            self._note_closed(key, conn, conn.reused_idle_s)

    def limit_idle(self, key: Hashable, max_idle: int | None) -> None:
        """Sets the most idle connections to a server; None for no limit."""
        self._max_idle_by_server.pop(key, None)
        if max_idle is None:
            return
        _bound(self._max_idle_by_server)
        self._max_idle_by_server[key] = max(0, max_idle)
        idle = self._connections.get(key, ())
        for conn in tuple(idle[: max(0, len(idle) - max_idle)]):
            self._evict(conn)

    def close_server(self, key: Hashable, reason: str) -> None:
        """Closes the idle connections to a server."""
        self._close(tuple(self._connections.get(key, ())), reason, server=key)

    def close_all(self, reason: str) -> None:
        """Closes all idle connections, those in use once they are idle."""
        self._epoch += 1
        self._close(tuple(self._idle_keys), reason)

    def _newConnection(self, key: Hashable, endpoint: Any) -> defer.Deferred:
        epoch = self._epoch

        def note_opened(conn: BackendConnection) -> BackendConnection:
            self.counts["opened"] += 1
            conn.epoch = epoch
            conn.note_lost = self._note_lost
            return conn

        return super()._newConnection(key, endpoint).addCallback(note_opened)

    def _putConnection(
        self, key: Hashable, connection: BackendConnection
    ) -> None:
        now_s = self._reactor.seconds()
        connection.idle_since_s = now_s
        kept_s = connection_reuse.find_limit_s(
            connection.stated_s, self._early.get(key), now_s
        ) - connection.idle_for_s(now_s)
        limit = self._max_idle_by_server.get(
            key, connection_reuse.MAX_IDLE_PER_SERVER
        )
        if kept_s <= 0 or limit <= 0 or connection.epoch != self._epoch:
            connection.transport.loseConnection()
            return
        idle = self._connections.setdefault(key, [])
        while len(idle) >= limit:
            self._evict(idle[0])
        while len(self._idle_keys) >= self._max_idle:
            self._evict(next(iter(self._idle_keys)))
        # The list may have been removed with its last connection.
        idle = self._connections.setdefault(key, [])
        idle.append(connection)
        self._idle_keys[connection] = key
        self._timeouts[connection] = self._reactor.callLater(
            kept_s, self._removeConnection, key, connection
        )

    def _removeConnection(
        self, key: Hashable, connection: BackendConnection
    ) -> None:
        self._take_out(key, connection)
        connection.transport.loseConnection()

    def _take_out(self, key: Hashable, conn: BackendConnection) -> None:
        """Removes a connection from the pool and leaves it open."""
        timeout = self._timeouts.pop(conn)
        if timeout.active():
            timeout.cancel()
        del self._idle_keys[conn]
        idle = self._connections[key]
        idle.remove(conn)
        if not idle:
            del self._connections[key]

    def _evict(self, conn: BackendConnection) -> None:
        self.counts["evicted"] += 1
        self._removeConnection(self._idle_keys[conn], conn)

    def _close(
        self, conns: tuple[BackendConnection, ...], reason: str, **fields: Any
    ) -> None:
        if not conns:
            return
        for conn in conns:
            self._removeConnection(self._idle_keys[conn], conn)
        self.counts["discarded"] += len(conns)
        logs.event(
            "idle_connections_closed",
            reason=reason,
            count=len(conns),
            **{name: _name_server(key) for name, key in fields.items()},
        )

    def _note_lost(self, conn: BackendConnection) -> None:
        """Notes the end of a connection; only the server ends an idle one."""
        key = self._idle_keys.get(conn)
        if key is None:
            return
        self._take_out(key, conn)
        self._note_closed(key, conn, conn.idle_for_s(self._reactor.seconds()))

    def _note_closed(
        self, key: Hashable, conn: BackendConnection, idle_s: float
    ) -> None:
        self.counts["closed_by_server"] += 1
        known = self._early.get(key)
        learned = connection_reuse.note_close(
            conn.stated_s, known, idle_s, self._reactor.seconds()
        )
        if learned is known:
            return
        self._early.pop(key, None)
        _bound(self._early)
        self._early[key] = learned
        logs.event(
            "connection_closed_early",
            server=_name_server(key),
            stated_s=conn.stated_s,
            idle_s=round(idle_s, 3),
            expected_s=round(learned.closes_after_s, 3),
        )

    def _note_incarnation(self, key: tuple[data.Address, str]) -> None:
        """Closes the idle connections to a former incarnation."""
        address, incarnation = key
        former = self._incarnations.get(address)
        if former == incarnation:
            return
        if former is None:
            _bound(self._incarnations)
        else:
            self.close_server((address, former), "new_incarnation")
        self._incarnations[address] = incarnation

    def closeCachedConnections(self) -> defer.Deferred:
        """Closes all idle connections."""
        self._idle_keys.clear()
        return super().closeCachedConnections()


def _bound(known: dict) -> None:
    """Drops the oldest entry of a full dictionary."""
    if len(known) >= MAX_KNOWN_SERVERS:
        del known[next(iter(known))]


def _name_server(key: Hashable) -> str:
    address, incarnation = key
    return f"{address}/{incarnation}"


@implementer(iweb.IBodyProducer)
class BytesProducer:
    """Body producer that writes a complete body at once."""

    def __init__(self, body: bytes):
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> defer.Deferred:
        """Writes the body."""
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:
        """Does nothing: the body has been written at once."""

    def resumeProducing(self) -> None:
        """Does nothing: the body has been written at once."""

    def stopProducing(self) -> None:
        """Does nothing: the body has been written at once."""


class Forwarder:
    """Sends requests to backend servers."""

    def __init__(
        self,
        reactor: Any,
        dialect: dialects.Dialect = dialects.OWN,
        count_received: Callable[[Any, int], None] = lambda _, size: None,
        make_producer: Callable[[bytes], Any] = lambda _: None,
        max_descriptors: float = math.inf,
        counts: collections.Counter | None = None,
    ):
        """Prepares the connections.

        Args:
          reactor: The reactor.
          dialect: Header names towards backend servers.
          count_received: Called with a transport and the number of bytes that
            it received.
          make_producer: Returns the producer of a body; None for one that
            writes it at once.
          max_descriptors: Descriptors that the process may open.
          counts: Counts connections by what became of them.
        """
        self._reactor = reactor
        self._make_producer = make_producer
        self._dialect = dialect
        self._pool = _Pool(
            reactor,
            count_received,
            connection_reuse.find_idle_limit(max_descriptors),
            collections.Counter() if counts is None else counts,
        )
        self._invalid_timeouts: dict[Hashable, None] = {}
        self._cached_endpoint = functools.lru_cache(MAX_CACHED_ENDPOINTS)(
            self._build_endpoint
        )

    async def send(
        self,
        grant: data.Grant,
        outgoing: OutgoingRequest,
        may_send: Callable[[], bool],
    ) -> AnswerHead:
        """Sends a request and waits for the head of the answer.

        Args:
          grant: Grant that names the backend server.
          outgoing: The request.
          may_send: Called immediately before the first byte is written. If it
            returns False, nothing is written.

        Returns:
          The head. Its `response` delivers the body.

        Raises:
          NotSentError: No byte was written, or the server stated that it has
            not run the request.
          NoAnswerError: Bytes were written, but no usable answer began in time.
        """
        key = (grant.address, grant.incarnation)
        self._pool.limit_idle(key, grant.max_idle)
        try:
            conn = await self._pool.acquire_connection(
                key,
                self._cached_endpoint(grant.address),
                None if outgoing.repeatable else outgoing.reuse_idle_s,
            )
        except (defer.CancelledError, error.ConnectingCancelledError) as exc:
            raise NotSentError(router_queues.Fault.GRANT_EXPIRED) from exc
        except Exception as exc:  # noqa: BLE001
            self._pool.close_server(key, "connect_failed")
            raise NotSentError(router_queues.Fault.CONNECT_FAILED) from exc
        try:
            req = _newclient.Request._construct(
                outgoing.method,
                outgoing.uri,
                outgoing.headers,
                self._build_producer(outgoing.body),
                persistent=outgoing.reuse_idle_s > 0,
            )
            is_idle = conn.state == "QUIESCENT"
            permitted = is_idle and may_send()
        except BaseException:
            conn.transport.abortConnection()
            raise
        if not permitted:
            conn.transport.abortConnection()
            raise NotSentError(
                router_queues.Fault.GRANT_EXPIRED
                if is_idle
                else router_queues.Fault.CONNECT_FAILED
            )
        return await self._await_answer_head(conn, req, outgoing, key)

    def _build_producer(self, body: bytes | None) -> Any:
        if body is None:
            return None
        return self._make_producer(body) or BytesProducer(body)

    async def _await_answer_head(
        self,
        conn: BackendConnection,
        req: Any,
        outgoing: OutgoingRequest,
        key: Hashable,
    ) -> AnswerHead:
        response_deferred = conn.request(req)
        event_loop.flush_transport(conn.transport)
        parser = conn._parser
        timed_out = []

        def note_invalid_line(place: http_syntax.Place, line: str) -> None:
            conn.answer_invalid = True
            logs.event(
                "answer_invalid",
                request_id=outgoing.request_id,
                server=_name_server(key),
                place=place,
                line=line,
            )
            # A body that is still being sent would delay a regular close.
            conn.transport.abortConnection()

        if parser is not None:
            checked_parsing.check_answer(parser, note_invalid_line)

        def cancel_request() -> None:
            timed_out.append(True)
            response_deferred.cancel()

        timer = self._reactor.callLater(
            outgoing.answer_timeout_s, cancel_request
        )
        try:
            response = await response_deferred
        except _newclient.RequestNotSent as exc:
            raise NotSentError(router_queues.Fault.CONNECT_FAILED) from exc
        except Exception as exc:  # noqa: BLE001
            conn.transport.abortConnection()
            if timed_out:
                raise NoAnswerError(router_queues.Fault.TIMED_OUT) from exc
            fault = conn.find_loss()
            if (
                conn.lost_reason is not None
                and fault is router_queues.Fault.CONNECTION_LOST
            ):
                self._pool.note_lost_request(key, conn)
                self._pool.close_server(key, "connection_lost")
            raise NoAnswerError(fault) from exc
        finally:
            if timer.active():
                timer.cancel()
        states_not_run = self._dialect.states_not_run(
            response.code, response.headers
        )
        echoed_ids = response.headers.getRawHeaders(self._dialect.request_id)
        if _answers_another_request(
            conn, echoed_ids, outgoing.request_id, states_not_run
        ):
            logs.event(
                "crossed_answer",
                request_id=outgoing.request_id,
                status=response.code,
                has_id=bool(echoed_ids),
            )
            # The connection must not be reused.
            conn.transport.abortConnection()
            raise NoAnswerError(router_queues.Fault.CONNECTION_LOST)
        conn.answered = True
        conn.echoes_ids = conn.echoes_ids or bool(echoed_ids)
        self._note_timeout(conn, parser, key)
        notice = self._dialect.read_notice(response.code, response.headers)
        if notice.leaving:
            # No request may follow, as the server may end at any time.
            conn.epoch = -1
            self._pool.close_server(key, "server_leaving")
        if states_not_run:
            # The body of this short answer is not read: that would keep the
            # connection busy.
            conn.transport.abortConnection()
            raise NotSentError(router_queues.Fault.REJECTED, notice)
        head = _build_head(
            response, parser, conn, self._dialect.reserved_answer_headers()
        )
        return dataclasses.replace(head, notice=notice)

    @property
    def idle_count(self) -> int:
        """Number of idle connections."""
        return self._pool.idle_count

    def end_server(self, server: data.EndedServer) -> None:
        """Keeps no connection to a server until a grant names it again."""
        key = (server.address, server.incarnation)
        self._pool.close_server(key, "server_ended")
        self._pool.limit_idle(key, 0)

    def discard_idle(self, reason: str) -> None:
        """Closes all connections that are idle, or as soon as they are."""
        self._pool.close_all(reason)

    def _note_timeout(
        self, conn: BackendConnection, parser: Any, key: Hashable
    ) -> None:
        """Reads the timeout that the server states in an answer."""
        values = parser.connHeaders.getRawHeaders(b"Keep-Alive") or []
        match connection_reuse.parse_timeout(
            value.decode("latin-1") for value in values
        ):
            case result.Success(stated_s):
                conn.stated_s = stated_s
            case result.Failure(text):
                conn.stated_s = None
                if key not in self._invalid_timeouts:
                    _bound(self._invalid_timeouts)
                    self._invalid_timeouts[key] = None
                    logs.event(
                        "keep_alive_invalid",
                        server=_name_server(key),
                        value=repr(text[:MAX_LOGGED_TIMEOUT_CHARS]),
                    )

    async def close(self) -> None:
        """Closes the idle connections."""
        await self._pool.closeCachedConnections()

    def _build_endpoint(self, address: data.Address) -> Any:
        return build_endpoint(self._reactor, address, CONNECT_TIMEOUT_S)


def _answers_another_request(
    conn: BackendConnection,
    echoed_ids: list[bytes] | None,
    request_id: str,
    states_not_run: bool,
) -> bool:
    """Tells whether an answer is, or may be, a copy of an earlier one.

    A server in trouble may write an answer once more on a connection that is in
    use again. Where the copy has no id, it is recognised by the ids of earlier
    answers on the connection. A copy of a refusal would let a request that runs
    be sent to another server, so on a used connection it needs an id in any
    case.

    Args:
      conn: Connection of the answer.
      echoed_ids: Request ids in the answer, if any.
      request_id: Id of the request that waits for an answer.
      states_not_run: Whether the answer states that its request has not run.
    """
    if echoed_ids:
        return set(echoed_ids) != {request_id.encode()}
    return conn.echoes_ids or (states_not_run and conn.answered)


def build_endpoint(
    reactor: Any, address: data.Address, timeout_s: float
) -> Any:
    """Builds the client endpoint of an address.

    Args:
      reactor: The reactor.
      address: Address whose host is an IP number.
      timeout_s: Maximum time to connect.
    """
    endpoint_class = (
        endpoints.TCP6ClientEndpoint
        if ipaddress.ip_address(address.host).version == 6
        else endpoints.TCP4ClientEndpoint
    )
    return endpoint_class(
        reactor, address.host, address.port, timeout=timeout_s
    )


def _build_head(
    response: Any,
    parser: Any,
    conn: BackendConnection,
    dropped_names: frozenset[bytes],
) -> AnswerHead:
    connection_headers = parser.connHeaders
    if connection_values := connection_headers.getRawHeaders(b"Connection"):
        dropped_names |= dialects.connection_tokens(connection_values)
    length = response.length
    content_lengths = connection_headers.getRawHeaders(b"Content-Length")
    return AnswerHead(
        status=response.code,
        phrase=response.phrase,
        headers=tuple(
            (name, value)
            for name, values in response.headers.getAllRawHeaders()
            if name.lower() not in dropped_names
            for value in values
        ),
        length=None if length is iweb.UNKNOWN_LENGTH else length,
        content_length=content_lengths[0] if content_lengths else None,
        response=response,
        conn=conn,
    )
