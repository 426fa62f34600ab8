"""Port of the callers: it accepts in small portions and closes without resets.

A port that is closed resets the connections that wait to be accepted, though
their callers may have sent requests on them already.
"""

import asyncio
import ctypes
import socket
import struct
import sys
from typing import Any

from twisted.internet import defer
from twisted.internet import tcp

from waxwingrack.core import data
from waxwingrack.core import logs

# Connections that wait to be accepted at a port.
BACKLOG = 1_024
# Connections accepted in one turn of the event loop. The loop does not know how
# long a connection has waited to be accepted, so none should wait long, and a
# flood of them must not delay what is open.
ACCEPTS_PER_TURN = 64
# Time for handshakes that have begun to complete: a long round trip.
HANDSHAKE_S = 0.2

# `SO_ATTACH_FILTER` of asm-generic/socket.h; the module `socket` lacks it.
_SO_ATTACH_FILTER = 26
# Classic BPF program over a TCP segment; an instruction is a code, a jump if
# true, a jump if false and an operand. It drops segments that open a
# connection: those with SYN and without ACK in byte 13. The sockets of accepted
# connections inherit it without harm, as they get no such segments.
_DROP_SYN = (
    (0x30, 0, 0, 13),  # load a byte
    (0x54, 0, 0, 0x12),  # and: SYN and ACK
    (0x15, 0, 1, 0x02),  # equal to SYN alone?
    (0x06, 0, 0, 0),  # return: drop
    (0x06, 0, 0, 0xFFFFFFFF),  # return: keep
)


class CallersPort(tcp.Port):
    """Listening port that accepts a bounded number of connections a turn."""

    def doRead(self) -> None:  # noqa: N802
        """Accepts some of the connections that wait."""
        self.numberAccepts = ACCEPTS_PER_TURN
        super().doRead()

    def accept_all(self) -> None:
        """Accepts all connections that wait."""
        self.numberAccepts = BACKLOG
        super().doRead()


def listen(reactor: Any, address: data.Address, site: Any) -> CallersPort:
    """Opens the port of the callers.

    Args:
      reactor: Twisted's reactor.
      address: Where to listen.
      site: Site that handles the connections.

    Returns:
      The port.

    Raises:
      twisted.internet.error.CannotListenError: The address cannot be used.
    """
    port = CallersPort(address.port, site, BACKLOG, address.host, reactor)
    port.startListening()
    return port


async def close_port(port: CallersPort) -> None:
    """Closes a port after it has accepted every connection made to it.

    New connections are ignored first: a caller that tries again a second later
    finds the port closed. Where the system cannot do that, connections made
    while the port is being closed are reset.

    Args:
      port: The port.
    """
    if _ignore_connections(port):
        await asyncio.sleep(HANDSHAKE_S)
    port.accept_all()
    closed = defer.maybeDeferred(port.stopListening)
    await closed.asFuture(asyncio.get_running_loop())


def _ignore_connections(port: Any) -> bool:
    """Lets a port ignore attempts to connect; returns whether it does."""
    if sys.platform != "linux":
        return False
    instructions = b"".join(struct.pack("=HBBI", *line) for line in _DROP_SYN)
    buffer = ctypes.create_string_buffer(instructions)
    program = struct.pack("@HP", len(_DROP_SYN), ctypes.addressof(buffer))
    try:
        port.socket.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)
    except OSError as exc:
        logs.event("connection_filter_failed", reason=str(exc))
        return False
    return True
