"""Calls to model engines over HTTP, each on a connection of its own.

The connection layer of twisted is used directly: it offers a point between the
connection and the first byte, and it tells when the connection has ended. A
call returns only after that, so nothing of it is sent later. Its connections
are reset as they close, also when the process is killed, so that the operating
system does not go on to deliver what is left of an order.
"""

# Methods that override those of twisted keep its names.
# ruff: noqa: N802

import asyncio
from collections.abc import Callable
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
from waxwingrack.daemons import forwarding

# Most bytes of an answer with its head. A listed order takes about 40 bytes.
MAX_ANSWER_BYTES = 256 * 1024
ORDERS_PATH = b"/-/orders"

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Answer of an engine.

    Attributes:
      status: HTTP status.
      body: Whole body.
    """

    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class FailedCall:
    """End of a call without a whole answer.

    Attributes:
      sent: Whether a byte may have left.
      cause: Short name of the cause: `not_connected`, `not_leading`,
        `timeout`, `too_large` or `broken`.
      reason: Text for the log.
    """

    may_have_sent: bool
    cause: str
    reason: str


class _Connection(_newclient.HTTP11ClientProtocol):
    """Connection for one call.

    Attributes:
      ended: Done once the connection has ended; None if it was not made.
      sent: Whether a byte may have left.
      too_large: Whether the engine has sent more than is read.
    """

    def __init__(self) -> None:
        super().__init__(lambda _: None)
        self.ended: asyncio.Future | None = None
        self.may_have_sent = False
        self.too_large = False
        self._received = 0
        self._unwanted = False

    def connectionMade(self) -> None:
        """Makes every end of the connection a reset."""
        super().connectionMade()
        self.ended = asyncio.get_running_loop().create_future()
        self.transport.getHandle().setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
        if self._unwanted:
            self.transport.abortConnection()

    def dataReceived(self, blob: bytes) -> None:
        """Reads a part of the answer, head and framing included."""
        self._received += len(blob)
        if self._received > MAX_ANSWER_BYTES:
            self.too_large = True
            self.transport.abortConnection()
        elif not self.too_large:
            super().dataReceived(blob)

    def connectionLost(self, reason: failure.Failure) -> None:
        """Notes the end."""
        super().connectionLost(reason)
        self.ended.set_result(None)

    def abort(self) -> None:
        """Resets the connection, or the one that is still being made."""
        self._unwanted = True
        if self.transport is not None:
            self.transport.abortConnection()


class EngineClient:
    """Calls of one period of leadership."""

    def __init__(self, may_send: Callable[[], bool]):
        """Prepares the calls.

        Args:
          may_send: Called immediately before the first byte is written; if it
            returns False nothing is written.
        """
        self._may_send = may_send
        self._open: set[_Connection] = set()

    def abort(self) -> None:
        """Resets all connections."""
        for conn in tuple(self._open):
            conn.abort()

    async def call(
        self,
        method: str,
        address: data.Address,
        timeout_s: float,
        body: Any = None,
    ) -> Answer | FailedCall:
        """Calls an engine once.

        Args:
          method: HTTP method.
          address: Address of the engine.
          timeout_s: Longest time of the whole call, in seconds.
          body: Value to send as JSON, or None.

        Returns:
          The answer or how the call failed; the connection has ended.
        """
        conn = _Connection()
        self._open.add(conn)
        try:
            end = await self._exchange(conn, method, address, timeout_s, body)
        finally:
            conn.abort()
            self._open.discard(conn)
        if conn.ended is not None:
            await conn.ended
        return end

    async def _exchange(
        self,
        conn: _Connection,
        method: str,
        address: data.Address,
        timeout_s: float,
        body: Any,
    ) -> Answer | FailedCall:
        # Importing the reactor installs one; the program chooses it first.
        from twisted.internet import reactor

        loop = asyncio.get_running_loop()
        endpoint = forwarding.endpoint(reactor, address, timeout_s)
        factory = protocol.Factory.forProtocol(lambda: conn)
        factory.noisy = False
        req = _request(method, address, body)
        try:
            async with asyncio.timeout(timeout_s):
                await endpoint.connect(factory).asFuture(loop)
                if not self._may_send():
                    return FailedCall(
                        False, "not_leading", "the lease has ended"
                    )
                conn.may_have_sent = True
                response = await conn.request(req).asFuture(loop)
                blob = await treq.content(response).asFuture(loop)
        except Exception as exc:
            # Whatever broke the call, the engine may have taken an order of
            # which a byte has left.
            return _failed(conn, exc, timeout_s)
        if conn.too_large:
            return _failed(conn, None, timeout_s)
        return Answer(response.code, blob)


def _failed(
    conn: _Connection, exc: Exception | None, timeout_s: float
) -> FailedCall:
    if conn.too_large:
        reason = f"the answer has more than {MAX_ANSWER_BYTES} bytes"
        return FailedCall(True, "too_large", reason)
    if not conn.may_have_sent:
        return FailedCall(False, "not_connected", f"not connected: {exc}")
    if isinstance(exc, TimeoutError):
        return FailedCall(True, "timeout", f"no answer within {timeout_s:g} s")
    return FailedCall(True, "broken", f"call broke: {exc!r}")


def _request(method: str, address: data.Address, body: Any) -> Any:
    host = f"[{address.host}]" if ":" in address.host else address.host
    headers = http_headers.Headers({"Host": [f"{host}:{address.port}"]})
    producer = None
    if body is not None:
        headers.setRawHeaders("Content-Type", ["application/json"])
        producer = forwarding.Body(json.dumps(body).encode())
    return _newclient.Request._construct(
        method.encode(), ORDERS_PATH, headers, producer, persistent=False
    )
