"""A leader, backend servers and callers under the control of a test."""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import dataclasses
import enum
import hashlib
import http.client
import json
import logging
import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from typing import Any
import urllib.parse

from features.support import controller_fleet
from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.core import messages
from waxwingrack.daemons import transport

KEY = "test-key"
TOKEN = "planners-token"
ANNOUNCE_TOKEN = "announce-token"
WAIT_S = 8.0
logging.getLogger("websockets").setLevel(logging.WARNING)


def digest(token: str) -> str:
    """Returns the SHA-256 digest (hex) of a token."""
    return hashlib.sha256(token.encode()).hexdigest()


def environment(**changes: Any) -> data.Environment:
    """Builds an environment with two workspaces and two services."""
    timeouts = {"queue_timeout_s": 10.0, "answer_timeout_s": 5.0}
    timeouts |= {"idle_timeout_s": 5.0}
    timeouts |= changes.pop("timeouts", {})
    workspace = {"max_queue": 64, "max_connections": 256}
    workspace |= changes.pop("workspace", {})
    return data.Environment(
        name="test",
        workspaces=(
            data.Workspace("planners", 1.0, (digest(TOKEN),), **workspace),
            data.Workspace("painters", 1.0, (digest("painters-token"),)),
        ),
        services=(
            data.Service(
                "sketch",
                (
                    data.Route("read", "/sketch", idempotent=True),
                    data.Route("deposit", "/sketch/deposit", ("POST",)),
                ),
                "v1",
                **timeouts,
            ),
            data.Service(
                "model",
                (data.Route("chat", "/model", idempotent=True),),
                "v1",
                data.CostMeter.TOKENS,
                **timeouts,
            ),
        ),
        data_centres=(data.DataCentre("a", "r"), data.DataCentre("b", "r")),
        announce_token_digests=(digest(ANNOUNCE_TOKEN),),
        **changes,
    )


