"""Answers on their way from a backend server to a caller."""

# Methods that override those of twisted keep its names.
# ruff: noqa: N802, N815

from collections.abc import Callable
import dataclasses
from typing import Any

from twisted.internet import defer
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import client
from twisted.web import http
from zope.interface import implementer

from waxwingrack.core import data
from waxwingrack.daemons import admission
from waxwingrack.daemons import event_loop
from waxwingrack.daemons import forwarding
from waxwingrack.daemons import held_bytes
from waxwingrack.operations import costs
from waxwingrack.operations import idempotency
from waxwingrack.operations import router_queues

# Reading an attribute of these modules runs their check for deprecated names.
_RESPONSE_DONE = client.ResponseDone
_POTENTIAL_DATA_LOSS = http.PotentialDataLoss
_NO_BODY_STATUS = frozenset({204, 304})


class CallerSide:
    """The caller's end of an answer.

    Attributes:
      started: Whether a byte of the answer was written.
    """

    def __init__(self, req: admission.CallersRequest, hold_end: bool):
        """Prepares an answer.

        Args:
          req: Request of the caller.
          hold_end: Whether the caller must not see the end of the answer
            before `finish` is called.
        """
        self._req = req
        self._hold_end = hold_end
        self._remaining: int | None = None
        self._held = b""
        self._detached = False
        self.started = False

    @property
    def attached(self) -> bool:
        """Whether the caller still takes the answer."""
        return not self._detached

    def detach(self) -> None:
        """Stops writing; the caller is gone or too slow."""
        self._detached = True

    def start(
        self,
        status: int,
        phrase: bytes | None,
        headers: tuple[tuple[bytes, bytes], ...],
        length: int | None,
        content_length: bytes | None = None,
    ) -> None:
        """Writes the head of the answer.

        Args:
          status: HTTP status.
          phrase: Reason phrase, None for the usual one.
          headers: Headers of the answer.
          length: Length of the body; None if unknown.
          content_length: Content-Length of an answer without body.
        """
        if self._detached:
            return
        req = self._req
        req.setResponseCode(status, phrase)
        for name in dict.fromkeys(name.lower() for name, _ in headers):
            req.responseHeaders.removeHeader(name)
        for name, value in headers:
            req.responseHeaders.addRawHeader(name, value)
        bodiless = req.method == b"HEAD" or status in _NO_BODY_STATUS
        if bodiless:
            if content_length is not None and status != 204:
                req.responseHeaders.setRawHeaders(
                    b"Content-Length", [content_length]
                )
            length = 0
        elif length is not None:
            req.responseHeaders.setRawHeaders(
                b"Content-Length", [b"%d" % length]
            )
        self._remaining = length
        if self._hold_end and length == 0:
            return
        self.started = True
        req.write(b"")

    def write(self, chunk: bytes) -> None:
        """Writes a part of the body."""
        if self._detached:
            return
        if self._remaining is not None:
            self._remaining -= len(chunk)
            if self._hold_end and self._remaining <= 0:
                self._held += chunk
                return
        self.started = True
        self._req.write(chunk)

    def finish(self) -> None:
        """Ends a whole answer."""
        if self._detached:
            return
        self._detached = True
        if self._held:
            self._req.write(self._held)
        self.started = True
        channel = self._req.channel
        self._req.finish()
        event_loop.flush_transport(channel.transport)

    def abort(self) -> None:
        """Breaks the connection, so that the answer cannot pass for whole."""
        if self._detached:
            return
        self._detached = True
        abort_connection(self._req)


def abort_connection(req: admission.CallersRequest) -> None:
    """Resets the connection of a caller.

    Args:
      req: Request on the connection.
    """
    transport = req.channel.transport if req.channel else None
    if transport is None:
        return
    # Twisted resets the connection here. A plain close would end an answer
    # without length like a whole one.
    transport.abortConnection()


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """How the body of an answer ended.

    Attributes:
      fault: None if the body is whole.
    """

    fault: router_queues.Fault | None


