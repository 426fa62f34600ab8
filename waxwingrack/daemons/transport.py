"""Connections between the processes of the system.

Messages are CBOR in binary websocket frames. Both ends authenticate by mutual
TLS or, on loopback only, by an HMAC with a shared key. Websocket pings are
disabled; the users of this module send heartbeats of their own.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import functools
import hmac
import ipaddress
import pathlib
import secrets
from typing import Any
from typing import Protocol
import zlib

from returns import result
from websockets import exceptions
from websockets import frames
from websockets import protocol as ws_protocol
from websockets.asyncio import client
from websockets.asyncio import connection as ws_connection
from websockets.asyncio import server as ws_server

from waxwingrack.core import data
from waxwingrack.core import logs
from waxwingrack.core import messages
from waxwingrack.core import wire
from waxwingrack.daemons import tls

# Time limit of the hello exchange.
HELLO_TIMEOUT_S = 2.0
# A connection whose unsent bytes would exceed this is closed: its peer reads
# too slowly.
MAX_UNSENT_BYTES = 16 * 1024 * 1024
NONCE_BYTES = 16
# First byte of a zlib stream with a window of 32 KiB.
ZLIB_FIRST_BYTE = b"\x78"


class HandshakeError(Exception):
    """The peer did not authenticate or uses another protocol version."""


class VersionError(HandshakeError):
    """The peer uses another protocol version."""


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identity and credentials that this process presents to its peers.

    Attributes:
      role: Role of the process.
      node_id: Node id of the process.
      incarnation: Id of this start of the process.
      shared_key: Key for the HMAC; empty with mutual TLS.
      tls: Files for mutual TLS; without them, and without `plaintext`, only
        loopback addresses are allowed.
      plaintext: Whether peers may connect from any address without
        authentication.
    """

    role: data.Role
    node_id: str
    incarnation: str
    shared_key: bytes = b""
    tls: data.TlsFiles | None = None
    plaintext: bool = False


@dataclasses.dataclass(slots=True)
class TrafficCounts:
    """Traffic between this process and others, counted since its start.

    The names of the fields are parts of metric names.

    Attributes:
      bytes_sent: Bytes of sent frames, without frame headers.
      bytes_received: Bytes of received frames, without frame headers.
      messages_sent: Sent messages.
      messages_received: Received well-formed messages.
      malformed: Frames that could not be decoded.
      refused: Connections whose peer did not authenticate.
    """

    bytes_sent: int = 0
    bytes_received: int = 0
    messages_sent: int = 0
    messages_received: int = 0
    malformed: int = 0
    refused: int = 0


class Listener(Protocol):
    """Callbacks for the events of connections."""

    def connected(self, conn: "Connection") -> None:
        """Called once the peer has authenticated."""

    def received(self, conn: "Connection", message: Any) -> None:
        """Called for each well-formed message."""

    def disconnected(self, conn: "Connection") -> None:
        """Called once after the connection has ended."""


class _FrameCallbackMixin:
    """Passes complete binary frames to a callback without a reader task.

    Waking a task for each frame took a tenth of the leader's time for a grant.

    Attributes:
      on_frame: Callback for frames; None leaves them to the reader task.
    """

    on_frame: Callable[[bytes], None] | None = None

    def process_event(self, event: Any) -> None:
        """Handles an event of the protocol; see `websockets`."""
        if (
            self.on_frame is not None
            and event.opcode is frames.Opcode.BINARY
            and event.fin
        ):
            self.on_frame(bytes(event.data))
        else:
            super().process_event(event)


class _ServerSocket(_FrameCallbackMixin, ws_server.ServerConnection):
    """Websocket of an accepted connection."""


class _ClientSocket(_FrameCallbackMixin, client.ClientConnection):
    """Websocket of an outgoing connection."""