class FakeLeader:
    """Controller that grants, refuses and keeps keys as a test says.

    Attributes:
      granting: Whether wants are granted at once.
      silent: Whether everything from the router is ignored.
      echo_lag_ms: How much older than the report the echo is.
      key_state: State that overrides the answer to a kind of key message.
    """

    def __init__(self, node_id: str = "c1"):
        self.node_id = node_id
        self.term = 1
        self.granting = True
        self.silent = False
        self.hint: FakeLeader | None = None
        # Addresses sent with the hint; None sends those of the hint.
        self.hint_peer: data.Peer | None = None
        self.echo_lag_ms = 0
        self.refusal: errors.ErrorKind | None = None
        # What becomes of the wants of second copies: "grant", "refuse",
        # "ignore", or "drop" for a connection that breaks.
        self.duplicates = "grant"
        self.key_state: dict[str, data.KeyState] = {}
        self.key_ignored: collections.Counter = collections.Counter()
        # Whether the first server that is not avoided gets each grant.
        self.prefers_first = False
        # Most idle connections that each grant allows.
        self.max_idle: int | None = None
        # Incarnation of all servers.
        self.incarnation = "i1"
        self.servers: list[FakeBackend] = []
        self.environment: data.Environment | None = environment()
        self.number = 1
        self.drained: tuple[str, ...] = ()
        self.refused_digests: tuple[str, ...] = ()
        self.records: dict[tuple[str, str], tuple[str, Any]] = {}
        self.reports: list[messages.RouterReport] = []
        self.key_messages: list[Any] = []
        self.wants: dict[int, data.QueuedRequest] = {}
        self.conns: list[transport.Connection] = []
        self.counts = transport.TrafficCounts()
        self.events: list[tuple[str, Any]] = []
        self._grant = 0
        self._forgotten_grant = 0
        self._pushed: dict[int, int] = {}
        self._last_sent_ms = 0

    async def open(self, port: int = 0) -> int:
        """Opens the port."""
        identity = transport.Identity(
            data.Role.CONTROLLER, self.node_id, "i", KEY.encode()
        )
        self._server = await transport.serve(
            data.Address("127.0.0.1", port), identity, self, self.counts
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    def peer(self) -> data.Peer:
        """Returns the addresses; the operators' API is nowhere."""
        return data.Peer(
            self.node_id,
            data.Address("127.0.0.1", self.port),
            data.Address("127.0.0.1", 1),
        )

    async def close(self) -> None:
        """Closes the port and all connections."""
        self._server.close()
        self.drop()

    def drop(self) -> None:
        """Breaks all connections."""
        for conn in self.conns:
            conn.close()

    def connected(self, conn: transport.Connection) -> None:
        """Handles a new connection."""
        self.conns.append(conn)
        self.wants.clear()

    def disconnected(self, conn: transport.Connection) -> None:
        """Handles the end of a connection."""
        self.conns.remove(conn)

    def received(self, conn: transport.Connection, message: Any) -> None:
        """Handles a message of a router."""
        if self.silent:
            return
        if self.hint is not None:
            conn.send(
                messages.NotLeader(
                    self.hint.node_id, self.hint_peer or self.hint.peer()
                )
            )
            return
        if isinstance(message, messages.RouterReport):
            self._report(conn, message)
        else:
            self.key_messages.append(message)
            self.events.append((type(message).__name__, message))
            self._key(conn, message)

    def _report(self, conn: Any, report: messages.RouterReport) -> None:
        self.reports.append(report)
        self._last_sent_ms = report.sent_ms
        for finished in report.finished:
            self.events.append(("Finished", finished))
        for sequence in report.withdrawn:
            self.wants.pop(sequence, None)
        for want in report.wants:
            self.wants[want.sequence] = want
        if self.duplicates == "drop" and any(w.duplicate for w in report.wants):
            conn.close()
            return
        if self.environment and report.environment_number < self.number:
            self._push(conn)
        self.answer(conn)

    def _push(self, conn: Any) -> None:
        conn.send(
            messages.EnvironmentPush(
                self.number,
                self.environment,
                self.drained,
                self.refused_digests,
            )
        )

    def push(self, **changes: Any) -> None:
        """Pushes a changed environment to all routers."""
        for name, value in changes.items():
            setattr(self, name, value)
        for conn in self.conns:
            self._push(conn)

    def answer(self, conn: Any) -> None:
        """Sends an update with what can be granted."""
        grants, refusals = [], []
        for want in list(self.wants.values()):
            if want.duplicate and self.duplicates == "ignore":
                continue
            if want.duplicate and self.duplicates == "refuse":
                kind = errors.ErrorKind.NO_SURPLUS
                refusals.append(messages.Refusal(want.sequence, kind))
                del self.wants[want.sequence]
            elif self.refusal:
                refusals.append(messages.Refusal(want.sequence, self.refusal))
                del self.wants[want.sequence]
            elif self.granting and self.servers:
                grants.append(self.make_grant(want))
        conn.send(
            messages.ControllerUpdate(
                self._last_sent_ms - self.echo_lag_ms,
                self.term,
                tuple(grants),
                tuple(refusals),
            )
        )

    def make_grant(self, want: data.QueuedRequest) -> data.Grant:
        """Grants a want."""
        del self.wants[want.sequence]
        self._grant += 1
        free = [s for s in self.servers if s.id not in want.avoid]
        candidates = free or self.servers
        turn = 0 if self.prefers_first else self._grant % len(candidates)
        server = candidates[turn]
        return data.Grant(
            self._grant,
            self.term,
            want.sequence,
            server.id,
            self.incarnation,
            data.Address("127.0.0.1", server.port),
            "v1",
            max_idle=self.max_idle,
        )

    def grant_all(self) -> None:
        """Grants every want that waits now."""
        self.granting = True
        for conn in self.conns:
            self.answer(conn)

    @property
    def granted(self) -> int:
        """Returns the number of grants so far."""
        return self._grant

    def finished(self) -> list[data.FinishedRequest]:
        """Returns all ended grants, without those that were forgotten."""
        return [
            item
            for report in self.reports
            for item in report.finished
            if item.grant > self._forgotten_grant
        ]

    def forget(self) -> None:
        """Forgets what it has seen so far, and the grants still to be ended.

        A caller has its answer before the leader hears of the end of the grant.
        """
        for seen in (self.reports, self.key_state, self.events):
            seen.clear()
        self._forgotten_grant = self._grant

    def _key(self, conn: Any, message: Any) -> None:
        kind = type(message).__name__
        if self.key_ignored[kind] > 0:
            self.key_ignored[kind] -= 1
            return
        entry = (message.workspace, message.key)
        owner = conn.peer.incarnation
        state, answer = self._apply(message, entry, owner)
        if kind in self.key_state:
            state, answer = self.key_state[kind], None
        conn.send(messages.KeyAnswer(message.call, state, answer))

    def _apply(self, message: Any, entry: Any, owner: str) -> Any:
        states = data.KeyState
        record = self.records.get(entry)
        if isinstance(message, messages.KeyOutcome):
            if record:
                self.records[entry] = (record[0], message.answer, "")
            if message.answer is None:
                return states.MAY_HAVE_RUN, None
            return states.ANSWERED, None
        if isinstance(message, messages.KeyRelease):
            if record and record[2] == owner:
                del self.records[entry]
            return states.ABSENT, None
        if record is None:
            if isinstance(message, messages.KeyLookup):
                return states.ABSENT, None
            self.records[entry] = (message.digest, None, owner)
            return states.CLAIMED, None
        if record[0] != message.digest:
            return states.MISMATCH, None
        if record[2]:
            return states.RUNNING, None
        if record[1] is None:
            return states.MAY_HAVE_RUN, None
        return states.ANSWERED, record[1]


def _response(body: bytes, status: str = "200 OK", extra: str = "") -> bytes:
    return (
        f"HTTP/1.1 {status}\r\nContent-Type: text/plain\r\n"
        f"Content-Length: {len(body)}\r\n{extra}\r\n"
    ).encode() + body


_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart"
# A stream with neither a length nor chunks; the connection's end is its end.
_UNFRAMED_STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
_CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"


_CHUNKS_OF_EVENTS = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


class After(enum.Enum):
    """What a backend server does with the connection after fixed bytes."""

    KEEP = enum.auto()
    CLOSE = enum.auto()
    STALL = enum.auto()


# Answers of fixed bytes, by the word in the query.
FIXED = {
    "early": (
        b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
        + _response(b"after hints"),
        After.KEEP,
    ),
    "drop": (b"", After.CLOSE),
    "error": (_response(b"foreign error", "500 X"), After.KEEP),
    "redirect": (
        _response(b"foreign", "307 X", "Location: /other\r\n"),
        After.KEEP,
    ),
    "no_answer": (b"foreign bytes\r\n\r\n", After.CLOSE),
    "refused": (
        _response(b"full", "503 X", "Not-Executed: 1\r\n"),
        After.KEEP,
    ),
    "then_close": (_response(b"whole"), After.CLOSE),
    "garbage": (b"this is not HTTP\r\n\r\n", After.CLOSE),
    "stall": (b"", After.STALL),
    "stall_body": (_LENGTH, After.STALL),
    "cut_length": (_LENGTH, After.CLOSE),
    "cut_head": (b"HTTP/1.1 200 OK\r\nContent-Le", After.CLOSE),
    "cut_chunk": (_CHUNKS + b"20\r\nhalf", After.CLOSE),
    "cut_last": (_CHUNKS, After.CLOSE),
    "bad_chunk": (_CHUNKS + b"zz\r\n", After.CLOSE),
    "until_close": (
        b"HTTP/1.0 200 OK\r\n\r\nwhole until close",
        After.CLOSE,
    ),
    "stream_until_close": (
        _UNFRAMED_STREAM + b"data: 1\n\ndata: 2\n\n",
        After.CLOSE,
    ),
    "stream_crlf": (
        _UNFRAMED_STREAM + b"data: 1\r\n\r\n",
        After.CLOSE,
    ),
    "stream_in_event": (
        _UNFRAMED_STREAM + b"data: 1\n\ndata: 2",
        After.CLOSE,
    ),
    "stream_in_line_end": (
        _UNFRAMED_STREAM + b"data: 1\n\ndata: 2\n",
        After.CLOSE,
    ),
    "stream_without_event": (_UNFRAMED_STREAM, After.CLOSE),
}


# Answers that HTTP does not allow because of one line, by the word in the
# query.
MALFORMED = {
    "cr_in_phrase": _response(b"b", "200 OK\rX-Own: 1"),
    "nul_in_phrase": _response(b"b", "200 O\0K"),
    "bell_in_phrase": _response(b"b", "200 O\7K"),
    "del_in_phrase": _response(b"b", "200 OK\x7f"),
    "nul_in_value": _response(b"b", extra="X-Own: a\0b\r\n"),
    "cr_in_value": _response(b"b", extra="X-Own: a\rX-Other: b\r\n"),
    "cr_behind_value": _response(b"b", extra="X-Own: a\r\r\n"),
    "escape_in_value": _response(b"b", extra="X-Own: \x1b[31m\r\n"),
    "vertical_tab_in_value": _response(b"b", extra="X-Own: a\vb\r\n"),
    "form_feed_before_value": _response(b"b", extra="X-Own:\fa\r\n"),
    "del_in_value": _response(b"b", extra="X-Own: a\x7f\r\n"),
    "nul_in_name": _response(b"b", extra="X-O\0wn: a\r\n"),
    "cr_in_name": _response(b"b", extra="X-Own\rX-Other: a\r\n"),
    "no_name": _response(b"b", extra=": a\r\n"),
    "no_colon": _response(b"b", extra="X-Own\r\n"),
    "nul_in_folded_line": _response(b"b", extra="X-Own: a\r\n b\0c\r\n"),
    "folded_first_line": b"HTTP/1.1 200 OK\r\n X-Own: 1\r\n\r\n",
    "nul_in_hop_by_hop": _response(b"b", extra="Keep-Alive: a\0\r\n"),
    "nul_beside_not_run": _response(
        b"b", "503 X", "Not-Executed: 1\r\nX-Own: \0\r\n"
    ),
    "nul_in_interim": (
        b"HTTP/1.1 103 Early Hints\r\nLink: \0\r\n\r\n" + _response(b"b")
    ),
    "cr_in_interim_phrase": b"HTTP/1.1 103 A\rB\r\n\r\n" + _response(b"b"),
}
# Chunked answers that HTTP does not allow because of a line behind the first
# chunk.
MALFORMED_CHUNKS = {
    "nul_in_chunk_line": _CHUNKS + b"4;a=\0\r\npart\r\n0\r\n\r\n",
    "cr_in_chunk_line": _CHUNKS + b"4;a\rb\r\npart\r\n0\r\n\r\n",
    "word_as_chunk_size": _CHUNKS + b"0x4\r\npart\r\n0\r\n\r\n",
    "bytes_behind_chunk": _CHUNKS + b"4\r\npartial\r\n0\r\n\r\n",
} | {
    f"{name}_in_trailer": _CHUNKS + b"0\r\n" + line + b"\r\n\r\n"
    for name, line in (
        ("nul", b"X-Own: a\0b"),
        ("cr", b"X-Own: a\rX-Other: b"),
        ("line_feed", b"X-Own: a\nX-Other: b"),
        ("no_colon", b"X-Own"),
        ("folded_first", b" X-Own: a"),
    )
}
# Answers that HTTP allows although few servers send them.
UNUSUAL = {
    "empty_phrase": _response(b"usual", "200 "),
    "no_phrase": _response(b"usual", "200"),
    "tab_in_phrase": _response(b"usual", "200 A\tB"),
    "high_byte_in_phrase": _response(b"usual", "200 @").replace(
        b"@", b"\xe9\xff", 1
    ),
    "high_byte_in_value": _response(b"usual", extra="X-Own: @\r\n").replace(
        b"@", b"\xe9\xff", 1
    ),
    "tab_in_value": _response(b"usual", extra="X-Own: a\tb\r\n"),
    "empty_value": _response(b"usual", extra="X-Own:\r\n"),
    "tabs_around_value": _response(b"usual", extra="X-Own:\t a \t\r\n"),
    "space_before_colon": _response(b"usual", extra="X-Own \t: a\r\n"),
    "folded_value": _response(b"usual", extra="X-Own: a \t\r\n\t b\r\n"),
    "folded_empty_line": _response(b"usual", extra="X-Own: a\r\n \r\n"),
    "line_feeds": _response(b"usual", extra="X-Own: a\r\n").replace(
        b"\r\n", b"\n"
    ),
    "trailer": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"5;a=\xe9\r\nusual\r\n0\r\nX-Own: \xe9\t\r\n\tb\r\n\r\n"
    ),
}
# Heads of answers without a body, with one or more lengths.
LENGTHS = {
    name: f"HTTP/1.1 {status} X\r\n{lengths}\r\n".encode()
    for name, status, lengths in (
        ("word_as_length", 200, "Content-Length: abc\r\n"),
        (
            "different_lengths",
            200,
            "Content-Length: 5\r\nContent-Length: 6\r\n",
        ),
        ("equal_lengths", 200, "Content-Length: 5, 5\r\n"),
        ("leading_zeros", 200, "Content-Length: 005\r\n"),
        ("word_in_304", 304, "Content-Length: abc\r\n"),
        ("lengths_in_304", 304, "Content-Length: 5\r\nContent-Length: 5\r\n"),
    )
}
FIXED |= {
    name: (answer, After.KEEP)
    for name, answer in (
        MALFORMED | MALFORMED_CHUNKS | UNUSUAL | LENGTHS
    ).items()
}


