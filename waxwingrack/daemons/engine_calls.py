"""Calls to model engines and the provider, each on its own connection.

The module uses the connection layer of twisted directly, because it needs a
check between connecting and the first byte, and the time at which the
connection has closed. A call returns only after that, so no byte of it is sent
later. Connections close with a reset, also when the process is killed, so that
the operating system does not deliver the rest of an order afterwards.
"""

# Methods that override twisted methods keep their names.
# ruff: noqa: N802

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import json
import socket
import struct
from typing import Any

import treq
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import _newclient
from twisted.web import http_headers

from waxwingrack.core import data
from waxwingrack.core import logs
from waxwingrack.daemons import checked_parsing
from waxwingrack.daemons import event_loop
from waxwingrack.daemons import forwarding
from waxwingrack.operations import http_syntax

# Limit on an answer with its head. A listed order takes about 40 bytes.
MAX_ANSWER_BYTES = 256 * 1024
ORDERS_PATH = b"/-/orders"

# Value of SO_LINGER: on, with a time of 0 s.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Complete answer of an engine.

    Attributes:
      status: HTTP status.
      body: Body of the answer.
    """

    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class FailedCall:
    """Result of a call without a complete answer.

    Attributes:
      may_have_sent: Whether any byte of the request may have been sent.
      cause: Label of the cause: `not_connected`, `not_leading`,
        `timeout`, `too_large` or `broken`.
      reason: Description for the log.
    """

    may_have_sent: bool
    cause: str
    reason: str


class _Connection(_newclient.HTTP11ClientProtocol):
    """Connection for one call.

    Attributes:
      closed: Done once the connection has closed; None if it was never made.
      may_have_sent: Whether any byte of the request may have been sent.
      too_large: Whether the answer exceeded `MAX_ANSWER_BYTES`.
    """

    def __init__(self) -> None:
        super().__init__(lambda _: None)
        self.closed: asyncio.Future | None = None
        self.may_have_sent = False
        self.too_large = False
        self._received_bytes = 0
        self._aborted = False

    def connectionMade(self) -> None:
        """Sets the socket to reset the connection on close."""
        super().connectionMade()
        self.closed = asyncio.get_running_loop().create_future()
        self.transport.getHandle().setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
        if self._aborted:
            self.transport.abortConnection()

    def request(self, request: Any) -> Any:
        """Sends a request."""
        answer = super().request(request)
        if self._parser is not None:
            checked_parsing.check_answer(self._parser, self._log_invalid_line)
        return answer

    def _log_invalid_line(self, place: http_syntax.Place, line: str) -> None:
        logs.event(
            "answer_invalid",
            peer=str(self.transport.getPeer()),
            place=place,
            line=line,
        )

    def dataReceived(self, blob: bytes) -> None:
        """Receives bytes of the answer, head and framing included."""
        self._received_bytes += len(blob)
        if self._received_bytes > MAX_ANSWER_BYTES:
            self.too_large = True
            self.transport.abortConnection()
        elif not self.too_large:
            super().dataReceived(blob)

    def connectionLost(self, reason: failure.Failure) -> None:
        """Marks the connection as closed."""
        super().connectionLost(reason)
        self.closed.set_result(None)

    def abort(self) -> None:
        """Resets the connection, at once or as soon as it is made."""
        self._aborted = True
        if self.transport is not None:
            self.transport.abortConnection()


class EngineClient:
    """Client for the calls of one period of leadership."""

    def __init__(self, may_send: Callable[[], bool]):
        """Creates a client without calls.

        Args:
          may_send: Called immediately before the first byte of a request is
            written; if it returns False, nothing is written.
        """
        self._may_send = may_send
        self._connections: set[_Connection] = set()

    def abort(self) -> None:
        """Resets the connections of all calls."""
        for conn in tuple(self._connections):
            conn.abort()

    async def call(
        self,
        method: str,
        address: data.Address,
        timeout_s: float,
        body: Any = None,
        path: bytes = ORDERS_PATH,
        extra_headers: Mapping[str, str] | None = None,
    ) -> Answer | FailedCall:
        """Calls an engine once.

        Args:
          method: HTTP method.
          address: Address of the engine.
          timeout_s: Time limit of the whole call, in seconds.
          body: Value to send as JSON, or None.
          path: Path of the request.
          extra_headers: Further headers of the request, or None.

        Returns:
          The answer or the failure; the connection has closed.
        """
        conn = _Connection()
        self._connections.add(conn)
        try:
            outcome = await self._exchange_messages(
                conn,
                address,
                timeout_s,
                _make_request(method, address, body, path, extra_headers or {}),
            )
        finally:
            conn.abort()
            self._connections.discard(conn)
        if conn.closed is not None:
            await conn.closed
        return outcome

    async def _exchange_messages(
        self,
        conn: _Connection,
        address: data.Address,
        timeout_s: float,
        req: Any,
    ) -> Answer | FailedCall:
        # The import installs a default reactor unless the program has
        # installed its own before.
        from twisted.internet import reactor

        loop = asyncio.get_running_loop()
        endpoint = forwarding.build_endpoint(reactor, address, timeout_s)
        factory = protocol.Factory.forProtocol(lambda: conn)
        factory.noisy = False
        try:
            async with asyncio.timeout(timeout_s):
                await endpoint.connect(factory).asFuture(loop)
                if not self._may_send():
                    return FailedCall(
                        False,
                        "not_leading",
                        "this controller may no longer act as leader",
                    )
                conn.may_have_sent = True
                response_deferred = conn.request(req)
                # Otherwise a freeze could fall between the check and the write.
                event_loop.flush_transport(conn.transport)
                response = await response_deferred.asFuture(loop)
                blob = await treq.content(response).asFuture(loop)
        except Exception as exc:
            # After any failure, the engine may have received an order of which
            # a byte was sent.
            return _describe_failure(conn, exc, timeout_s)
        if conn.too_large:
            return _describe_failure(conn, None, timeout_s)
        return Answer(response.code, blob)


def _describe_failure(
    conn: _Connection, exc: Exception | None, timeout_s: float
) -> FailedCall:
    if conn.too_large:
        reason = f"the answer exceeds {MAX_ANSWER_BYTES} bytes"
        return FailedCall(True, "too_large", reason)
    if not conn.may_have_sent:
        return FailedCall(False, "not_connected", f"connection failed: {exc}")
    if isinstance(exc, TimeoutError):
        return FailedCall(True, "timeout", f"no answer within {timeout_s:g} s")
    return FailedCall(True, "broken", f"call failed: {exc!r}")


def _make_request(
    method: str,
    address: data.Address,
    body: Any,
    path: bytes,
    extra_headers: Mapping[str, str],
) -> Any:
    host = f"[{address.host}]" if ":" in address.host else address.host
    headers = http_headers.Headers({"Host": [f"{host}:{address.port}"]})
    for name, value in extra_headers.items():
        headers.setRawHeaders(name, [value])
    producer = None
    if body is not None:
        headers.setRawHeaders("Content-Type", ["application/json"])
        producer = forwarding.BytesProducer(json.dumps(body).encode())
    return _newclient.Request._construct(
        method.encode(), path, headers, producer, persistent=False
    )
