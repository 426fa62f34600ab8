"""Requests to backend servers and their answers.

The connection layer of `twisted.web.client` is used directly. A client above
it would follow redirects, keep cookies, decode bodies and repeat requests, and
it leaves no point between the connection and the first byte at which a grant
could be checked.
"""

# Methods that override those of twisted keep its names.
# ruff: noqa: N802, N815

from collections.abc import Callable
from collections.abc import Hashable
import dataclasses
import functools
import ipaddress
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

# Longest time to connect to a backend server, in seconds. It is shorter than
# the life of a grant, so that a retry can still find a place in its queue.
CONNECT_TIMEOUT_S = 0.8
# Idle connections are closed before backend servers usually close them (5 s),
# as a request on a connection that is just being closed is lost.
IDLE_POOL_S = 4
MAX_IDLE_PER_SERVER = 64
# Backend servers whose addresses are kept in parsed form.
MAX_ENDPOINTS = 1024


class NotSentError(Exception):
    """The request has not run: not sent, or the server said so.

    Attributes:
      fault: How the try ended.
    """

    def __init__(self, fault: router_queues.Fault):
        super().__init__(fault)
        self.fault = fault


class BrokenError(Exception):
    """The request was written and no usable answer began.

    Attributes:
      fault: How the try ended.
    """

    def __init__(self, fault: router_queues.Fault):
        super().__init__(fault)
        self.fault = fault


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A request for a backend server.

    Attributes:
      method: HTTP method.
      uri: Path with query as the caller sent it.
      headers: Headers to send.
      body: Whole body; None if the caller sent none.
      request_id: Id that an answer must carry if it carries one.
      reuse_idle_s: Longest idle time of a pooled connection that may be used,
        0 for a new connection. A pooled connection may be closed by its server
        at any moment, which loses the request.
      answer_timeout_s: Longest wait for the head of the answer.
    """

    method: bytes
    uri: bytes
    headers: http_headers.Headers
    body: bytes | None
    request_id: str
    reuse_idle_s: float
    answer_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Head of an answer.

    Attributes:
      status: HTTP status.
      phrase: Reason phrase.
      headers: End-to-end headers as name and value.
      length: Length of the body in bytes; None if unknown.
      content_length: Value of Content-Length to pass on, also for an answer
        without body; None if there is none.
      response: Response whose body follows.
      conn: Connection of the response.
    """

    status: int
    phrase: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    length: int | None
    content_length: bytes | None
    response: Any
    conn: "BackendConnection"


