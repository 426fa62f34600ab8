"""Connections between the processes of the system.

Messages travel as CBOR in binary websocket frames. Both ends authenticate by
mutual TLS or, on loopback only, by an HMAC with a shared key. Heartbeats are
the business of the callers of this module; websocket pings are off.
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

# Longest time for the hello exchange, in seconds.
HELLO_TIMEOUT_S = 2.0
# Unsent bytes after which a connection to a slow peer is closed.
MAX_UNSENT_BYTES = 16 * 1024 * 1024
NONCE_BYTES = 16
# First byte of a zlib stream with a window of 32 KiB.
ZLIB_FIRST_BYTE = b"\x78"


class HandshakeError(Exception):
    """The peer did not authenticate or speaks another protocol version."""


class VersionError(HandshakeError):
    """The peer speaks another protocol version."""


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """How this process presents itself.

    Attributes:
      role: Role of the process.
      node_id: Node id of the process.
      incarnation: Changes with each start of the process.
      shared_key: Key for the HMAC; empty with mutual TLS.
      tls: Files for mutual TLS; None allows only loopback addresses.
      plaintext: Whether peers need not authenticate, on any address.
    """

    role: data.Role
    node_id: str
    incarnation: str
    shared_key: bytes = b""
    tls: data.TlsFiles | None = None
    plaintext: bool = False


@dataclasses.dataclass(slots=True)
class Counts:
    """Traffic of a process, counted since its start.

    Attributes:
      bytes_sent: Bytes of sent frames, without frame headers.
      bytes_received: Bytes of received frames, without frame headers.
      messages_sent: Sent messages.
      messages_received: Received messages.
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
    """Receives the events of connections."""

    def connected(self, conn: "Connection") -> None:
        """Called once the peer has authenticated."""

    def received(self, conn: "Connection", message: Any) -> None:
        """Called for each well-formed message."""

    def disconnected(self, conn: "Connection") -> None:
        """Called once after the connection has ended."""


class _DirectFrames:
    """Passes whole binary frames on at once, without waking a reader task.

    Waking a task for each frame took a tenth of the leader's time for a grant.

    Attributes:
      on_frame: Receives the frames; None leaves them to the reader task.
    """

    on_frame: Callable[[bytes], None] | None = None

    def process_event(self, event: Any) -> None:
        """Takes an event of the protocol; see `websockets`."""
        if (
            self.on_frame is not None
            and event.opcode is frames.Opcode.BINARY
            and event.fin
        ):
            self.on_frame(bytes(event.data))
        else:
            super().process_event(event)


class _ServerSocket(_DirectFrames, ws_server.ServerConnection):
    """Accepted websocket."""


class _ClientSocket(_DirectFrames, client.ClientConnection):
    """Opened websocket."""


