"""Limits on callers' connections, headers and bodies.

A request over a limit is refused while it is still being received. After the
refusal the connection stays open for a short time and discards what the caller
sends: closing it at once could reset it before the caller has read the answer.
"""

# Methods that override those of Twisted keep its names.
# ruff: noqa: N802, N815

import io
import re
import socket
from typing import Any
from typing import Protocol
import urllib.parse

from twisted.python import failure
from twisted.web import http
from twisted.web import http_headers
from twisted.web import server

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.daemons import bounded_channels
from waxwingrack.daemons import buffer_reservations
from waxwingrack.daemons import dialects
from waxwingrack.daemons import event_loop
from waxwingrack.operations import http_syntax
from waxwingrack.operations import routing

# Time for which a connection stays open after a refusal and discards input.
LINGER_S = 2.0
# Connections accepted above the limit so that their requests get a refusal.
REFUSAL_CONNECTIONS = 256
MAX_HEADERS = 200
# Prefix of the paths that the router serves itself.
OWN_PATH_PREFIX = b"/-/"

_METHOD = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,32}")
_URI = re.compile(rb"/[\x21-\x7e]*")


class Host(Protocol):
    """Interface of the router that this module uses."""

    settings: data.Settings
    caller_limits: data.CallerLimits
    reactor: Any
    buffers: buffer_reservations.BufferReservations
    dialect: dialects.Dialect

    def find_buffer_owner(self, req: "CallersRequest") -> str:
        """Returns the owner to whom the body of a request is charged."""

    def write_refusal(
        self,
        req: "CallersRequest",
        kind: errors.ErrorKind,
        execution: errors.Execution,
        reason: str,
    ) -> None:
        """Answers a request with a refusal and logs it."""

    def new_request_id(self) -> str:
        """Returns an id for a request whose caller sent none."""

    def handle_request(self, req: "CallersRequest") -> Any:
        """Handles a request that is to be forwarded."""

    def record_failure(self, name: str, exc: BaseException) -> None:
        """Logs and counts an unexpected exception."""

    def count_received(self, transport: Any, size: int) -> None:
        """Counts and paces received bytes of requests."""


class CallersSite(server.Site):
    """Site of the callers' port.

    Attributes:
      host: The router.
      channels: Open connections of callers.
      accepted: Number of connections that callers have opened.
    """

    def __init__(self, resource: Any, host: Host):
        super().__init__(
            resource,
            requestFactory=CallersRequest,
            timeout=host.caller_limits.idle_connection_s,
        )
        self.protocol = CallersChannel
        self.displayTracebacks = False
        self.host = host
        self.channels: set[CallersChannel] = set()
        self.accepted = 0

    def log(self, request: http.Request) -> None:
        """Writes no access log; decisions are logged instead."""


