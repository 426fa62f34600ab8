"""Paces the bytes that a router relays, to leave room for control traffic.

A connection whose read filled its buffer has more to read. It is read again
when the link has passed what was read before; until then TCP holds its sender
back.
Short reads, such as the events of a stream, are counted and never delayed.
Bodies for backend servers are written in short pieces.
"""

# Methods that implement interfaces of Twisted keep their names.
# ruff: noqa: N802

from typing import Any

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.web import iweb
from zope.interface import implementer

from waxwingrack.daemons import event_loop
from waxwingrack.operations import link_pacing


class LinkPacer:
    """Paces one router's network link.

    Attributes:
      held_reads: Number of reads that were delayed.
    """

    def __init__(self, reactor: Any, link_mbps: float):
        """Prepares the pacer.

        Args:
          reactor: Source of time and timers.
          link_mbps: Capacity of the link in each direction in megabits per
            second; 0 if it is not known, and nothing is paced then.
        """
        self.held_reads = 0
        self._reactor = reactor
        self._incoming = self._outgoing = link_pacing.create_pace(link_mbps)
        # Unwritten bytes of the bodies that are being written, first come,
        # first served: bodies that share the link would all be late.
        self._bodies: dict[PacedBody, int] = {}
        self._queued_bytes = 0
        self._timer: Any = None

    def count_read(
        self, transport: Any, size: int, relayed_at_once: bool
    ) -> None:
        """Charges bytes that were read and delays the next read if needed.

        Args:
          transport: Connection that they came on.
          size: Number of bytes.
          relayed_at_once: Whether they are written again at once, as those of
            an answer are.
        """
        if self._incoming is None:
            return
        now_s = self._reactor.seconds()
        self._incoming = link_pacing.add_bytes(self._incoming, size, now_s)
        wait_s = link_pacing.find_wait_s(self._incoming, now_s)
        if relayed_at_once:
            self._outgoing = link_pacing.add_bytes(self._outgoing, size, now_s)
            wait_s = max(wait_s, link_pacing.find_wait_s(self._outgoing, now_s))
        piece_bytes = self._incoming.piece_bytes
        has_more = size >= min(piece_bytes, transport.bufferSize)
        transport.bufferSize = piece_bytes
        if has_more and wait_s > 0:
            self.held_reads += 1
            event_loop.hold_reading(transport, wait_s)

    def find_wait_ms(self) -> float:
        """Returns how long a body that comes now waits for the link.

        What has come in does not count: it has passed the link already.
        """
        if self._outgoing is None:
            return 0.0
        backlog_s = link_pacing.find_backlog_s(
            self._outgoing, self._reactor.seconds()
        )
        return 1_000 * (
            backlog_s + self._queued_bytes / self._outgoing.bytes_per_s
        )

    def estimate_write_s(self, size: int) -> float:
        """Returns how long it takes until a body is written, in seconds.

        Args:
          size: Length of the body in bytes.
        """
        if self._outgoing is None or size <= self._outgoing.piece_bytes:
            return 0.0
        return self.find_wait_ms() / 1_000 + size / self._outgoing.bytes_per_s

    def make_producer(self, body: bytes) -> "PacedBody | None":
        """Returns a producer that writes a body in pieces.

        Args:
          body: Body of a request to a backend server.

        Returns:
          The producer; None if the body is written at once.
        """
        if self._outgoing is None:
            return None
        if len(body) <= self._outgoing.piece_bytes:
            self._charge_written(len(body))
            return None
        return PacedBody(self, body)

    def _charge_written(self, size: int) -> None:
        self._outgoing = link_pacing.add_bytes(
            self._outgoing, size, self._reactor.seconds()
        )

    # -- bodies that wait for the link --------------------------------------

    def enqueue(self, body: "PacedBody") -> None:
        """Writes a body after those that came before it."""
        self._bodies[body] = body.unwritten_bytes
        self._queued_bytes += body.unwritten_bytes
        if self._timer is None:
            self._write_pieces()

    def remove(self, body: "PacedBody") -> None:
        """Writes nothing more of a body."""
        self._queued_bytes -= self._bodies.pop(body, 0)

    def _write_pieces(self) -> None:
        """Writes pieces of the first body until the link must be waited for."""
        self._timer = None
        # The end of a body may start another one, which calls this, too.
        while self._bodies and self._timer is None:
            wait_s = link_pacing.find_wait_s(
                self._outgoing, self._reactor.seconds()
            )
            if wait_s > 0:
                self._timer = self._reactor.callLater(
                    wait_s, self._write_pieces
                )
                return
            body = next(iter(self._bodies))
            size = min(self._outgoing.piece_bytes, body.unwritten_bytes)
            self._bodies[body] -= size
            self._queued_bytes -= size
            self._charge_written(size)
            if size == body.unwritten_bytes:
                self.remove(body)
            body.write_piece(size)


@implementer(iweb.IBodyProducer, interfaces.IPushProducer)
class PacedBody:
    """Body producer that writes a body in pieces at the pace of the link."""

    def __init__(self, pacer: LinkPacer, body: bytes):
        self.length = len(body)
        self._pacer = pacer
        self._body = memoryview(body)
        self._consumer: Any = None
        self._is_stopped = False
        self._finished: defer.Deferred = defer.Deferred(
            lambda _: self.stopProducing()
        )

    @property
    def unwritten_bytes(self) -> int:
        """Bytes that have not been written yet."""
        return len(self._body)

    def startProducing(self, consumer: Any) -> defer.Deferred:
        """Queues the body.

        Returns:
          Deferred that fires once the whole body has been written.
        """
        self._consumer = consumer
        self._pacer.enqueue(self)
        return self._finished

    def write_piece(self, size: int) -> None:
        """Writes the next bytes of the body."""
        piece, self._body = bytes(self._body[:size]), self._body[size:]
        self._consumer.write(piece)
        if not self._body and not self._finished.called:
            self._finished.callback(None)

    def pauseProducing(self) -> None:
        """Lets other bodies pass: the server reads too slowly."""
        self._pacer.remove(self)

    def resumeProducing(self) -> None:
        """Queues the rest of the body."""
        if self._body and not self._is_stopped:
            self._pacer.remove(self)
            self._pacer.enqueue(self)

    def stopProducing(self) -> None:
        """Ends the transfer; the rest of the body is not written."""
        self._is_stopped = True
        self._pacer.remove(self)
