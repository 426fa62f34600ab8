"""HTTP client for requests to backend servers.

It uses the connection layer of `twisted.web.client` directly. The agents above
that layer follow redirects, keep cookies, decode bodies and retry requests, and
they offer no point between connecting and the first byte sent at which a grant
could be checked.
"""

# Methods that override those of Twisted keep its names.
# ruff: noqa: N802, N815

from collections.abc import Callable
from collections.abc import Hashable
import dataclasses
import functools
import ipaddress
import re
import socket
from typing import Any

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
from waxwingrack.daemons import dialects
from waxwingrack.daemons import event_loop
from waxwingrack.operations import router_queues

# Maximum time to connect to a backend server. It is shorter than the lifetime
# of a grant, so that a retry can still get a place in the queue.
CONNECT_TIMEOUT_S = 0.8
# Idle connections are closed before backend servers usually close them (5 s):
# a request sent on a connection that is just being closed is lost.
POOL_IDLE_TIMEOUT_S = 4
MAX_IDLE_PER_SERVER = 64
# Maximum number of bytes before the end of the head of an answer, those of
# interim answers included.
MAX_HEAD_BYTES = 64 * 1024
# Number of backend servers whose endpoints are cached.
MAX_CACHED_ENDPOINTS = 1024


_HEAD_STATES = (_newclient.STATUS, _newclient.HEADER)
_STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] [1-5][0-9]{2}(?: |\Z)")
# Longest part of an invalid status line that is logged, in bytes.
MAX_LOGGED_STATUS_BYTES = 64


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
      reuse_idle_s: Maximum idle time of a pooled connection to use, 0 for a new
        connection. The server may close a pooled connection at any moment,
        which loses the request.
      answer_timeout_s: Maximum time until the head of the answer.
    """

    method: bytes
    uri: bytes
    headers: http_headers.Headers
    body: bytes | None
    request_id: str
    reuse_idle_s: float
    answer_timeout_s: float


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


def refuse_invalid_status(parser: Any) -> None:
    """Makes a parser of an answer refuse status lines that HTTP does not have.

    twisted converts the status like `int`, so it takes 000, 2000, -20 or +200
    for numbers, and a caller would get them as the status of an answer.

    Args:
      parser: The parser, before it has received any bytes.
    """
    receive = parser.statusReceived

    def check_status(line: bytes) -> None:
        if not _STATUS_LINE.match(line):
            logs.event(
                "answer_status_invalid",
                line=repr(line[:MAX_LOGGED_STATUS_BYTES]),
            )
            raise _newclient.ParseError("invalid status line", line)
        receive(line)

    parser.statusReceived = check_status


class BackendConnection(_newclient.HTTP11ClientProtocol):
    """Connection to a backend server.

    Attributes:
      lost_reason: Why the connection ended, None while it is open.
      idle_since_s: Time on the reactor's clock at which it was pooled.
      answered: Whether an earlier answer was received on it.
      echoes_ids: Whether an earlier answer on it contained a request id.
    """

    lost_reason: failure.Failure | None = None
    idle_since_s: float = 0.0
    answered: bool = False
    echoes_ids: bool = False
    _head_bytes: int = 0

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

    def request(self, request: Any) -> defer.Deferred:
        """Sends a request."""
        self._head_bytes = 0
        answer = super().request(request)
        if self._parser is not None:
            refuse_invalid_status(self._parser)
        return answer

    def dataReceived(self, data: bytes) -> None:
        """Handles bytes; ends the connection if a head exceeds its limit.

        The parser limits each line of a head, but not their number, and a
        server in trouble may send without end.
        """
        self._count_received(self.transport, len(data))
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

    def is_closed_by_peer(self) -> bool:
        """Returns whether the idle connection was closed or received bytes.

        The socket is read directly because the event loop may not have noticed
        yet.
        """
        try:
            self.transport.getHandle().recv(
                1, socket.MSG_PEEK | socket.MSG_DONTWAIT
            )
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
    """

    maxPersistentPerHost = MAX_IDLE_PER_SERVER
    cachedConnectionTimeout = POOL_IDLE_TIMEOUT_S
    retryAutomatically = False

    def __init__(
        self, reactor: Any, count_received: Callable[[Any, int], None]
    ):
        super().__init__(reactor)
        self._factory = functools.partial(_ConnectionFactory, count_received)

    def acquire_connection(
        self, key: Hashable, endpoint: Any, idle_limit_s: float
    ) -> defer.Deferred:
        """Returns a connection for one request.

        Args:
          key: Identifies the server incarnation to connect to.
          endpoint: Where to connect if no idle connection can be used.
          idle_limit_s: Maximum idle time of a connection to use.
        """
        idle = self._connections.get(key, [])
        min_idle_since_s = self._reactor.seconds() - idle_limit_s
        while idle and idle[-1].idle_since_s > min_idle_since_s:
            conn = idle.pop()
            self._timeouts.pop(conn).cancel()
            if conn.state == "QUIESCENT" and not conn.is_closed_by_peer():
                return defer.succeed(conn)
            conn.transport.abortConnection()
        return self._newConnection(key, endpoint)

    def _putConnection(self, key: Hashable, connection: Any) -> None:
        connection.idle_since_s = self._reactor.seconds()
        super()._putConnection(key, connection)


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
    ):
        """Prepares the connections.

        Args:
          reactor: The reactor.
          dialect: Header names towards backend servers.
          count_received: Called with a transport and the number of bytes that
            it received.
          make_producer: Returns the producer of a body; None for one that
            writes it at once.
        """
        self._reactor = reactor
        self._make_producer = make_producer
        self._dialect = dialect
        self._pool = _Pool(reactor, count_received)
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
        try:
            conn = await self._pool.acquire_connection(
                (grant.address, grant.incarnation),
                self._cached_endpoint(grant.address),
                outgoing.reuse_idle_s,
            )
        except (defer.CancelledError, error.ConnectingCancelledError) as exc:
            raise NotSentError(router_queues.Fault.GRANT_EXPIRED) from exc
        except Exception as exc:  # noqa: BLE001
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
        return await self._await_answer_head(conn, req, outgoing)

    def _build_producer(self, body: bytes | None) -> Any:
        if body is None:
            return None
        return self._make_producer(body) or BytesProducer(body)

    async def _await_answer_head(
        self, conn: BackendConnection, req: Any, outgoing: OutgoingRequest
    ) -> AnswerHead:
        response_deferred = conn.request(req)
        event_loop.flush_transport(conn.transport)
        parser = conn._parser
        timed_out = []

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
            raise NoAnswerError(
                router_queues.Fault.TIMED_OUT
                if timed_out
                else router_queues.Fault.CONNECTION_LOST
            ) from exc
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
        notice = self._dialect.read_notice(response.code, response.headers)
        if states_not_run:
            # The body of this short answer is not read: that would keep the
            # connection busy.
            conn.transport.abortConnection()
            raise NotSentError(router_queues.Fault.REJECTED, notice)
        head = _build_head(
            response, parser, conn, self._dialect.reserved_answer_headers()
        )
        return dataclasses.replace(head, notice=notice)

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