class CallersChannel(bounded_channels.BoundedChannel):
    """Connection of a caller.

    Attributes:
      over_limit: Whether the connection was opened above the limit, so that its
        first request is refused.
    """

    maxHeaders = MAX_HEADERS
    site: CallersSite

    def __init__(self) -> None:
        super().__init__()
        self.over_limit = False
        self._request_begun = False
        self._headers_complete = False
        self._deadline: Any = None
        self._last_unsent_bytes = 0
        self._header_bytes = 0
        self._has_had_request = False
        # Time that the next request waited until it was read, in seconds.
        self._read_delay_s = 0.0

    @property
    def brings_new_work(self) -> bool:
        """Whether the next bytes belong to a request that is not handled yet.

        The event loop then reads them after what concerns open requests.
        """
        return not self._handlingRequest

    def connectionMade(self) -> None:
        """Registers the connection, or resets it far above the limit."""
        settings = self.site.host.settings
        self.abortTimeout = settings.close_timeout_s
        self._apply_limits()
        super().connectionMade()
        limit = settings.max_open_connections
        if len(self.site.channels) >= limit + REFUSAL_CONNECTIONS:
            self.transport.abortConnection()
            return
        self.over_limit = len(self.site.channels) >= limit
        self.site.channels.add(self)
        self.site.accepted += 1

    def _apply_limits(self) -> None:
        """Applies the limits in force; called before each request."""
        limits = self.site.host.caller_limits
        # The base class answers 400 at its own limits. They are set no lower
        # than the limits below, so that these are checked first.
        self.totalHeadersSize = limits.max_header_bytes * 2
        self.MAX_LENGTH = limits.max_header_bytes
        self.timeOut = limits.idle_connection_s

    def connectionLost(self, reason: failure.Failure) -> None:
        """Unregisters the connection."""
        self.site.channels.discard(self)
        self._cancel_deadline()
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:
        """Starts the time limit of a request that is received in part."""
        if self._refused:
            return
        host = self.site.host
        host.count_received(self.transport, len(data))
        if self.brings_new_work and not self._request_begun:
            self._read_delay_s = event_loop.find_read_delay_s(host.reactor)
        super().dataReceived(data)
        # A paused connection waits for the router, not for its caller.
        incomplete = self._request_begun or (
            self._buffer and not self._handlingRequest and not self.paused
        )
        if incomplete and self._deadline is None and not self._refused:
            # A request that stalls is refused rather than cut off by the idle
            # timeout of the connection.
            self.setTimeout(None)
            self._deadline = self.callLater(
                host.settings.body_timeout_s
                if self._headers_complete
                else host.caller_limits.header_timeout_s,
                self.refuse,
                errors.ErrorKind.BODY_TIMEOUT,
            )

    def lineReceived(self, line: bytes) -> None:
        """Counts header bytes and refuses too many."""
        if self._refused:
            return
        self._request_begun = self._request_begun or bool(line)
        self._header_bytes += len(line) + 2
        if self._header_bytes > self.site.host.caller_limits.max_header_bytes:
            self.refuse(errors.ErrorKind.HEADERS_TOO_LARGE)
            return
        super().lineReceived(line)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Refuses a line longer than the limit of all headers."""
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
        """Checks the limits before the caller is told to send its body."""
        if self._refused:
            return
        self._header_bytes = 0
        self._headers_complete = self._has_had_request = True
        # The body has its own time limit.
        self._cancel_deadline()
        if self.over_limit:
            self.refuse(errors.ErrorKind.TOO_MANY_CONNECTIONS)
            return
        if (self.length or 0) > self.site.host.caller_limits.max_body_bytes:
            self.refuse(errors.ErrorKind.BODY_TOO_LARGE)
            return
        super().allHeadersReceived()

    def timeoutConnection(self) -> None:
        """Closes the idle connection unless a request on it waits unread."""
        if event_loop.awaits_reading(self.site.host.reactor, self.transport):
            self.setTimeout(self.timeOut)
            return
        super().timeoutConnection()

    def take_read_delay_s(self) -> float:
        """Returns how long the request waited that has just been read."""
        delay_s, self._read_delay_s = self._read_delay_s, 0.0
        return delay_s

    def writeHeaders(
        self,
        version: bytes,
        code: bytes,
        reason: bytes,
        headers: http_headers.Headers,
    ) -> None:
        """Writes the head of an answer in one piece.

        The base class makes four writes for each header, and the transport
        checks each of them. Answers of servers were checked as they arrived;
        those stored by an earlier version were not, and no longer can be
        refused.
        """
        lines = [b" ".join((version, code, reason))]
        for name, values in headers.getAllRawHeaders():
            lines.extend([b"%b: %b" % (name, value) for value in values])
        head = b"\r\n".join(map(http_syntax.replace_controls, lines))
        self.transport.write(head + b"\r\n\r\n")

    def rawDataReceived(self, data: bytes) -> None:
        """Handles a part of the body."""
        if not self._refused:
            super().rawDataReceived(data)

    def allContentReceived(self) -> None:
        """Ends the time limit of the request."""
        if not self._refused:
            self._request_begun = self._headers_complete = False
            self._cancel_deadline()
            self._apply_limits()
            # The base class restores this timeout once the request is answered.
            self.setTimeout(self.timeOut)
            super().allContentReceived()

    def _respondToBadRequestAndDisconnect(self) -> None:
        self.refuse(errors.ErrorKind.BAD_REQUEST)

    @property
    def max_pipelined_requests(self) -> int:
        """Maximum number of requests that may wait on the connection."""
        return self.site.host.settings.max_pipelined_requests

    def refuse_costly(self, kind: errors.ErrorKind) -> None:
        """Refuses what has not been handled yet and closes the connection.

        Args:
          kind: Error kind.
        """
        self.refuse(kind)

    def refuse(self, kind: errors.ErrorKind) -> None:
        """Refuses a request that is being received and ends the connection.

        Args:
          kind: Error kind.
        """
        if self._refused:
            return
        self._refused = True
        self.discard_received()
        self._cancel_deadline()
        self.setTimeout(None)
        self.persistent = False
        req = (
            self.requests[-1]
            if self.requests
            else self._add_placeholder_request()
        )
        req.clientproto = b"HTTP/1.1"
        req.method = getattr(self, "_command", b"GET")
        req.uri = req.path = getattr(self, "_path", b"/")
        self.site.host.write_refusal(
            req, kind, errors.ANSWERS[kind].execution, "limit"
        )

    def loseConnection(self) -> None:
        """Closes the connection; after a refusal it discards input first."""
        if not self._refused:
            super().loseConnection()
            self._schedule_abort(self._unsent_bytes())
            return
        self._networkProducer.unregisterProducer()
        self.transport.loseWriteConnection()
        self.callLater(LINGER_S, self.transport.abortConnection)

    def forceAbortClient(self) -> None:
        """Resets the connection if its caller has stopped reading."""
        unsent, self._abortingCall = self._unsent_bytes(), None
        if unsent < self._last_unsent_bytes:
            self._schedule_abort(unsent)
        else:
            self.transport.abortConnection()

    def _schedule_abort(self, unsent: int) -> None:
        """Resets the connection later if the caller reads nothing until then.

        Args:
          unsent: Number of bytes that the transport has not sent yet.
        """
        self._last_unsent_bytes = unsent
        if self._abortingCall is None:
            self._abortingCall = self.callLater(
                self.site.host.settings.close_timeout_s, self.forceAbortClient
            )

    def close_when_idle(self) -> None:
        """Closes the connection unless a request is open or due on it.

        The first request of a connection is due: its caller has just connected.
        """
        self.persistent = False
        if not self.requests and self._has_had_request:
            self.loseConnection()

    def _add_placeholder_request(self) -> "CallersRequest":
        req = CallersRequest(self)
        self.requests.append(req)
        return req

    def _cancel_deadline(self) -> None:
        if self._deadline is not None and self._deadline.active():
            self._deadline.cancel()
        self._deadline = None


def has_caller_left(req: "CallersRequest") -> bool:
    """Tells whether a caller has closed its connection.

    The socket is asked directly: the event loop of a busy router learns of it
    later.

    Args:
      req: Open request on the connection.
    """
    transport = req.channel.transport if req.channel else None
    handle = getattr(transport, "getHandle", lambda: None)()
    if handle is None:
        return False
    try:
        return not handle.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


class CallersRequest(server.Request):
    """Request of a caller; its body is kept in memory.

    Attributes:
      request_id: Id of the request, from the caller or made by the router.
      request_id_valid: Whether the caller's id may be used.
      token_digest: Digest of the caller's token, None without a bearer token.
      read_delay_s: Time in seconds for which the request had been readable
        before it was read.
      arrived_ms: Time at which the head of the request became readable, on the
        router's clock.
      body_in_use: Whether the body must be kept when the connection ends; it
        is then released only by `release_body`.
    """

    defaultContentType = None
    content: io.BytesIO

    def __init__(self, channel: CallersChannel, queued: Any = False):
        del queued  # The requests of a connection are handled one at a time.
        super().__init__(channel, False, parsePOSTFormSubmission=False)
        self.request_id = ""
        self.request_id_valid = True
        self.token_digest: str | None = None
        self.body_in_use = False
        self.read_delay_s = 0.0
        self.arrived_ms = 0
        self._received_bytes = 0
        self._body_reservation: buffer_reservations.Reservation | None = None

    def gotLength(self, length: int | None) -> None:
        """Prepares to receive the body."""
        self.content = io.BytesIO()
        self.read_delay_s = self.channel.take_read_delay_s()
        host = self.channel.site.host
        self.arrived_ms = host.clock() - round(self.read_delay_s * 1000)
        values = self.requestHeaders.getRawHeaders(b"Authorization")
        self.token_digest = routing.digest_token(
            values[0].decode("latin-1") if values else None
        )
        self._body_reservation = host.buffers.open_reservation(
            host.find_buffer_owner(self)
        )

    def parseCookies(self) -> None:
        """Does nothing: cookies are left to the backend servers."""

    def handleContentChunk(self, data: bytes) -> None:
        """Buffers a part of the body within the limits."""
        self._received_bytes += len(data)
        if (
            self._received_bytes
            > self.channel.site.host.caller_limits.max_body_bytes
        ):
            self.channel.refuse(errors.ErrorKind.BODY_TOO_LARGE)
            return
        if not self._body_reservation.add(len(data)):
            self.channel.refuse(errors.ErrorKind.BUFFER_FULL)
            return
        self.content.write(data)

    def finish(self) -> None:
        """Ends the answer."""
        super().finish()
        self._release_unused_body()

    def connectionLost(self, reason: failure.Failure) -> None:
        """Handles the loss of the caller."""
        super().connectionLost(reason)
        self._release_unused_body()

    def release_body(self) -> None:
        """Frees the body and the buffer bytes reserved for it."""
        self.content = io.BytesIO()
        if self._body_reservation:
            self._body_reservation.release()

    def _release_unused_body(self) -> None:
        if not self.body_in_use:
            self.release_body()

    def process(self) -> None:
        """Checks the request line and passes the request on."""
        self.site = self.channel.site
        self.setHeader(b"Date", http.datetimeToString())
        self.assign_request_id()
        if not self._is_well_formed():
            self.site.host.write_refusal(
                self,
                errors.ErrorKind.BAD_REQUEST,
                errors.Execution.NOT_RUN,
                "request_line_or_host",
            )
            return
        try:
            # klein looks up only the router's own paths. All others are matched
            # byte for byte with the routes of the environment.
            if self._is_own_path():
                self.prepath = []
                self.postpath = [
                    urllib.parse.unquote_to_bytes(part)
                    for part in self._split_path()
                ]
                self.render(self.site.resource)
            else:
                self.site.host.handle_request(self)
        except Exception:  # noqa: BLE001
            self.processingFailed(failure.Failure())

    def assign_request_id(self) -> None:
        """Takes the request id from the caller's header or creates one."""
        name = self.channel.site.host.dialect.request_id
        values = self.requestHeaders.getRawHeaders(name) or []
        text = values[0].decode("latin-1") if values else ""
        self.request_id_valid = not values or (
            len(values) == 1 and routing.is_valid_request_id(text)
        )
        self.request_id = (
            text
            if values and self.request_id_valid
            else self.channel.site.host.new_request_id()
        )

    def processingFailed(self, reason: failure.Failure) -> None:
        """Answers an unexpected exception."""
        host = self.channel.site.host
        host.record_failure("request_failed", reason.value)
        if self.startedWriting:
            self.channel.transport.abortConnection()
        elif not self.finished:
            host.write_refusal(
                self,
                errors.ErrorKind.INTERNAL,
                errors.Execution.MAY_HAVE_RUN,
                "exception",
            )

    def _split_path(self) -> list[bytes]:
        return self.path[1:].split(b"/")

    def _is_well_formed(self) -> bool:
        hosts = self.requestHeaders.getRawHeaders(b"Host") or []
        if not _METHOD.fullmatch(self.method) or self.method == b"CONNECT":
            return False
        if not _URI.fullmatch(self.uri) or len(hosts) > 1:
            return False
        try:
            urllib.parse.unquote_to_bytes(self.path).decode()
        except UnicodeDecodeError:
            return not self._is_own_path()
        return True

    def _is_own_path(self) -> bool:
        """Returns whether the router answers the request itself."""
        return self.site.host.dialect.serves_own_paths and self.path.startswith(
            OWN_PATH_PREFIX
        )