class Connection:
    """An authenticated connection to another process.

    Attributes:
      peer: Hello message of the peer.
      remote: Network address of the peer as text.
    """

    def __init__(
        self,
        socket: ws_connection.Connection,
        peer: messages.Hello,
        counts: TrafficCounts,
    ):
        self.peer = peer
        self.remote = str(socket.remote_address)
        self._socket = socket
        self._counts = counts
        # References between messages are valid within one connection only.
        self._encoder = wire.Encoder()
        self._decoder = wire.Decoder()
        self._unsent_frames: collections.deque[bytes] = collections.deque()
        self._unsent_bytes = 0
        self._send_wakeup = asyncio.Event()
        self._closed = False
        self._closing_after_send = False
        self._listener_error: Exception | None = None

    @property
    def closed(self) -> bool:
        """Whether the connection has ended or is being closed."""
        return self._closed

    @property
    def unsent_bytes(self) -> int:
        """Bytes of queued frames that have not been sent yet."""
        return self._unsent_bytes

    def send(self, message: Any) -> bool:
        """Queues a message.

        Args:
          message: A registered message.

        Returns:
          False if the message was not queued: the connection is closed or
          closing, or was closed by this call because the peer reads too slowly.
        """
        if self._closed or self._closing_after_send:
            return False
        return self.send_frame(self._encoder.encode(message))

    def send_frame(self, frame: bytes) -> bool:
        """Queues a message encoded with `messages.CODEC`; see `send`."""
        if self._closed or self._closing_after_send:
            return False
        if self._unsent_bytes + len(frame) > MAX_UNSENT_BYTES:
            logs.event("peer_too_slow", peer=self.peer.node_id)
            self.close()
            return False
        if not self._unsent_frames and self._try_send_now(frame):
            return True
        self._unsent_frames.append(frame)
        self._unsent_bytes += len(frame)
        self._send_wakeup.set()
        return True

    def _try_send_now(self, frame: bytes) -> bool:
        """Sends a frame at once if the socket has no unsent data.

        Args:
          frame: Encoded message.

        Returns:
          False if the writer task has to send the frame.
        """
        socket = self._socket
        if (
            socket.protocol.state is not ws_protocol.State.OPEN
            or socket.transport.is_closing()
            or socket.transport.get_write_buffer_size()
        ):
            return False
        socket.protocol.send_binary(frame)
        socket.send_data()
        self._count_sent(frame)
        return True

    def _count_sent(self, frame: bytes) -> None:
        self._counts.bytes_sent += len(frame)
        self._counts.messages_sent += 1

    def send_and_close(self, message: Any) -> None:
        """Queues a last message and closes the connection once it is sent.

        Args:
          message: A registered message.
        """
        if self.send(message):
            self._closing_after_send = True
            self._send_wakeup.set()

    def close(self) -> None:
        """Aborts the connection; unsent messages are dropped."""
        if not self._closed:
            self._closed = True
            self._send_wakeup.set()
            self._socket.transport.abort()

    async def run(self, listener: Listener) -> None:
        """Sends and receives until the connection ends.

        Args:
          listener: Receives the events.

        Raises:
          Exception: The listener raised it while it handled a message.
        """
        listener.connected(self)
        writer = asyncio.ensure_future(self._send_queued_frames())
        try:
            await self._receive_frames(listener)
        except (exceptions.ConnectionClosed, OSError):
            pass
        finally:
            self.close()
            self._socket.on_frame = None
            await asyncio.gather(writer, return_exceptions=True)
            listener.disconnected(self)
        if self._listener_error is not None:
            raise self._listener_error

    async def _receive_frames(self, listener: Listener) -> None:
        async for frame in self._socket:
            self._handle_frame(
                listener, frame.encode() if isinstance(frame, str) else frame
            )
            if self._closed:
                return
            if not self._socket.recv_messages.frames:
                # All queued frames are handled, so a direct delivery keeps the
                # order of frames.
                self._socket.on_frame = functools.partial(
                    self._handle_frame_directly, listener
                )

    def _handle_frame_directly(self, listener: Listener, blob: bytes) -> None:
        if self._closed:
            return
        try:
            self._handle_frame(listener, blob)
        except Exception as exc:
            # `run` raises it, as it does for an exception in the reader task.
            self._listener_error = exc
            self.close()

    def _handle_frame(self, listener: Listener, blob: bytes) -> None:
        self._counts.bytes_received += len(blob)
        match self._decoder.decode(_decompress_frame(blob)):
            case result.Success(message):
                self._counts.messages_received += 1
                listener.received(self, message)
            case result.Failure(error):
                self._counts.malformed += 1
                logs.event(
                    "malformed_message",
                    peer=self.peer.node_id,
                    reason=error.reason,
                )
        if self._decoder.frame_refused:
            # Later frames may refer to definitions in the rejected frame.
            self.close()

    async def _send_queued_frames(self) -> None:
        while not self._closed:
            await self._send_wakeup.wait()
            self._send_wakeup.clear()
            while self._unsent_frames and not self._closed:
                frame = self._unsent_frames.popleft()
                self._unsent_bytes -= len(frame)
                try:
                    await self._socket.send(frame)
                except (exceptions.ConnectionClosed, OSError):
                    self.close()
                    return
                self._count_sent(frame)
            if self._closing_after_send and not self._closed:
                await self._socket.close()


