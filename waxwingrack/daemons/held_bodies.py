"""Holds the beginning of an answer back until it is known to be wanted.

While two copies of a request race, an answer counts as begun with the first
event of a stream, or the first byte of any other body. Until then nothing of it
may reach the caller, as the other copy may still win.
"""

# Methods that override those of Twisted keep its names.
# ruff: noqa: N802, N815

from typing import Any

from twisted.internet import defer
from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import client

from waxwingrack.daemons import answers
from waxwingrack.daemons import forwarding
from waxwingrack.operations import event_streams
from waxwingrack.operations import router_queues

# Bytes of a stream that are held without an event; more count as its beginning,
# so that the memory of a held answer is bounded.
MAX_HELD_BYTES = 64 * 1024


class HeldBody(protocol.Protocol):
    """Takes the place of the response of an answer head.

    It reads the body until it has begun, then pauses the server until
    `deliverBody` names the receiver.
    """

    def __init__(
        self, reactor: Any, head: forwarding.AnswerHead, timeout_s: float
    ):
        """Prepares to hold a body.

        Args:
          reactor: Source of timers.
          head: Head of the answer.
          timeout_s: Longest time until the body begins.
        """
        self._head = head
        self._begun: defer.Deferred = defer.Deferred()
        self._timer = reactor.callLater(timeout_s, self._time_out)
        self._is_stream = answers.is_event_stream(head)
        self._position = event_streams.StreamPosition()
        self._chunks: list[bytes] = []
        self._held_bytes = 0
        self._has_begun = False
        self._delivering = False
        self._end: failure.Failure | None = None
        self._receiver: Any = None

    def start(self) -> defer.Deferred:
        """Starts to read.

        Returns:
          A Deferred that fires when the body has begun, and fails with
          NoAnswerError if it breaks or times out before.
        """
        self._delivering = True
        self._head.response.deliverBody(self)
        self._delivering = False
        self._settle()
        return self._begun

    def dataReceived(self, chunk: bytes) -> None:
        """Keeps a part of the body, or passes it on."""
        if self._receiver is not None:
            self._receiver.dataReceived(chunk)
            return
        self._chunks.append(chunk)
        self._held_bytes += len(chunk)
        progressed = True
        if self._is_stream and not self._has_begun:
            self._position, progressed = event_streams.advance(
                self._position, chunk
            )
        if progressed or self._held_bytes > MAX_HELD_BYTES:
            self._has_begun = True
        self._settle()

    def connectionLost(self, reason: failure.Failure) -> None:
        """Keeps the end of the body, or passes it on."""
        if self._receiver is not None:
            self._receiver.connectionLost(reason)
            return
        self._end = reason
        # An answer without a body, or a stream without an event, has begun if
        # it is complete.
        self._has_begun = self._has_begun or self._is_complete(reason)
        self._settle()

    def _is_complete(self, reason: failure.Failure) -> bool:
        if reason.check(client.ResponseDone):
            return True
        lost = self._head.conn.lost_reason
        return (
            not self._is_stream
            and lost is not None
            and bool(lost.check(error.ConnectionDone))
        )

    def _settle(self) -> None:
        """Fires the Deferred once the body has begun or can't begin."""
        if self._delivering or self._receiver is not None:
            return
        if self._has_begun and self._end is None:
            self.transport.pauseProducing()
        if self._begun.called:
            return
        if self._has_begun:
            self._stop_timer()
            self._begun.callback(None)
        elif self._end is not None:
            self._fail(self._head.conn.find_loss())

    def _time_out(self) -> None:
        self._head.conn.transport.abortConnection()
        self._fail(router_queues.Fault.TIMED_OUT)

    def _fail(self, fault: router_queues.Fault) -> None:
        self._stop_timer()
        if not self._begun.called:
            self._begun.errback(forwarding.NoAnswerError(fault))

    def _stop_timer(self) -> None:
        if self._timer.active():
            self._timer.cancel()

    def discard(self) -> None:
        """Closes the connection to the server unless the body has ended.

        The connection of a body that has ended may serve another request.
        """
        self._stop_timer()
        if self._end is None:
            self._head.conn.transport.abortConnection()

    def deliverBody(self, receiver: Any) -> None:
        """Passes the body on, from its beginning.

        Args:
          receiver: Protocol that gets the body, as for a response of Twisted.
        """
        self._receiver = receiver
        receiver.makeConnection(self.transport)
        for chunk in self._chunks:
            receiver.dataReceived(chunk)
        self._chunks.clear()
        if self._end is not None:
            receiver.connectionLost(self._end)
        else:
            self.transport.resumeProducing()
