"""Limits on callers' connections, headers and bodies.

Requests over a limit are refused while they are still being received. After
such a refusal the connection discards what the caller goes on sending for a
short time, because closing it at once could destroy the answer on its way.
"""

# Methods that override those of twisted keep its names.
# ruff: noqa: N802, N815

import io
import re
from typing import Any
from typing import Protocol
import urllib.parse

from twisted.python import failure
from twisted.web import http
from twisted.web import http_headers
from twisted.web import server

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.daemons import dialects
from waxwingrack.daemons import held_bytes
from waxwingrack.operations import routing

# Time for which a refused caller's remaining bytes are discarded, in seconds.
LINGER_S = 2.0
# Connections above the limit that are kept open just to be refused.
SPARE_CONNECTIONS = 256
MAX_HEADERS = 200
# Paths of the router itself.
OWN_PREFIX = b"/-/"

_METHOD = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,32}")
_URI = re.compile(rb"/[\x21-\x7e]*")


class Front(Protocol):
    """What admission needs from the router."""

    settings: data.Settings
    caller_limits: data.CallerLimits
    reactor: Any
    held: held_bytes.HeldBytes
    dialect: dialects.Dialect

    def owner_of(self, req: "CallersRequest") -> str:
        """Returns for whom the body of a request is held."""

    def write_refusal(
        self,
        req: "CallersRequest",
        kind: errors.ErrorKind,
        stated: errors.Execution,
        reason: str,
    ) -> None:
        """Answers a request with a refusal and logs it."""

    def new_request_id(self) -> str:
        """Returns an id for a request whose caller gave none."""

    def begin(self, req: "CallersRequest") -> Any:
        """Handles a request that is to be forwarded."""

    def failed(self, name: str, exc: BaseException) -> None:
        """Logs and counts an unexpected exception."""


class CallersSite(server.Site):
    """Site of the callers' port.

    Attributes:
      front: The router.
      channels: Open connections of callers.
    """

    def __init__(self, resource: Any, front: Front):
        super().__init__(
            resource,
            requestFactory=CallersRequest,
            timeout=front.caller_limits.idle_connection_s,
        )
        self.protocol = CallersChannel
        self.displayTracebacks = False
        self.front = front
        self.channels: set[CallersChannel] = set()

    def log(self, request: http.Request) -> None:
        """Leaves out the access log; decisions are logged instead."""


