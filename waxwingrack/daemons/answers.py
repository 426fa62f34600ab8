"""Relays answers of backend servers to callers."""

# Methods that override those of Twisted keep its names.
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
from waxwingrack.daemons import buffer_reservations
from waxwingrack.daemons import event_loop
from waxwingrack.daemons import forwarding
from waxwingrack.operations import costs
from waxwingrack.operations import event_streams
from waxwingrack.operations import idempotency
from waxwingrack.operations import router_queues

# Bound here because each attribute access to these modules runs their check for
# deprecated names.
_RESPONSE_DONE = client.ResponseDone
_POTENTIAL_DATA_LOSS = http.PotentialDataLoss
_NO_BODY_STATUS = frozenset({204, 304})
_EVENT_STREAM = b"text/event-stream"
# Line ends that close an event of a stream.
_EVENT_ENDS = (b"\n\n", b"\r\r", b"\r\n\r\n")


class CallerWriter:
    """Writes an answer to its caller.

    Attributes:
      started: Whether any part of the answer has been written.
    """

    def __init__(self, req: admission.CallersRequest, withhold_end: bool):
        """Prepares an answer.

        Args:
          req: Request of the caller.
          withhold_end: Whether the end of the answer is withheld from the
            caller until `finish` is called.
        """
        self._req = req
        self._withhold_end = withhold_end
        self._remaining_bytes: int | None = None
        self._withheld_bytes = b""
        self._detached = False
        self.started = False

    @property
    def attached(self) -> bool:
        """Whether the answer is still written to the caller."""
        return not self._detached

    def detach(self) -> None:
        """Stops writing because the caller is gone or too slow."""
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
          phrase: Reason phrase, None for the standard one.
          headers: Headers of the answer.
          length: Length of the body; None if unknown.
          content_length: Content-Length of an answer without a body.
        """
        if self._detached:
            return
        req = self._req
        req.setResponseCode(status, phrase)
        for name in dict.fromkeys(name.lower() for name, _ in headers):
            req.responseHeaders.removeHeader(name)
        for name, value in headers:
            req.responseHeaders.addRawHeader(name, value)
        has_no_body = req.method == b"HEAD" or status in _NO_BODY_STATUS
        if has_no_body:
            if content_length is not None and status != 204:
                req.responseHeaders.setRawHeaders(
                    b"Content-Length", [content_length]
                )
            length = 0
        elif length is not None:
            req.responseHeaders.setRawHeaders(
                b"Content-Length", [b"%d" % length]
            )
        self._remaining_bytes = length
        if self._withhold_end and length == 0:
            return
        self.started = True
        req.write(b"")

    def write(self, chunk: bytes) -> None:
        """Writes a part of the body."""
        if self._detached:
            return
        if self._remaining_bytes is not None:
            self._remaining_bytes -= len(chunk)
            if self._withhold_end and self._remaining_bytes <= 0:
                self._withheld_bytes += chunk
                return
        self.started = True
        self._req.write(chunk)

    def finish(self) -> None:
        """Ends a complete answer."""
        if self._detached:
            return
        self._detached = True
        if self._withheld_bytes:
            self._req.write(self._withheld_bytes)
        self.started = True
        channel = self._req.channel
        self._req.finish()
        event_loop.flush_transport(channel.transport)

    def abort(self) -> None:
        """Resets the connection, so that the answer is seen as incomplete."""
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
    # This resets the connection. A regular close would make an answer without
    # length look complete.
    transport.abortConnection()


def is_event_stream(head: forwarding.AnswerHead) -> bool:
    """Tells whether an answer is a stream of events.

    Args:
      head: Head of the answer.
    """
    return any(
        value.lower().startswith(_EVENT_STREAM)
        for name, value in head.headers
        if name.lower() == b"content-type"
    )


@dataclasses.dataclass(frozen=True, slots=True)
class BodyEnd:
    """End of the body of an answer.

    Attributes:
      fault: Why the body is incomplete; None if it is complete.
    """

    fault: router_queues.Fault | None


@implementer(interfaces.IPushProducer)
class BodyRelay(protocol.Protocol):
    """Relays the body of an answer at the pace of the caller.

    Attributes:
      ended: Fires with an `End` when the body has ended; fails with an
        unexpected exception.
      caller_too_slow: Whether the caller has read nothing for too long.
    """

    def __init__(
        self,
        reactor: Any,
        head: forwarding.AnswerHead,
        writer: CallerWriter,
        meter: costs.Meter,
        idle_timeout_s: float,
        reservation: buffer_reservations.Reservation | None,
        on_first_byte: Callable[[], None] = lambda: None,
        on_begin: Callable[[], None] = lambda: None,
    ):
        """Prepares a transfer.

        Args:
          reactor: Source of timers.
          head: Head of the answer.
          writer: Writes the answer to the caller.
          meter: Cost meter of the request.
          idle_timeout_s: Maximum pause of the server or of the caller. In an
            event stream, only a complete event with data ends a pause of the
            server.
          reservation: Buffer bytes of the copy that is stored for resends; None
            if no copy is stored.
          on_first_byte: Called before the first part of the body is relayed.
          on_begin: Called once the answer has begun: at the start of the
            transfer, or at the first event of an event stream.
        """
        self.ended: defer.Deferred = defer.Deferred()
        self.caller_too_slow = False
        self._reactor = reactor
        self._head = head
        self._writer = writer
        self._meter = meter
        self._idle_timeout_s = idle_timeout_s
        self._reservation = reservation
        self._on_first_byte: Callable[[], None] | None = on_first_byte
        self._on_begin: Callable[[], None] | None = on_begin
        self._stored_body = None if reservation is None else bytearray()
        self._truncated = False
        self._paused = False
        self._done = False
        self._fault: router_queues.Fault | None = None
        self._is_event_stream = is_event_stream(head)
        # Last bytes of the body, as many as the longest end of an event.
        self._last_bytes = b""
        self._position = event_streams.StreamPosition()
        self._last_active_s = reactor.seconds()
        self._timer: Any = None

    def run(self) -> defer.Deferred:
        """Starts the transfer.

        Returns:
          `ended`.
        """
        if not self._is_event_stream:
            self._note_begin()
        self._head.response.deliverBody(self)
        # A short answer is already complete and needs no timer.
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
            self._relay_chunk(chunk)
        except Exception:  # noqa: BLE001
            # Twisted would only log the exception, and the request would not
            # learn of it.
            self._stop()
            self._head.conn.abort()
            self.ended.errback(failure.Failure())

    def _relay_chunk(self, chunk: bytes) -> None:
        if self._is_progress(chunk):
            self._last_active_s = self._reactor.seconds()
            self._note_begin()
        if self._on_first_byte is not None:
            on_first_byte, self._on_first_byte = self._on_first_byte, None
            on_first_byte()
        self._meter.feed(chunk)
        self._last_bytes = (self._last_bytes + chunk)[-4:]
        if self._stored_body is not None and not self._truncated:
            self._store_chunk(chunk)
        self._writer.write(chunk)

    def _note_begin(self) -> None:
        if self._on_begin is not None:
            on_begin, self._on_begin = self._on_begin, None
            on_begin()

    def _is_progress(self, chunk: bytes) -> bool:
        if not self._is_event_stream:
            return True
        self._position, progressed = event_streams.advance(
            self._position, chunk
        )
        return progressed

    def _stop(self) -> None:
        self._done = True
        if self._timer and self._timer.active():
            self._timer.cancel()

    def _store_chunk(self, chunk: bytes) -> None:
        size = len(self._stored_body) + len(chunk)
        if size <= idempotency.MAX_ANSWER_BYTES and self._reservation.add(
            len(chunk)
        ):
            self._stored_body += chunk
            return
        self._truncated = True
        self._stored_body.clear()
        self._reservation.release()

    def connectionLost(self, reason: failure.Failure) -> None:
        """Handles the end of the body."""
        if self._done:
            return
        self._stop()
        complete = reason.check(_RESPONSE_DONE) or (
            reason.check(_POTENTIAL_DATA_LOSS)
            and self._is_closed_cleanly()
            and self._is_whole_stream()
        )
        fault = None
        if self._fault or not complete:
            fault = self._fault or self._head.conn.find_loss()
        self.ended.callback(BodyEnd(fault))

    def _is_closed_cleanly(self) -> bool:
        reason = self._head.conn.lost_reason
        return reason is not None and bool(reason.check(error.ConnectionDone))

    def _is_whole_stream(self) -> bool:
        """Returns whether an event stream ended after a whole event.

        Where only the end of the connection ends a stream, a server that
        crashed looks like one that has finished.
        """
        return not self._is_event_stream or self._last_bytes.endswith(
            _EVENT_ENDS
        )

    def abort(self, fault: router_queues.Fault) -> None:
        """Closes the connection to the backend server.

        Args:
          fault: How the transfer ended.
        """
        if not self._done:
            self._fault = fault
            self._head.conn.abort()

    def continue_without_caller(self) -> None:
        """Detaches the caller and reads the answer to its end."""
        self._writer.detach()
        self.resumeProducing()

    def build_stored_answer(
        self, headers: tuple[tuple[bytes, bytes], ...]
    ) -> data.StoredAnswer:
        """Builds the answer to store for resends.

        Args:
          headers: Headers of the answer.
        """
        return data.StoredAnswer(
            status=self._head.status,
            headers=tuple(
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in headers
            ),
            body=bytes(self._stored_body or b""),
            truncated=self._truncated,
        )

    # -- IPushProducer ------------------------------------------------------

    def pauseProducing(self) -> None:
        """Stops reading: the caller's buffer is full."""
        if not self._done:
            self._paused = True
            self._last_active_s = self._reactor.seconds()
            self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        """Resumes reading."""
        if not self._done and self._paused:
            self._paused = False
            self._last_active_s = self._reactor.seconds()
            self.transport.resumeProducing()

    def stopProducing(self) -> None:
        """Does nothing: the exchange handles the loss of the caller."""

    def _check_idle(self) -> None:
        idle_s = self._reactor.seconds() - self._last_active_s
        if idle_s < self._idle_timeout_s:
            self._timer = self._reactor.callLater(
                self._idle_timeout_s - idle_s, self._check_idle
            )
            return
        if not self._paused:
            self.abort(router_queues.Fault.TIMED_OUT)
            return
        self.caller_too_slow = True
        self._writer.abort()
        if self._stored_body is not None:
            self.continue_without_caller()
            self._timer = self._reactor.callLater(
                self._idle_timeout_s, self._check_idle
            )
        else:
            self.abort(router_queues.Fault.TIMED_OUT)
