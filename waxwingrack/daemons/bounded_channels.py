"""HTTP connections that yield to others between the steps of costly work.

The decisions are those of `operations/connection_budgets.py`.
"""

# Methods that override those of Twisted keep its names.
# ruff: noqa: N802

from typing import Any

from twisted.python import failure
from twisted.web import http

from waxwingrack.core import errors
from waxwingrack.core import logs
from waxwingrack.daemons import checked_parsing
from waxwingrack.daemons import event_loop
from waxwingrack.operations import connection_budgets
from waxwingrack.operations import http_syntax

_REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 2\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


class BoundedChannel(http.HTTPChannel):
    """Connection whose work in one turn of the event loop is bounded.

    While a connection waits for its turn it is not read, and what it has
    received stays in the line buffer (`paused` of the base class).
    """

    def __init__(self) -> None:
        super().__init__()
        self._refused = False
        # Chunks of a body decoded in one step.
        self._parts: list[bytes] = []
        self._body_use = connection_budgets.BodyUse()
        self._unread_check_s = 0.0
        self._unread_check: Any = None
        self._has_logged_cost = False

    @property
    def max_pipelined_requests(self) -> int:
        """Maximum number of requests that may wait on the connection."""
        return connection_budgets.MAX_PIPELINED_REQUESTS

    def headerReceived(self, line: bytes) -> bool:
        """Refuses a field that HTTP does not allow."""
        if not http_syntax.is_field_line(line):
            self._respondToBadRequestAndDisconnect()
            return False
        return super().headerReceived(line)

    def allHeadersReceived(self) -> None:
        """Refuses a target that HTTP does not allow."""
        if http_syntax.is_request_target(self._path):
            super().allHeadersReceived()
        else:
            self._respondToBadRequestAndDisconnect()

    def _maybeChooseTransferDecoder(self, header: bytes, data: bytes) -> bool:
        chosen = super()._maybeChooseTransferDecoder(header, data)
        decoder = self._transferDecoder
        if type(decoder) is http._ChunkedTransferDecoder:
            self._transferDecoder = checked_parsing.ChunkedBodyDecoder(
                decoder.dataCallback, decoder.finishCallback
            )
        return chosen

    def dataReceived(self, data: bytes) -> None:
        """Handles received bytes, in a later turn if the work is costly."""
        if self._refused:
            return
        if data and connection_budgets.is_costly(self._body_use):
            self._yield_turn()
        super().dataReceived(data)

    def rawDataReceived(self, data: bytes) -> None:
        """Handles a part of a body, a chunked one step by step."""
        if self._handlingRequest or self.length is not None:
            super().rawDataReceived(data)
            return
        step = connection_budgets.STEP_BYTES
        # The request gets the chunks of a step in one piece.
        self._transferDecoder.dataCallback = self._parts.append
        super().rawDataReceived(data[:step])
        self._hand_over_parts()
        if self._refused:
            return
        self._buffer += data[step:]
        if self._handlingRequest or self._transferDecoder is None:
            return
        verdict = connection_budgets.judge_body(
            self._body_use, event_loop.count_costly(self._reactor)
        )
        if verdict is connection_budgets.Verdict.REFUSE:
            self.refuse_costly(errors.ErrorKind.ROUTER_SATURATED)
        elif verdict is connection_budgets.Verdict.YIELD:
            self._yield_turn()

    def _finishRequestBody(self, data: bytes) -> None:
        self._hand_over_parts()
        super()._finishRequestBody(data)

    def _hand_over_parts(self) -> None:
        if not self._parts:
            return
        parts, self._parts = self._parts, []
        body, use = b"".join(parts), self._body_use
        self._body_use = connection_budgets.BodyUse(
            use.parts + len(parts), use.size + len(body)
        )
        self.requests[-1].handleContentChunk(body)

    def allContentReceived(self) -> None:
        """Passes a whole request on."""
        if self._refused:
            return
        self._body_use = connection_budgets.BodyUse()
        super().allContentReceived()

    def _respondToBadRequestAndDisconnect(self) -> None:
        self._refused = True
        super()._respondToBadRequestAndDisconnect()

    def requestDone(self, request: Any) -> None:
        """Yields before the next request if it was sent ahead of the answer."""
        verdict = connection_budgets.Verdict.CONTINUE
        if self.persistent:
            verdict = connection_budgets.judge_pipeline(
                self._buffer + b"".join(self._dataBuffer),
                self.max_pipelined_requests,
            )
        # The base class handles what has been received unless it is paused.
        self.paused = verdict is not connection_budgets.Verdict.CONTINUE
        super().requestDone(request)
        if verdict is connection_budgets.Verdict.REFUSE:
            self.refuse_costly(errors.ErrorKind.TOO_MANY_CONNECTIONS)
        elif self.paused:
            self._yield_turn()

    def refuse_costly(self, kind: errors.ErrorKind) -> None:
        """Refuses what has not been handled yet and closes the connection.

        Args:
          kind: Error kind.
        """
        logs.event(
            "costly_connection_closed",
            peer=str(self.transport.getPeer()),
            reason=str(kind),
        )
        self._refused = True
        self.discard_received()
        self.transport.write(_REFUSAL)
        self.loseConnection()

    def discard_received(self) -> None:
        """Discards the bytes that wait, and reads further ones."""
        self._buffer = b""
        self._dataBuffer, self._parts = [], []
        if self.paused:
            self.paused = False
            self._networkProducer.resumeProducing()

    def resumeProducing(self) -> None:
        """Resumes reading unless the connection waits for its turn."""
        super().resumeProducing()
        if self.paused:
            self._networkProducer.pauseProducing()

    def connectionLost(self, reason: failure.Failure) -> None:
        """Ends the wait for a turn."""
        self.paused = False
        if self._unread_check is not None:
            self._unread_check.cancel()
            self._unread_check = None
        super().connectionLost(reason)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that the caller has not taken yet."""
        return 0 if self.transport is None else self._unsent_bytes()

    def _unsent_bytes(self) -> int:
        conn = self.transport
        return len(conn.dataBuffer) - conn.offset + conn._tempDataLen

    @property
    def _reactor(self) -> Any:
        return getattr(self.transport, "reactor", None)

    def _yield_turn(self) -> None:
        """Waits for a turn of the loop in which nothing else is due first."""
        self.paused = True
        self._networkProducer.pauseProducing()
        if connection_budgets.is_costly(self._body_use):
            self._log_tiny_parts()
        if not event_loop.do_costly(self._reactor, self, self._take_turn):
            self.callLater(0, self._take_turn)

    def _take_turn(self) -> None:
        """Handles the next step of what has been received."""
        self._unread_check = None
        if not self.paused or self.transport.disconnecting:
            # Refused, lost, or being closed; no further request may begin then.
            return
        event_loop.flush_transport(self.transport)
        if self.unsent_bytes and not self.requests:
            # Answers that nobody reads would pile up here.
            self._unread_check_s = connection_budgets.next_unread_check_s(
                self._unread_check_s
            )
            self._unread_check = self.callLater(
                self._unread_check_s, self._take_turn
            )
            return
        self._unread_check_s = 0.0
        self.paused = False
        if not self.persistent and not self.requests:
            self.loseConnection()
            return
        if not self._waitingForTransport and not self._handlingRequest:
            self._networkProducer.resumeProducing()
        self.dataReceived(b"")

    def _log_tiny_parts(self) -> None:
        if not self._has_logged_cost:
            self._has_logged_cost = True
            logs.event("costly_body", peer=str(self.transport.getPeer()))