class BackendConnection(_newclient.HTTP11ClientProtocol):
    """Connection to a backend server.

    Attributes:
      lost_reason: Why the connection ended, None while it is open.
      idle_since_s: Time of the reactor's clock at which it was pooled.
    """

    lost_reason: failure.Failure | None = None
    idle_since_s: float = 0.0

    def connectionLost(self, reason: failure.Failure) -> None:
        """Keeps the reason; an answer without a length depends on it."""
        self.lost_reason = reason
        super().connectionLost(reason)

    def _finishResponse_WAITING(self, rest: bytes) -> None:
        # Bytes behind the answer would be taken for the next answer.
        if rest and self._currentRequest is not None:
            self._currentRequest.persistent = False
        super()._finishResponse_WAITING(rest)

    _finishResponse_TRANSMITTING = _finishResponse_WAITING

    def closed_by_peer(self) -> bool:
        """Whether the server has closed the idle connection or sent bytes.

        The event loop may not have seen it yet.
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
    def buildProtocol(self, addr: Any) -> BackendConnection:
        return BackendConnection(self._quiescentCallback)


class _Pool(client.HTTPConnectionPool):
    """Idle connections, of which the one used last is taken first.

    So the others become idle for long and are closed.
    """

    maxPersistentPerHost = MAX_IDLE_PER_SERVER
    cachedConnectionTimeout = IDLE_POOL_S
    retryAutomatically = False
    _factory = _ConnectionFactory

    def take(
        self, key: Hashable, endpoint: Any, idle_limit_s: float
    ) -> defer.Deferred:
        """Returns a connection for one request.

        Args:
          key: Server that the connection must lead to.
          endpoint: Where to connect if no idle connection can be used.
          idle_limit_s: Longest idle time of a connection to use.
        """
        idle = self._connections.get(key, [])
        since_s = self._reactor.seconds() - idle_limit_s
        while idle and idle[-1].idle_since_s > since_s:
            conn = idle.pop()
            self._timeouts.pop(conn).cancel()
            if conn.state == "QUIESCENT" and not conn.closed_by_peer():
                return defer.succeed(conn)
            conn.transport.abortConnection()
        return self._newConnection(key, endpoint)

    def _putConnection(self, key: Hashable, connection: Any) -> None:
        connection.idle_since_s = self._reactor.seconds()
        super()._putConnection(key, connection)


@implementer(iweb.IBodyProducer)
class BytesProducer:
    """Writes a whole body at once."""

    def __init__(self, body: bytes):
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> defer.Deferred:
        """Writes the body."""
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:
        """Does nothing: the body is written at once."""

    def resumeProducing(self) -> None:
        """Does nothing: the body is written at once."""

    def stopProducing(self) -> None:
        """Does nothing: the body is written at once."""


class Forwarder:
    """Sends requests to backend servers."""

    def __init__(self, reactor: Any, dialect: dialects.Dialect = dialects.OWN):
        self._reactor = reactor
        self._dialect = dialect
        self._pool = _Pool(reactor)
        self._endpoint = functools.lru_cache(MAX_ENDPOINTS)(
            self._build_endpoint
        )

    async def send(
        self,
        grant: data.Grant,
        outgoing: Outgoing,
        may_send: Callable[[], bool],
    ) -> Head:
        """Sends a request and waits for the head of the answer.

        Args:
          grant: Grant that names the backend server.
          outgoing: The request.
          may_send: Called immediately before the first byte is written; if it
            returns False nothing is written.

        Returns:
          The head. The body follows once `receive` is called.

        Raises:
          NotSentError: No byte was written, or the server stated that it has
            not run the request.
          BrokenError: Bytes were written and no usable answer began in time.
        """
        try:
            conn = await self._pool.take(
                (grant.address, grant.incarnation),
                self._endpoint(grant.address),
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
                None if outgoing.body is None else BytesProducer(outgoing.body),
                persistent=outgoing.reuse_idle_s > 0,
            )
            usable = conn.state == "QUIESCENT"
            allowed = usable and may_send()
        except BaseException:
            conn.transport.abortConnection()
            raise
        if not allowed:
            conn.transport.abortConnection()
            raise NotSentError(
                router_queues.Fault.GRANT_EXPIRED
                if usable
                else router_queues.Fault.CONNECT_FAILED
            )
        return await self._exchange(conn, req, outgoing)

    async def _exchange(
        self, conn: BackendConnection, req: Any, outgoing: Outgoing
    ) -> Head:
        pending = conn.request(req)
        event_loop.flush_transport(conn.transport)
        parser = conn._parser
        timed_out = []

        def give_up() -> None:
            timed_out.append(True)
            pending.cancel()

        timer = self._reactor.callLater(outgoing.answer_timeout_s, give_up)
        try:
            response = await pending
        except _newclient.RequestNotSent as exc:
            raise NotSentError(router_queues.Fault.CONNECT_FAILED) from exc
        except Exception as exc:  # noqa: BLE001
            conn.transport.abortConnection()
            raise BrokenError(
                router_queues.Fault.TIMED_OUT
                if timed_out
                else router_queues.Fault.CONNECTION_LOST
            ) from exc
        finally:
            if timer.active():
                timer.cancel()
        echoed = response.headers.getRawHeaders(self._dialect.request_id)
        if echoed and echoed[0] != outgoing.request_id.encode():
            logs.event("crossed_answer", request_id=outgoing.request_id)
            # The server is out of step; a pooled connection must not survive.
            conn.transport.abortConnection()
            raise BrokenError(router_queues.Fault.CONNECTION_LOST)
        if self._dialect.states_not_run(response.code, response.headers):
            # The refusal is short; reading it would hold the connection.
            conn.transport.abortConnection()
            raise NotSentError(router_queues.Fault.REJECTED)
        return _head(
            response, parser, conn, self._dialect.reserved_answer_headers()
        )

    async def close(self) -> None:
        """Closes the idle connections."""
        await self._pool.closeCachedConnections()

    def _build_endpoint(self, address: data.Address) -> Any:
        return build_endpoint(self._reactor, address, CONNECT_TIMEOUT_S)


def build_endpoint(
    reactor: Any, address: data.Address, timeout_s: float
) -> Any:
    """Returns the client endpoint of an address.

    Args:
      reactor: The reactor.
      address: Address with an IP number.
      timeout_s: Longest time to connect, in seconds.
    """
    kind = (
        endpoints.TCP6ClientEndpoint
        if ipaddress.ip_address(address.host).version == 6
        else endpoints.TCP4ClientEndpoint
    )
    return kind(reactor, address.host, address.port, timeout=timeout_s)


def _head(
    response: Any,
    parser: Any,
    conn: BackendConnection,
    dropped: frozenset[bytes],
) -> Head:
    control = parser.connHeaders
    if tokens := control.getRawHeaders(b"Connection"):
        dropped |= dialects.connection_tokens(tokens)
    length = response.length
    lengths = control.getRawHeaders(b"Content-Length")
    return Head(
        status=response.code,
        phrase=response.phrase,
        headers=tuple(
            (name, value)
            for name, values in response.headers.getAllRawHeaders()
            if name.lower() not in dropped
            for value in values
        ),
        length=None if length is iweb.UNKNOWN_LENGTH else length,
        content_length=lengths[0] if lengths else None,
        response=response,
        conn=conn,
    )