@implementer(interfaces.IPushProducer)
class Pump(protocol.Protocol):
    """Passes the body of an answer on, at the pace of the caller.

    Attributes:
      ended: Fires with an `End` when the body has ended; fails with an
        unexpected exception.
      caller_too_slow: Whether the caller took nothing for too long.
    """

    def __init__(
        self,
        reactor: Any,
        head: forwarding.Head,
        side: CallerSide,
        meter: costs.Meter,
        idle_timeout_s: float,
        kept: held_bytes.Hold | None,
        begun: Callable[[], None] = lambda: None,
    ):
        """Prepares a transfer.

        Args:
          reactor: Source of timers.
          head: Head of the answer.
          side: The caller's end.
          meter: Cost meter of the request.
          idle_timeout_s: Longest pause of either side.
          kept: Counts the bytes kept for resends; None keeps none.
          begun: Called before the first part of the body is passed on.
        """
        self.ended: defer.Deferred = defer.Deferred()
        self.caller_too_slow = False
        self._reactor = reactor
        self._head = head
        self._side = side
        self._meter = meter
        self._idle_timeout_s = idle_timeout_s
        self._hold = kept
        self._begun: Callable[[], None] | None = begun
        self._kept = None if kept is None else bytearray()
        self._truncated = False
        self._paused = False
        self._done = False
        self._fault: router_queues.Fault | None = None
        self._active_s = reactor.seconds()
        self._timer: Any = None

    def run(self) -> defer.Deferred:
        """Starts the transfer.

        Returns:
          `ended`.
        """
        self._head.response.deliverBody(self)
        # A short answer is whole by now and needs no timer.
        if not self._done:
            self._timer = self._reactor.callLater(
                self._idle_timeout_s, self._check_idle
            )
        return self.ended

    def dataReceived(self, chunk: bytes) -> None:
        """Handles a part of the body."""
        if self._done:
            return
        try:
            self._pass_on(chunk)
        except Exception:  # noqa: BLE001
            # Twisted would log it only, and the request would not know.
            self._stop()
            self._head.conn.abort()
            self.ended.errback(failure.Failure())

    def _pass_on(self, chunk: bytes) -> None:
        self._active_s = self._reactor.seconds()
        if self._begun is not None:
            begun, self._begun = self._begun, None
            begun()
        self._meter.feed(chunk)
        if self._kept is not None and not self._truncated:
            self._keep(chunk)
        self._side.write(chunk)

    def _stop(self) -> None:
        self._done = True
        if self._timer and self._timer.active():
            self._timer.cancel()

    def _keep(self, chunk: bytes) -> None:
        size = len(self._kept) + len(chunk)
        if size <= idempotency.MAX_ANSWER_BYTES and self._hold.add(len(chunk)):
            self._kept += chunk
            return
        self._truncated = True
        self._kept.clear()
        self._hold.release()

    def connectionLost(self, reason: failure.Failure) -> None:
        """Handles the end of the body."""
        if self._done:
            return
        self._stop()
        whole = reason.check(_RESPONSE_DONE) or (
            reason.check(_POTENTIAL_DATA_LOSS) and self._closed_cleanly()
        )
        fault = None
        if self._fault or not whole:
            fault = self._fault or router_queues.Fault.CONNECTION_LOST
        self.ended.callback(End(fault))

    def _closed_cleanly(self) -> bool:
        reason = self._head.conn.lost_reason
        return reason is not None and bool(reason.check(error.ConnectionDone))

    def abort(self, fault: router_queues.Fault) -> None:
        """Closes the connection to the backend server.

        Args:
          fault: How the transfer ended.
        """
        if not self._done:
            self._fault = fault
            self._head.conn.abort()

    def release_caller(self) -> None:
        """Goes on without the caller."""
        self._side.detach()
        self.resumeProducing()

    def stored_answer(
        self, headers: tuple[tuple[bytes, bytes], ...]
    ) -> data.StoredAnswer:
        """Returns the answer to keep for resends.

        Args:
          headers: Headers of the answer.
        """
        return data.StoredAnswer(
            status=self._head.status,
            headers=tuple(
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in headers
            ),
            body=bytes(self._kept or b""),
            truncated=self._truncated,
        )

    # -- IPushProducer ------------------------------------------------------

    def pauseProducing(self) -> None:
        """Stops reading: the caller's buffer is full."""
        if not self._done:
            self._paused = True
            self._active_s = self._reactor.seconds()
            self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        """Goes on reading."""
        if not self._done and self._paused:
            self._paused = False
            self._active_s = self._reactor.seconds()
            self.transport.resumeProducing()

    def stopProducing(self) -> None:
        """Does nothing: the loss of the caller is handled by its request."""

    def _check_idle(self) -> None:
        idle_s = self._reactor.seconds() - self._active_s
        if idle_s < self._idle_timeout_s:
            self._timer = self._reactor.callLater(
                self._idle_timeout_s - idle_s, self._check_idle
            )
            return
        if not self._paused:
            self.abort(router_queues.Fault.TIMED_OUT)
            return
        self.caller_too_slow = True
        self._side.abort()
        if self._kept is not None:
            self.release_caller()
            self._timer = self._reactor.callLater(
                self._idle_timeout_s, self._check_idle
            )
        else:
            self.abort(router_queues.Fault.TIMED_OUT)