class CallersChannel(http.HTTPChannel):
    """Connection of a caller.

    Attributes:
      overflow: Whether the connection is above the limit.
    """

    maxHeaders = MAX_HEADERS
    site: CallersSite

    def __init__(self) -> None:
        super().__init__()
        self.overflow = False
        self._begun = False
        self._headers_whole = False
        self._deadline: Any = None
        self._refused = False
        self._unsent_before = 0
        self._header_bytes = 0

    def connectionMade(self) -> None:
        """Registers the connection."""
        settings = self.site.front.settings
        self.abortTimeout = settings.close_timeout_s
        self._take_limits()
        super().connectionMade()
        limit = settings.max_open_connections
        if len(self.site.channels) >= limit + SPARE_CONNECTIONS:
            self.transport.abortConnection()
            return
        self.overflow = len(self.site.channels) >= limit
        self.site.channels.add(self)

    def _take_limits(self) -> None:
        """Takes the limits in force, before each request of the connection."""
        limits = self.site.front.caller_limits
        # The base class answers its own limits with 400; they are set so that
        # the checks below come first.
        self.totalHeadersSize = limits.max_header_bytes * 2
        self.MAX_LENGTH = limits.max_header_bytes
        self.timeOut = limits.idle_connection_s

    def connectionLost(self, reason: failure.Failure) -> None:
        """Forgets the connection."""
        self.site.channels.discard(self)
        self._cancel_deadline()
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:
        """Starts the time limit of a request that is not whole yet."""
        super().dataReceived(data)
        partial = self._begun or (self._buffer and not self._handlingRequest)
        if partial and self._deadline is None and not self._refused:
            # A pause within a request ends with a refusal, not with a close.
            self.setTimeout(None)
            front = self.site.front
            self._deadline = self.callLater(
                front.settings.body_timeout_s
                if self._headers_whole
                else front.caller_limits.header_timeout_s,
                self.refuse,
                errors.ErrorKind.BODY_TIMEOUT,
            )

    def lineReceived(self, line: bytes) -> None:
        """Counts header bytes."""
        if self._refused:
            return
        self._begun = self._begun or bool(line)
        self._header_bytes += len(line) + 2
        if self._header_bytes > self.site.front.caller_limits.max_header_bytes:
            self.refuse(errors.ErrorKind.HEADERS_TOO_LARGE)
            return
        super().lineReceived(line)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Refuses a line that is longer than all headers may be."""
        self.refuse(errors.ErrorKind.HEADERS_TOO_LARGE)

    def headerReceived(self, line: bytes) -> bool:
        """Refuses too many headers."""
        if self._refused:
            return False
        if self._receivedHeaderCount >= self.maxHeaders:
            self.refuse(errors.ErrorKind.HEADERS_TOO_LARGE)
            return False
        return super().headerReceived(line)

    def allHeadersReceived(self) -> None:
        """Refuses before the caller is told to send its body."""
        if self._refused:
            return
        self._header_bytes = 0
        self._headers_whole = True
        # The body has a time limit of its own.
        self._cancel_deadline()
        if self.overflow:
            self.refuse(errors.ErrorKind.TOO_MANY_CONNECTIONS)
            return
        if (self.length or 0) > self.site.front.caller_limits.max_body_bytes:
            self.refuse(errors.ErrorKind.BODY_TOO_LARGE)
            return
        super().allHeadersReceived()

    def writeHeaders(
        self,
        version: bytes,
        code: bytes,
        reason: bytes,
        headers: http_headers.Headers,
    ) -> None:
        """Writes the head of an answer in one piece.

        The base class writes four pieces for each header, and the transport
        checks each of them.
        """
        lines = [b" ".join((version, code, reason))]
        for name, values in headers.getAllRawHeaders():
            lines.extend([b"%b: %b" % (name, value) for value in values])
        self.transport.write(b"\r\n".join(lines) + b"\r\n\r\n")

    def rawDataReceived(self, data: bytes) -> None:
        """Passes on the body."""
        if not self._refused:
            super().rawDataReceived(data)

    def allContentReceived(self) -> None:
        """Ends the time limit of the request."""
        if not self._refused:
            self._begun = self._headers_whole = False
            self._cancel_deadline()
            self._take_limits()
            # The base class restores this time once the request is answered.
            self.setTimeout(self.timeOut)
            super().allContentReceived()

    def _respondToBadRequestAndDisconnect(self) -> None:
        self.refuse(errors.ErrorKind.BAD_REQUEST)

    def refuse(self, kind: errors.ErrorKind) -> None:
        """Refuses a request that is being received and ends the connection.

        Args:
          kind: Error kind.
        """
        if self._refused:
            return
        self._refused = True
        self._cancel_deadline()
        self.setTimeout(None)
        self.persistent = False
        req = self.requests[-1] if self.requests else self._placeholder()
        req.clientproto = b"HTTP/1.1"
        req.method = getattr(self, "_command", b"GET")
        req.uri = req.path = getattr(self, "_path", b"/")
        self.site.front.write_refusal(
            req, kind, errors.ANSWERS[kind].execution, "limit"
        )

    def loseConnection(self) -> None:
        """Ends the connection; lingers if the caller may still be sending."""
        if not self._refused:
            super().loseConnection()
            self._limit_close(self._unsent_bytes())
            return
        self._networkProducer.unregisterProducer()
        self.transport.loseWriteConnection()
        self.callLater(LINGER_S, self.transport.abortConnection)

    def forceAbortClient(self) -> None:
        """Resets the connection if its caller has stopped reading."""
        unsent, self._abortingCall = self._unsent_bytes(), None
        if unsent < self._unsent_before:
            self._limit_close(unsent)
        else:
            self.transport.abortConnection()

    def _limit_close(self, unsent: int) -> None:
        """Bounds the time in which the caller takes nothing."""
        self._unsent_before = unsent
        if self._abortingCall is None:
            self._abortingCall = self.callLater(
                self.site.front.settings.close_timeout_s, self.forceAbortClient
            )

    def _unsent_bytes(self) -> int:
        conn = self.transport
        return len(conn.dataBuffer) - conn.offset + conn._tempDataLen

    def close_when_idle(self) -> None:
        """Closes the connection unless a request is open on it."""
        self.persistent = False
        if not self.requests:
            self.loseConnection()

    def _placeholder(self) -> "CallersRequest":
        req = CallersRequest(self)
        self.requests.append(req)
        return req

    def _cancel_deadline(self) -> None:
        if self._deadline is not None and self._deadline.active():
            self._deadline.cancel()
        self._deadline = None


class CallersRequest(server.Request):
    """Request of a caller; its body is kept in memory.

    Attributes:
      request_id: Id of the request, from the caller or made by the router.
      request_id_valid: Whether the caller's id may be used.
      token_digest: Digest of the caller's token, None without a bearer token.
      body_in_use: Whether the body is needed longer than the connection; it
        is then released by `release_body`.
    """

    defaultContentType = None
    content: io.BytesIO

    def __init__(self, channel: CallersChannel, queued: Any = False):
        del queued  # Requests of a connection are handled one by one.
        super().__init__(channel, False, parsePOSTFormSubmission=False)
        self.request_id = ""
        self.request_id_valid = True
        self.token_digest: str | None = None
        self.body_in_use = False
        self._received = 0
        self._hold: held_bytes.Hold | None = None

    def gotLength(self, length: int | None) -> None:
        """Prepares for the body."""
        self.content = io.BytesIO()
        front = self.channel.site.front
        given = self.requestHeaders.getRawHeaders(b"Authorization")
        self.token_digest = routing.digest_token(
            given[0].decode("latin-1") if given else None
        )
        self._hold = front.held.open(front.owner_of(self))

    def parseCookies(self) -> None:
        """Leaves cookies to the backend servers."""

    def handleContentChunk(self, data: bytes) -> None:
        """Takes a part of the body."""
        self._received += len(data)
        if (
            self._received
            > self.channel.site.front.caller_limits.max_body_bytes
        ):
            self.channel.refuse(errors.ErrorKind.BODY_TOO_LARGE)
            return
        if not self._hold.add(len(data)):
            self.channel.refuse(errors.ErrorKind.BUFFER_FULL)
            return
        self.content.write(data)

    def finish(self) -> None:
        """Ends the answer."""
        super().finish()
        self._ended()

    def connectionLost(self, reason: failure.Failure) -> None:
        """Handles the loss of the caller."""
        super().connectionLost(reason)
        self._ended()

    def release_body(self) -> None:
        """Gives the bytes of the body back; it is not needed any more."""
        self.content = io.BytesIO()
        if self._hold:
            self._hold.release()

    def _ended(self) -> None:
        if not self.body_in_use:
            self.release_body()

    def process(self) -> None:
        """Checks the request line and passes the request on."""
        self.site = self.channel.site
        self.setHeader(b"Date", http.datetimeToString())
        self.take_request_id()
        if not self._well_formed():
            self.site.front.write_refusal(
                self,
                errors.ErrorKind.BAD_REQUEST,
                errors.Execution.NOT_RUN,
                "request_line_or_host",
            )
            return
        try:
            # Only the router's own paths are looked up by klein; all others
            # are matched by the tables of the environment, byte for byte.
            if self.path.startswith(OWN_PREFIX):
                self.prepath = []
                self.postpath = [
                    urllib.parse.unquote_to_bytes(part)
                    for part in self._segments()
                ]
                self.render(self.site.resource)
            else:
                self.site.front.begin(self)
        except Exception:  # noqa: BLE001
            self.processingFailed(failure.Failure())

    def take_request_id(self) -> None:
        """Reads the caller's id, or makes one."""
        name = self.channel.site.front.dialect.request_id
        given = self.requestHeaders.getRawHeaders(name) or []
        text = given[0].decode("latin-1") if given else ""
        self.request_id_valid = not given or (
            len(given) == 1 and routing.is_valid_request_id(text)
        )
        self.request_id = (
            text
            if given and self.request_id_valid
            else self.channel.site.front.new_request_id()
        )

    def processingFailed(self, reason: failure.Failure) -> None:
        """Answers an unexpected exception."""
        front = self.channel.site.front
        front.failed("request_failed", reason.value)
        if self.startedWriting:
            self.channel.transport.abortConnection()
        elif not self.finished:
            front.write_refusal(
                self,
                errors.ErrorKind.INTERNAL,
                errors.Execution.MAY_HAVE_RUN,
                "exception",
            )

    def _segments(self) -> list[bytes]:
        return self.path[1:].split(b"/")

    def _well_formed(self) -> bool:
        hosts = self.requestHeaders.getRawHeaders(b"Host") or []
        if not _METHOD.fullmatch(self.method) or self.method == b"CONNECT":
            return False
        if not _URI.fullmatch(self.uri) or len(hosts) > 1:
            return False
        try:
            urllib.parse.unquote_to_bytes(self.path).decode()
        except UnicodeDecodeError:
            return not self.path.startswith(OWN_PREFIX)
        return True