def compress_frame(frame: bytes) -> bytes:
    """Compresses an encoded message.

    The receiver recognises a compressed frame by its first byte.

    Args:
      frame: Encoded message.

    Returns:
      A frame for `Connection.send_frame`.
    """
    return zlib.compress(frame)


def _decompress_frame(blob: bytes) -> bytes:
    """Decompresses a compressed frame up to the size limit of a frame."""
    # An uncompressed message is a CBOR array and has another first byte.
    if blob[:1] != ZLIB_FIRST_BYTE:
        return blob
    try:
        return zlib.decompressobj().decompress(blob, messages.MAX_FRAME_BYTES)
    except zlib.error:
        return blob


async def serve(
    address: data.Address,
    identity: Identity,
    listener: Listener,
    counts: TrafficCounts,
) -> ws_server.Server:
    """Starts a server that accepts connections of other processes.

    Args:
      address: Address to listen on; port 0 selects a free port.
      identity: Identity of this process.
      listener: Receives the events of every connection.
      counts: Traffic counters to update.

    Returns:
      The server; its `close` method stops it.

    Raises:
      OSError: The address cannot be used.
      HandshakeError: The address requires TLS files and none are set.
    """
    check_transport_security(address, identity)

    async def handle(socket: ws_server.ServerConnection) -> None:
        peer = await _run_handshake(
            _handshake_as_server(socket, identity), socket, counts, "accept"
        )
        if peer is not None:
            await Connection(socket, peer, counts).run(listener)

    context = None
    if identity.tls is not None:
        context = tls.make_server_context(
            identity.tls,
            # The address of the peer is unknown during the TLS handshake.
            functools.partial(_record_refusal, counts, "accept", None),
        )
    return await ws_server.serve(
        handle,
        address.host,
        address.port,
        ssl=context,
        compression=None,
        max_size=messages.MAX_FRAME_BYTES,
        ping_interval=None,
        open_timeout=HELLO_TIMEOUT_S,
        close_timeout=HELLO_TIMEOUT_S,
        create_connection=_ServerSocket,
    )


async def connect(
    address: data.Address,
    identity: Identity,
    counts: TrafficCounts,
) -> Connection | None:
    """Connects to another process.

    Args:
      address: Address of the process.
      identity: Identity of this process.
      counts: Traffic counters to update.

    Returns:
      The connection, whose `run` method the caller must await, or None if the
      peer is unreachable or the handshake failed.

    Raises:
      HandshakeError: The address requires TLS files and none are set.
    """
    check_transport_security(address, identity)
    context = identity.tls and tls.make_client_context(identity.tls)
    scheme = "wss" if context else "ws"
    try:
        socket = await client.connect(
            f"{scheme}://{address.host}:{address.port}/",
            ssl=context,
            proxy=None,
            compression=None,
            max_size=messages.MAX_FRAME_BYTES,
            ping_interval=None,
            open_timeout=HELLO_TIMEOUT_S,
            close_timeout=HELLO_TIMEOUT_S,
            create_connection=_ClientSocket,
        )
    except (OSError, TimeoutError, exceptions.WebSocketException) as exc:
        fault = tls.find_tls_error(exc)
        if fault is not None:
            _record_refusal(counts, "connect", str(address), fault)
        return None
    peer = await _run_handshake(
        _handshake_as_client(socket, identity), socket, counts, "connect"
    )
    return None if peer is None else Connection(socket, peer, counts)


def check_transport_security(address: data.Address, identity: Identity) -> None:
    """Checks that connections on an address are protected.

    The shared key authenticates peers but does not encrypt, so without TLS only
    loopback addresses are allowed.

    Args:
      address: Address to listen on or to connect to.
      identity: Identity of this process.

    Raises:
      HandshakeError: The address requires TLS files and none are set.
    """
    if (
        identity.tls is None
        and not identity.plaintext
        and not ipaddress.ip_address(address.host).is_loopback
    ):
        raise HandshakeError(
            f"{address} is not a loopback address and requires TLS files"
        )


def _record_refusal(
    counts: TrafficCounts, side: str, remote: str | None, reason: BaseException
) -> None:
    counts.refused += 1
    logs.event(
        "handshake_failed",
        side=side,
        remote=remote,
        reason=str(reason) or type(reason).__name__,
    )