# Heads of answers, by the word in the query; a body of five bytes belongs to
# each.
HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Own: 1\r\n\r\n",
    "length_last": b"HTTP/1.1 200 OK\r\nX-Own: 1\r\nContent-Length: 5\r\n\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "unframed": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
    "stream": _UNFRAMED_STREAM,
    "old": b"HTTP/1.0 200 OK\r\nX-Own: 1\r\n\r\n",
    "line_feeds": b"HTTP/1.1 200 OK\nContent-Length: 5\nX-Own: 1\n\n",
    "interim": (
        b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
    ),
}


class FakeBackend:
    """Backend server that behaves as the query of a request says.

    Attributes:
      runs: Requests received whole, by request id.
      seen: Heads and bodies of the requests received.
      cancelled: Requests whose connection was closed while they ran.
      together: Futures of requests that wait to be answered at the same moment
        as one of another server; shared by all servers.
    """

    together: list[asyncio.Future] = []

    def __init__(self, server_id: str):
        self.id = server_id
        self.runs: collections.Counter = collections.Counter()
        self.seen: list[tuple[str, str, dict[str, str], bytes]] = []
        self.cancelled: list[str] = []
        self.connections = 0
        self.open_connections = 0
        # Port of the router's end, by request.
        self.used: list[int] = []
        self.sent_bytes = 0
        self.faults: list[str] = []
        # Bytes to write before the answer to the next request on a connection.
        self._late_copies: dict[Any, bytes] = {}

    async def open(self) -> None:
        """Opens a free port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=2**22
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Refuses connections from now on."""
        self._server.close()

    async def _serve(self, reader: Any, writer: Any) -> None:
        self.connections += 1
        self.open_connections += 1
        try:
            while await self._handle(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open_connections -= 1
            writer.close()

    async def _handle(self, reader: Any, writer: Any) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *rest = head.split("\r\n")
        method, target, _ = line.split(" ")
        headers = {
            name.lower(): value
            for name, _, value in (
                part.partition(": ") for part in rest if part
            )
        }
        if "do=reset_upload" in target:
            await self._reset_upload(headers, writer)
            return False
        if "do=invalid_upload" in target:
            writer.transport.pause_reading()
            writer.write(MALFORMED["cr_in_phrase"])
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(60)
            return False
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        request_id = headers.get("x-request-id") or headers["request-id"]
        self.runs[request_id] += 1
        writer.write(self._late_copies.pop(writer, b""))
        self.used.append(writer.get_extra_info("peername")[1])
        self.seen.append((method, target, headers, body))
        query = dict(
            urllib.parse.parse_qsl(urllib.parse.urlsplit(target).query, True)
        )
        act = query.get("do", "ok")
        if self.faults:
            act = self.faults.pop(0)
        running = asyncio.ensure_future(
            self._fixed(act, writer)
            if act in FIXED
            else getattr(self, f"_do_{act}")(
                writer, query, request_id, body, method
            )
        )
        gone = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait(
            (running, gone), return_when=asyncio.FIRST_COMPLETED
        )
        if running not in done:
            if gone.exception() or not gone.result():
                self.cancelled.append(request_id)
            running.cancel()
            return False
        again = running.result()
        if again is not True:
            gone.cancel()
            return False
        # The byte that was read belongs to the next request.
        first = await gone
        if not first:
            return False
        reader._buffer[:0] = first
        return True

    async def _fixed(self, act, writer):
        sent, after = FIXED[act]
        writer.write(sent)
        if after is After.STALL:
            await asyncio.sleep(60)
        return after is After.KEEP

    async def _do_ok(self, writer, query, request_id, body, method):
        answer = f"{request_id}:".encode() + body
        sent = _response(answer)
        if method == "HEAD":
            sent = sent[: -len(answer)]
        writer.write(sent)
        return True

    async def _do_leaving(self, writer, query, request_id, body, method):
        writer.write(_response(b"leaving", extra="X-Server-Leaving: 1\r\n"))
        return True

    async def _do_stating(self, writer, query, request_id, body, method):
        """States a timeout; closes the connection after another time."""
        extra = f"Keep-Alive: timeout={query['timeout']}\r\n"
        writer.write(_response(b"stating", extra=extra))
        if "close" in query:
            asyncio.get_running_loop().call_later(
                float(query["close"]), writer.close
            )
        return True

    async def _do_busy(self, writer, query, request_id, body, method):
        extra = f"Retry-After: {query['after']}\r\n"
        writer.write(_response(b"busy", "503 X", extra=extra))
        return True

    async def _do_json(self, writer, query, request_id, body, method):
        text = query["text"].encode()
        head = f"Content-Type: application/json\r\nContent-Length: {len(text)}"
        writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\n\r\n".encode() + text)
        return True

    async def _do_status(self, writer, query, request_id, body, method):
        code = query["code"]
        if code in ("204", "304"):
            writer.write(f"HTTP/1.1 {code} X\r\n\r\n".encode())
        else:
            writer.write(_response(b"status", f"{code} X"))
        return True

    async def _do_headers(self, writer, query, request_id, body, method):
        extra = (
            "Connection: keep-alive, X-Private\r\nX-Private: 1\r\n"
            "Keep-Alive: timeout=5\r\nServer: engine\r\nSet-Cookie: a=1\r\n"
            "Set-Cookie: b=2\r\n"
        )
        writer.write(_response(b"headers", extra=extra))
        return True

    async def _do_large(self, writer, query, request_id, body, method):
        size = int(query["bytes"])
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n"
        writer.write(head.encode())
        while size:
            part = b"x" * min(65536, size)
            writer.write(part)
            await writer.drain()
            size -= len(part)
            self.sent_bytes += len(part)
        return True

    async def _do_stream(self, writer, query, request_id, body, method):
        writer.write(_CHUNKS_OF_EVENTS)
        for number in range(int(query.get("events", 5))):
            self._chunk(writer, f"data: {number} {time.monotonic()}\n\n")
            await writer.drain()
            await asyncio.sleep(float(query.get("pause", 0.02)))
        if "usage" in query:
            usage = {"usage": {"total_tokens": int(query["usage"])}}
            self._chunk(writer, f"data: {json.dumps(usage)}\n\n")
        writer.write(b"0\r\n\r\n")
        return True

    async def _do_trickle(self, writer, query, request_id, body, method):
        """Sends one event and then the same few bytes again and again."""
        writer.write(_CHUNKS_OF_EVENTS)
        self._chunk(writer, "data: 0\n\n")
        while True:
            await asyncio.sleep(0.3)
            self._chunk(writer, query["text"])
            await writer.drain()

    async def _do_break_stream(self, writer, query, request_id, body, method):
        writer.write(_CHUNKS_OF_EVENTS)
        self._chunk(writer, "data: 0\n\n")
        await writer.drain()
        await asyncio.sleep(0.1)
        self._reset(writer)

    @staticmethod
    def _chunk(writer: Any, text: str) -> None:
        writer.write(f"{len(text):x}\r\n{text}\r\n".encode())

    async def _do_slow(self, writer, query, request_id, body, method):
        await asyncio.sleep(float(query.get("pause", 0.5)))
        return await self._do_ok(writer, query, request_id, body, method)

    async def _do_load(self, writer, query, request_id, body, method):
        extra = f"Server-Load: {query['load']}\r\n"
        writer.write(_response(b"load", extra=extra))
        return True

    async def _do_late_drop(self, writer, query, request_id, body, method):
        await asyncio.sleep(0.2)

    async def _do_late_refuse(self, writer, query, request_id, body, method):
        await asyncio.sleep(0.2)
        # Without the id, it would not be known whose refusal this is.
        extra = f"Not-Executed: 1\r\nRequest-Id: {request_id}\r\n"
        writer.write(_response(b"full", "503 X", extra))
        return True

    async def _do_late_stream(self, writer, query, request_id, body, method):
        """Sends the head and a comment at once and the first event late."""
        writer.write(_CHUNKS_OF_EVENTS)
        self._chunk(writer, ": open\n\n")
        await writer.drain()
        await asyncio.sleep(0.4)
        self._chunk(writer, "data: late\n\n")
        writer.write(b"0\r\n\r\n")
        return True

    async def _do_together(self, writer, query, request_id, body, method):
        """Answers at the same moment as the other server that does so."""
        waiting = self.together
        if waiting and not waiting[-1].done():
            waiting[-1].set_result(None)
        else:
            waiting.append(asyncio.get_running_loop().create_future())
            await waiting[-1]
        return await self._do_ok(writer, query, request_id, body, method)

    async def _do_reset(self, writer, query, request_id, body, method):
        self._reset(writer)

    @staticmethod
    def _reset(writer: Any) -> None:
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        writer.transport.abort()

    async def _send_endlessly(self, writer, part):
        """Sends until the router closes; counts the bytes that it took."""
        while True:
            writer.write(part)
            await writer.drain()
            self.sent_bytes += len(part)

    async def _do_endless_line(self, writer, query, request_id, body, method):
        await self._send_endlessly(writer, b"x" * 65_536)

    async def _do_endless_lines(self, writer, query, request_id, body, method):
        await self._send_endlessly(writer, b"no answer\r\n" * 6_000)

    async def _do_endless_head(self, writer, query, request_id, body, method):
        writer.write(b"HTTP/1.1 200 OK\r\n")
        await self._send_endlessly(writer, b"X-Fill: 0123456789\r\n" * 3_000)

    async def _do_endless_interim(
        self, writer, query, request_id, body, method
    ):
        await self._send_endlessly(
            writer, b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2_000
        )

    async def _do_endless_chunk_line(
        self, writer, query, request_id, body, method
    ):
        writer.write(_CHUNKS)
        await self._send_endlessly(writer, b"0" * 65_536)

    async def _do_endless_trailer(
        self, writer, query, request_id, body, method
    ):
        writer.write(_CHUNKS + b"0\r\n")
        await self._send_endlessly(writer, b"X-Fill: 0123456789\r\n" * 3_000)

    async def _do_endless_surplus(
        self, writer, query, request_id, body, method
    ):
        writer.write(_response(b"endless"))
        await self._send_endlessly(writer, b"x" * 65_536)

    async def _do_endless_body(self, writer, query, request_id, body, method):
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        await self._send_endlessly(writer, b"x" * 65_536)

    async def _do_part_of_head(self, writer, query, request_id, body, method):
        writer.write(HEADS[query["head"]][: int(query["bytes"])])
        await writer.drain()
        if query["end"] == "reset":
            # The router must have read the bytes before the reset.
            await asyncio.sleep(0.02)
            self._reset(writer)

    async def _do_until_reset(self, writer, query, request_id, body, method):
        writer.write(b"HTTP/1.1 200 OK\r\n\r\npart until reset")
        await writer.drain()
        await asyncio.sleep(0.1)
        self._reset(writer)

    async def _reset_upload(self, headers, writer):
        """Resets an early answer without reading the body of its request."""
        self.runs[headers.get("x-request-id") or headers["request-id"]] += 1
        writer.transport.pause_reading()
        writer.write(b"HTTP/1.1 200 OK\r\n\r\npart before reset")
        await writer.drain()
        await asyncio.sleep(0.05)
        self._reset(writer)

    async def _do_twice(self, writer, query, request_id, body, method):
        answer = _response(f"{request_id}:first".encode())
        writer.write(answer + answer)
        return True

    async def _do_then(self, writer, query, request_id, body, method):
        """Writes a copy of an earlier answer before the next one."""
        ids = f"Request-Id: {request_id}\r\n"
        writer.write(_response(request_id.encode(), extra=ids))
        status, _, with_id = query["copy"].partition(" ")
        extra = "" if status == "200" else "Not-Executed: 1\r\n"
        extra += ids if with_id else ""
        self._late_copies[writer] = _response(b"old", f"{status} X", extra)
        return True

    async def _do_echo(self, writer, query, request_id, body, method):
        ids = f"Request-Id: {request_id}\r\n"
        writer.write(_response(request_id.encode(), extra=ids))
        return True

    async def _do_late_copy(self, writer, query, request_id, body, method):
        extra = f"X-Request-Id: {request_id}\r\n"
        answer = _response(f"{request_id}:late".encode(), extra=extra)
        writer.write(answer)
        await writer.drain()
        asyncio.get_running_loop().call_later(0.05, writer.write, answer)
        return True


@dataclasses.dataclass
class Reply:
    """What a caller got."""

    status: int | None = None
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    raw_headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: bytes = b""
    whole: bool = False
    error: str = ""
    seconds: float = 0.0

    @property
    def refusal(self) -> dict[str, Any]:
        """Returns the error of a refusal."""
        return json.loads(self.body)["error"]


def send(
    port: int,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes | None = None,
    timeout_s: float = WAIT_S,
    token: str | None = TOKEN,
    conn: http.client.HTTPConnection | None = None,
) -> Reply:
    """Sends one request and reads its answer to the end."""
    reply, started = Reply(), time.monotonic()
    own = conn is None
    conn = conn or http.client.HTTPConnection(
        "127.0.0.1", port, timeout=timeout_s
    )
    fields = dict(headers or {})
    if token:
        fields.setdefault("Authorization", f"Bearer {token}")
    try:
        conn.request(method, target, body, fields)
        answer = conn.getresponse()
        reply.status = answer.status
        reply.raw_headers = answer.getheaders()
        reply.headers = {key.lower(): value for key, value in reply.raw_headers}
        try:
            reply.body = answer.read()
            reply.whole = True
        except http.client.IncompleteRead as exc:
            reply.body, reply.error = exc.partial, "IncompleteRead"
    except (OSError, http.client.HTTPException) as exc:
        reply.error = type(exc).__name__
    finally:
        if own:
            conn.close()
    reply.seconds = time.monotonic() - started
    return reply


class RouterProcess:
    """A router in a process of its own."""

    def __init__(
        self,
        controllers: list[FakeLeader],
        fault: str = "",
        dialect: str = "own",
        **settings: Any,
    ):
        self.dialect = dialect
        self.folder = tempfile.TemporaryDirectory()
        folder = pathlib.Path(self.folder.name)
        (folder / "key").write_text(KEY)
        document = {
            "role": "router",
            "node_id": "r1",
            "data_centre": "a",
            "operators": {"host": "127.0.0.1", "port": 0},
            "callers": {"host": "127.0.0.1", "port": 0},
            "controllers": [
                dataclasses.asdict(leader.peer()) for leader in controllers
            ],
            "shared_key_file": str(folder / "key"),
            "shutdown_delay_s": 0.3,
            "shutdown_timeout_s": 5.0,
            **settings,
        }
        self.log_path = folder / "log"
        self._log = self.log_path.open("wb")
        self.process = subprocess.Popen(
            [
                sys.executable,
                str(pathlib.Path(__file__).with_name("router_process.py")),
                json.dumps(document),
                dialect,
                *filter(None, [fault]),
            ],
            stdout=subprocess.PIPE,
            stderr=self._log,
            env=os.environ
            | {"PYTHONPATH": str(pathlib.Path(__file__).parents[2])},
        )
        line = self.process.stdout.readline()
        if not line:
            raise AssertionError(self.log_path.read_text())
        ports = json.loads(line)
        self.port = ports["callers"]
        self.operators_port = ports["operators"]

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the router."""
        self.process.send_signal(number)

    def close(self) -> None:
        """Ends the router."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait(WAIT_S)
        self.process.stdout.close()
        self._log.close()
        self.folder.cleanup()

    def log(self) -> list[dict[str, Any]]:
        """Returns the log lines so far."""
        return [
            json.loads(line)
            for line in self.log_path.read_text().splitlines()
            if line.startswith("{")
        ]


async def _cancel_tasks() -> None:
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


class World:
    """One router, its leader and its backend servers."""

    def __init__(self) -> None:
        self.loop = controller_fleet.Loop(WAIT_S)
        self.leader = FakeLeader()
        self.routers: list[RouterProcess] = []
        self.leaders = [self.leader]
        # Number of leaders that the settings name; None names all.
        self.listed: int | None = None
        self.backends: list[FakeBackend] = []

    def start(self, servers: int = 1, **settings: Any) -> None:
        """Starts everything and waits until the router is ready.

        Args:
          servers: Number of backend servers.
          **settings: Settings of the router. `through` returns the port by
            which the router reaches a name at a port.
        """
        ready = settings.pop("wait_ready", True)
        through = settings.pop("through", lambda _, port: port)
        for leader in self.leaders:
            self.loop.run(leader.open())
            leader.port = through(leader.node_id, leader.port)
        for number in range(servers):
            backend = FakeBackend(f"s{number + 1}")
            self.loop.run(backend.open())
            backend.port = through(backend.id, backend.port)
            self.backends.append(backend)
        self.leader.servers = list(self.backends)
        self.routers.append(
            RouterProcess(self.leaders[: self.listed], **settings)
        )
        if ready:
            self.wait_for(lambda: self.ready() == 200, "the router is ready")

    @property
    def router(self) -> RouterProcess:
        """Returns the first router."""
        return self.routers[0]

    def ready(self, router: RouterProcess | None = None) -> int | None:
        """Returns the status of the readiness check."""
        router = router or self.router
        if router.dialect == "platform":
            return send(
                router.operators_port, "GET", "/readyz", token=None
            ).status
        return send(router.port, "GET", "/-/readyz", token=None).status

    def send(self, method: str, target: str, **more: Any) -> Reply:
        """Sends a request to the first router."""
        return send(self.router.port, method, target, **more)

    def send_later(self, method: str, target: str, **more: Any) -> Any:
        """Sends a request in a thread; returns a function that joins it."""
        replies: list[Reply] = []
        thread = threading.Thread(
            target=lambda: replies.append(self.send(method, target, **more))
        )
        thread.start()

        def join() -> Reply:
            thread.join(WAIT_S + 4)
            assert replies, f"no answer to {target}"
            return replies[0]

        return join

    def wait_for(
        self, check: Callable[[], bool], what: str, seconds: float = WAIT_S
    ) -> None:
        """Waits until something holds."""
        deadline = time.monotonic() + seconds
        while not check():
            assert time.monotonic() < deadline, f"not seen: {what}"
            time.sleep(0.01)

    def forget(self) -> None:
        """Forgets what the fakes have seen so far."""
        self.leader.forget()
        for backend in self.backends:
            for seen in (backend.runs, backend.seen, backend.cancelled):
                seen.clear()

    def runs(self) -> int:
        """Returns how many requests the backend servers received."""
        return sum(sum(b.runs.values()) for b in self.backends)

    def close(self) -> None:
        """Ends everything; no router may have met an unexpected exception."""
        failures = [
            line
            for router in self.routers
            for line in router.log()
            if "injected fault" not in line.get("traceback", "injected fault")
        ]
        for router in self.routers:
            router.close()
        for part in (*self.leaders, *self.backends):
            self.loop.run(part.close())
        self.loop.run(_cancel_tasks())
        self.loop.close()
        assert not failures, failures