class Connection:
    """An authenticated connection to another process.

    Attributes:
      peer: Hello of the peer.
      remote: Address of the peer as text.
    """

    def __init__(
        self,
        socket: ws_connection.Connection,
        peer: messages.Hello,
        counts: Counts,
    ):
        self.peer = peer
        self.remote = str(socket.remote_address)
        self._socket = socket
        self._counts = counts
        # References live and end with the connection.
        self._encoder = wire.Encoder()
        self._decoder = wire.Decoder()
        self._unsent: collections.deque[bytes] = collections.deque()
        self._unsent_bytes = 0
        self._wake = asyncio.Event()
        self._closed = False
        self._last = False
        self._fault: Exception | None = None

    @property
    def closed(self) -> bool:
        """Whether the connection has ended or is being closed."""
        return self._closed

    @property
    def unsent_bytes(self) -> int:
        """Bytes of messages that wait to be sent."""
        return self._unsent_bytes

    def send(self, message: Any) -> bool:
        """Queues a message.

        Args:
          message: A registered message.

        Returns:
          False if the connection is closed or was closed now because the peer
          reads too slowly.
        """
        if self._closed or self._last:
            return False
        return self.send_frame(self._encoder.encode(message))

    def send_frame(self, frame: bytes) -> bool:
        """Queues a message encoded by `messages.CODEC`; see `send`."""
        if self._closed or self._last:
            return False
        if self._unsent_bytes + len(frame) > MAX_UNSENT_BYTES:
            logs.event("peer_too_slow", peer=self.peer.node_id)
            self.close()
            return False
        if not self._unsent and self._write_now(frame):
            return True
        self._unsent.append(frame)
        self._unsent_bytes += len(frame)
        self._wake.set()
        return True

    def _write_now(self, frame: bytes) -> bool:
        """Sends a frame without the writer task if nothing is unsent.

        Returns:
          False if the frame is left to the writer task.
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

    def send_last(self, message: Any) -> None:
        """Queues a message and closes the connection once it was sent.

        Args:
          message: A registered message.
        """
        if self.send(message):
            self._last = True
            self._wake.set()

    def close(self) -> None:
        """Closes the connection at once; unsent messages are dropped."""
        if not self._closed:
            self._closed = True
            self._wake.set()
            self._socket.transport.abort()

    async def run(self, listener: Listener) -> None:
        """Sends and receives until the connection ends.

        Args:
          listener: Receives the events.
        """
        listener.connected(self)
        writer = asyncio.ensure_future(self._write())
        try:
            await self._read(listener)
        except (exceptions.ConnectionClosed, OSError):
            pass
        finally:
            self.close()
            self._socket.on_frame = None
            await asyncio.gather(writer, return_exceptions=True)
            listener.disconnected(self)
        if self._fault is not None:
            raise self._fault

    async def _read(self, listener: Listener) -> None:
        async for frame in self._socket:
            self._receive(
                listener, frame.encode() if isinstance(frame, str) else frame
            )
            if self._closed:
                return
            if not self._socket.recv_messages.frames:
                # Every earlier frame has been taken.
                self._socket.on_frame = functools.partial(
                    self._receive_direct, listener
                )

    def _receive_direct(self, listener: Listener, blob: bytes) -> None:
        if self._closed:
            return
        try:
            self._receive(listener, blob)
        except Exception as exc:
            # The caller of `run` learns of it, as from the reader task.
            self._fault = exc
            self.close()

    def _receive(self, listener: Listener, blob: bytes) -> None:
        self._counts.bytes_received += len(blob)
        match self._decoder.decode(_expand(blob)):
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
            # Later frames may refer to what the refused one defined.
            self.close()

    async def _write(self) -> None:
        while not self._closed:
            await self._wake.wait()
            self._wake.clear()
            while self._unsent and not self._closed:
                frame = self._unsent.popleft()
                self._unsent_bytes -= len(frame)
                try:
                    await self._socket.send(frame)
                except (exceptions.ConnectionClosed, OSError):
                    self.close()
                    return
                self._count_sent(frame)
            if self._last and not self._closed:
                await self._socket.close()


def compress(frame: bytes) -> bytes:
    """Compresses an encoded message; the receiver expands it unasked.

    Args:
      frame: Encoded message.

    Returns:
      A frame for `Connection.send_frame`.
    """
    return zlib.compress(frame)


def _expand(blob: bytes) -> bytes:
    """Expands a compressed frame up to the size limit of a frame."""
    # A message is a CBOR array, whose first byte is another one.
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
    counts: Counts,
) -> ws_server.Server:
    """Accepts connections of other processes.

    Args:
      address: Address to listen on; port 0 chooses a free port.
      identity: Identity of this process.
      listener: Receives the events of every connection.
      counts: Counters to add to.

    Returns:
      The server; its `close` method ends it.

    Raises:
      OSError: The address cannot be used.
      HandshakeError: The address is not loopback and no TLS files are set.
    """
    require_protection(address, identity)

    async def handle(socket: ws_server.ServerConnection) -> None:
        peer = await _handshake(
            _accept_hello(socket, identity), socket, counts, "accept"
        )
        if peer is not None:
            await Connection(socket, peer, counts).run(listener)

    context = None
    if identity.tls is not None:
        context = tls.server_context(
            identity.tls,
            # The address of the peer is not known within the handshake.
            functools.partial(_refused, counts, "accept", None),
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
    counts: Counts,
) -> Connection | None:
    """Connects to another process.

    Args:
      address: Address of the process.
      identity: Identity of this process.
      counts: Counters to add to.

    Returns:
      The connection, whose `run` method the caller must await, or None if the
      peer cannot be reached or does not authenticate.

    Raises:
      HandshakeError: The address is not loopback and no TLS files are set.
    """
    require_protection(address, identity)
    context = identity.tls and tls.client_context(identity.tls)
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
        fault = tls.fault_of(exc)
        if fault is not None:
            _refused(counts, "connect", str(address), fault)
        return None
    peer = await _handshake(
        _send_hello(socket, identity), socket, counts, "connect"
    )
    return None if peer is None else Connection(socket, peer, counts)


def require_protection(address: data.Address, identity: Identity) -> None:
    """Refuses addresses on which the shared key alone does not protect.

    Args:
      address: Address to listen on or to connect to.
      identity: Identity of this process.

    Raises:
      HandshakeError: The address is not loopback and no TLS files are set.
    """
    if (
        identity.tls is None
        and not identity.plaintext
        and not ipaddress.ip_address(address.host).is_loopback
    ):
        raise HandshakeError(f"{address} needs TLS files: not loopback")


def _refused(
    counts: Counts, side: str, remote: str | None, reason: BaseException
) -> None:
    counts.refused += 1
    logs.event(
        "handshake_failed",
        side=side,
        remote=remote,
        reason=str(reason) or type(reason).__name__,
    )


async def _handshake(
    exchange: Awaitable[messages.Hello],
    socket: ws_connection.Connection,
    counts: Counts,
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
        _refused(counts, side, str(socket.remote_address), exc)
        if isinstance(exc, VersionError):
            # The peer logs the reason, so that both ends name the fault.
            await socket.close(frames.CloseCode.PROTOCOL_ERROR, str(exc))
        else:
            socket.transport.abort()
        return None
    except asyncio.CancelledError:
        socket.transport.abort()
        raise


async def _send_hello(
    socket: ws_connection.Connection, identity: Identity
) -> messages.Hello:
    own = _hello(identity)
    await socket.send(messages.CODEC.encode(own))
    peer = await _receive_hello(socket)
    _check_proof(identity, b"server", own.nonce, peer)
    answer = dataclasses.replace(
        own, proof=_proof(identity, b"client", peer.nonce, own)
    )
    await socket.send(messages.CODEC.encode(answer))
    return peer


async def _accept_hello(
    socket: ws_connection.Connection, identity: Identity
) -> messages.Hello:
    first = await _receive_hello(socket)
    own = _hello(identity)
    own = dataclasses.replace(
        own, proof=_proof(identity, b"server", first.nonce, own)
    )
    await socket.send(messages.CODEC.encode(own))
    peer = await _receive_hello(socket)
    if dataclasses.replace(peer, proof=b"") != first:
        raise HandshakeError("the peer changed its hello")
    _check_proof(identity, b"client", own.nonce, peer)
    return peer


def _hello(identity: Identity) -> messages.Hello:
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
            raise HandshakeError("the first message is not a hello")


def _proof(
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
    expected = _proof(identity, side, nonce, hello)
    if not hmac.compare_digest(expected, hello.proof):
        raise HandshakeError(f"{hello.node_id} has another shared key")
    if not expected and identity.tls is None and not identity.plaintext:
        raise HandshakeError("neither TLS files nor a shared key are set")


def read_secret(path: str | None) -> bytes:
    """Reads a key or token.

    Args:
      path: Path of the file; None for no secret.

    Returns:
      The secret without surrounding white space; empty for no path.

    Raises:
      OSError: The file cannot be read.
      ValueError: The file is empty; anybody would know such a secret.
    """
    if path is None:
        return b""
    secret = pathlib.Path(path).read_bytes().strip()
    if not secret:
        raise ValueError(f"{path} is empty")
    return secret
