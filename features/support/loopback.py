"""Ports for the processes of the features."""

import random
import socket

HOST = "127.0.0.1"
# Below the range of outgoing connections, which could take a port between its
# choice and the start of the process that listens on it.
PORTS = (12_000, 32_000)

# UDP sockets on the ports that this process has chosen. They keep features
# that run at the same time from choosing the same ones.
_reserved: list[socket.socket] = []


def free_ports(count: int) -> list[int]:
    """Chooses free TCP ports on the loopback address.

    Args:
      count: Number of ports.

    Returns:
      The ports, reserved for this process until it ends.
    """
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(*PORTS)
        if _reserve(port):
            found.append(port)
    return found


def _reserve(port: int) -> bool:
    mark = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        mark.bind((HOST, port))
        with socket.socket() as probe:
            probe.bind((HOST, port))
    except OSError:
        mark.close()
        return False
    _reserved.append(mark)
    return True