def _was_abandoned(exc: BaseException) -> bool:
    """Tells whether the peer went away, rather than that it was refused.

    A process gives up a connection to a peer that is starting and takes too
    long; its bytes then end without a close frame and without a TLS alert.
    """
    return (
        isinstance(exc, exceptions.ConnectionClosedError)
        and exc.rcvd is None
        and tls.find_tls_error(exc) is None
    )


async def _run_handshake(
    exchange: Awaitable[messages.Hello],
    socket: ws_connection.Connection,
    counts: TrafficCounts,
    side: str,
) -> messages.Hello | None:
    try:
        return await asyncio.wait_for(exchange, HELLO_TIMEOUT_S)
    except (
        HandshakeError,
        TimeoutError,
        OSError,
        exceptions.ConnectionClosed,
    ) as exc:
        if _was_abandoned(exc):
            logs.event(
                "handshake_abandoned",
                side=side,
                remote=str(socket.remote_address),
            )
        else:
            _record_refusal(counts, side, str(socket.remote_address), exc)
        if isinstance(exc, VersionError):
            # The close reason lets the peer log the same fault.
            await socket.close(frames.CloseCode.PROTOCOL_ERROR, str(exc))
        else:
            socket.transport.abort()
        return None
    except asyncio.CancelledError:
        socket.transport.abort()
        raise


async def _handshake_as_client(
    socket: ws_connection.Connection, identity: Identity
) -> messages.Hello:
    own_hello = _make_hello(identity)
    await socket.send(messages.CODEC.encode(own_hello))
    peer = await _receive_hello(socket)
    _check_proof(identity, b"server", own_hello.nonce, peer)
    answer = dataclasses.replace(
        own_hello,
        proof=_compute_proof(identity, b"client", peer.nonce, own_hello),
    )
    await socket.send(messages.CODEC.encode(answer))
    return peer


async def _handshake_as_server(
    socket: ws_connection.Connection, identity: Identity
) -> messages.Hello:
    first_hello = await _receive_hello(socket)
    own_hello = _make_hello(identity)
    own_hello = dataclasses.replace(
        own_hello,
        proof=_compute_proof(identity, b"server", first_hello.nonce, own_hello),
    )
    await socket.send(messages.CODEC.encode(own_hello))
    peer = await _receive_hello(socket)
    if dataclasses.replace(peer, proof=b"") != first_hello:
        raise HandshakeError(
            "the second hello of the peer differs from its first"
        )
    _check_proof(identity, b"client", own_hello.nonce, peer)
    return peer


def _make_hello(identity: Identity) -> messages.Hello:
    return messages.Hello(
        protocol=messages.PROTOCOL_VERSION,
        role=identity.role,
        node_id=identity.node_id,
        incarnation=identity.incarnation,
        nonce=secrets.token_bytes(NONCE_BYTES),
    )


async def _receive_hello(socket: ws_connection.Connection) -> messages.Hello:
    frame = await socket.recv()
    match messages.CODEC.decode(
        frame.encode() if isinstance(frame, str) else frame
    ):
        case result.Success(messages.Hello() as hello):
            if hello.protocol != messages.PROTOCOL_VERSION:
                raise VersionError(
                    f"protocol version {hello.protocol}, "
                    f"expected {messages.PROTOCOL_VERSION}"
                )
            return hello
        case _:
            raise HandshakeError("received another message than a hello")


def _compute_proof(
    identity: Identity, side: bytes, nonce: bytes, hello: messages.Hello
) -> bytes:
    if not identity.shared_key:
        return b""
    text = "\0".join((hello.role, hello.node_id, hello.incarnation)).encode()
    return hmac.digest(
        identity.shared_key,
        b"\0".join((side, nonce, hello.nonce, text)),
        "sha256",
    )


def _check_proof(
    identity: Identity, side: bytes, nonce: bytes, hello: messages.Hello
) -> None:
    expected = _compute_proof(identity, side, nonce, hello)
    if not hmac.compare_digest(expected, hello.proof):
        raise HandshakeError(f"{hello.node_id} uses another shared key")
    if not expected and identity.tls is None and not identity.plaintext:
        raise HandshakeError(
            "neither TLS files nor a shared key are configured"
        )


def read_secret(path: str | None) -> bytes:
    """Reads a key or token from a file.

    Args:
      path: Path of the file, or None if no secret is configured.

    Returns:
      The secret without surrounding white space; empty without a path.

    Raises:
      OSError: The file cannot be read.
      ValueError: The file is empty; an empty secret would protect nothing.
    """
    if path is None:
        return b""
    secret = pathlib.Path(path).read_bytes().strip()
    if not secret:
        raise ValueError(f"{path} is empty")
    return secret
