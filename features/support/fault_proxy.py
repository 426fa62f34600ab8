"""Fault-injecting TCP proxy on twisted's port forwarder.

Runs as a process of its own. Each link forwards one local port to one target.
Commands arrive as JSON lines on the standard input and are answered with one
JSON line each:

    {"add": "r1-c1", "host": "127.0.0.1", "port": 7001}  -> {"port": 40001}
    {"link": "r1-c1", "up": false, "down": true}         -> {}
    {"link": "r1-c1", "delay_ms": 50}                    -> {}
    {"link": "r1-c1", "reset": true}                     -> {}
    {"link": "e-e1", "hold": ["down", "POST"]}           -> {}
    {"link": "e-e1", "hold": null}                       -> {}
    {"link": "e-e1", "release": true}                    -> {}

    {"add": "r1-c1", ..., "pipe": "r1"}                  -> {"port": 40001}
    {"pipe": "r1", "bytes_per_s": 1000000}               -> {}

Links with the same pipe share its rate in each direction, first come, first
served, as they would share the network link of one machine. Each connection has
at most a window of bytes in the pipe.

A direction that is cut holds its bytes and delivers them after the cut, as TCP
does with retransmissions; `up` is from the client to the target.

`hold` holds one direction of each later connection whose first request has the
named method, until `release`, even if the client has gone by then. Each answer
to a command for a link tells how many connections are held with bytes and how
many requests of each method the link has seen.
"""

import collections
import json
import sys

from twisted.internet import reactor
from twisted.internet import stdio
from twisted.protocols import basic
from twisted.protocols import portforward

# Bytes of one connection that may be on their way in a pipe, as with TCP.
WINDOW_BYTES = 131_072
# Largest part of the bytes of one connection that is passed on at once.
SEGMENT_BYTES = 8_192


class _PipeDirection:
    """Bytes of all connections that share a link, in one direction."""

    def __init__(self):
        self.bytes_per_s = None
        self._free_s = 0.0

    def push(self, direction, blob):
        if self.bytes_per_s is None:
            direction.deliver(blob)
            return
        start_s = max(self._free_s, reactor.seconds())
        for begin in range(0, len(blob or b"") or 1, SEGMENT_BYTES):
            part = blob and blob[begin : begin + SEGMENT_BYTES]
            start_s += len(part or b"") / self.bytes_per_s
            delay_s = max(0.0, start_s - reactor.seconds())
            reactor.callLater(delay_s, direction.deliver, part)
        self._free_s = start_s


class _Direction:
    """Bytes on their way in one direction of one connection."""

    def __init__(self, link, name, source=lambda: None):
        self._link = link
        self._name = name
        self._source = source
        self._in_pipe = 0
        self._held = []
        self._target = None
        self.stopped = False

    def attach(self, target):
        self._target = target
        self.flush()

    def push(self, blob):
        if self._link.pipe is None:
            self._pass(blob)
            return
        self._in_pipe += len(blob or b"")
        if self._in_pipe > WINDOW_BYTES:
            self._source().pauseProducing()
        self._link.pipe[self._name].push(self, blob)

    def deliver(self, blob):
        """Takes bytes that have passed the pipe."""
        was_full = self._in_pipe > WINDOW_BYTES
        self._in_pipe -= len(blob or b"")
        if was_full and self._in_pipe <= WINDOW_BYTES:
            self._source().resumeProducing()
        self._pass(blob)

    def _pass(self, blob):
        if self._link.delay_ms:
            reactor.callLater(self._link.delay_ms / 1000, self._queue, blob)
        else:
            self._queue(blob)

    def close(self):
        self.push(None)

    def _queue(self, blob):
        self._held.append(blob)
        self.flush()

    def flush(self):
        while self._held and self._target and self._passes():
            blob = self._held.pop(0)
            if blob is None:
                self._target.loseConnection()
            else:
                self._target.write(blob)

    def _passes(self):
        return self._link.open[self._name] and not self.stopped

    @property
    def holds(self):
        """Whether a hold has bytes of this direction."""
        return self.stopped and bool(self._held)

    def drop(self):
        self._held.clear()
        self.stopped = False


class _Client(portforward.ProxyClient):
    def connectionMade(self):  # noqa: N802
        self.peer.setPeer(self)
        self.peer.up.attach(self.transport)
        self.peer.down.attach(self.peer.transport)

    def dataReceived(self, data):  # noqa: N802
        self.peer.down.push(data)

    def connectionLost(self, reason):  # noqa: N802
        self.peer.down.close()


class _ClientFactory(portforward.ProxyClientFactory):
    protocol = _Client

    def clientConnectionFailed(self, connector, reason):  # noqa: N802
        self.server.transport.abortConnection()


class _Server(portforward.ProxyServer):
    clientProtocolFactory = _ClientFactory  # noqa: N815
    lost = False
    method = None

    def connectionMade(self):  # noqa: N802
        link = self.factory.link
        self.up = _Direction(link, "up", lambda: self.transport)
        self.down = _Direction(link, "down", lambda: self.peer.transport)
        link.connections.add(self)
        client = self.clientProtocolFactory()
        client.setServer(self)
        reactor.connectTCP(self.factory.host, self.factory.port, client)

    def dataReceived(self, data):  # noqa: N802
        if self.method is None:
            self.method = data.split(b" ", 1)[0].decode(errors="replace")
            self.factory.link.begin(self)
        self.up.push(data)

    def connectionLost(self, reason):  # noqa: N802
        self.lost = True
        # A held request is delivered later although its client has gone.
        if not self.up.stopped:
            self.factory.link.connections.discard(self)
        self.up.close()


class _Link:
    def __init__(self, pipe=None):
        self.pipe = pipe
        self.open = {"up": True, "down": True}
        self.delay_ms = 0
        self.connections = set()
        self.hold = None
        self.seen = collections.Counter()

    def begin(self, conn):
        """Notes a connection whose first bytes have arrived."""
        self.seen[conn.method] += 1
        if self.hold is not None and self.hold[1] == conn.method:
            getattr(conn, self.hold[0]).stopped = True

    def state(self):
        held = sum(c.up.holds or c.down.holds for c in self.connections)
        return {"held": held, "seen": self.seen}

    def change(self, command):
        self.delay_ms = command.get("delay_ms", self.delay_ms)
        self.hold = command.get("hold", self.hold)
        for name in ("up", "down"):
            self.open[name] = command.get(name, self.open[name])
        for conn in tuple(self.connections):
            if command.get("release"):
                conn.up.stopped = conn.down.stopped = False
            if command.get("reset"):
                conn.up.drop()
                conn.down.drop()
                conn.transport.abortConnection()
                if conn.peer is not None:
                    conn.peer.transport.abortConnection()
            else:
                conn.up.flush()
                conn.down.flush()
            if conn.lost and not conn.up.stopped:
                self.connections.discard(conn)


class _Control(basic.LineOnlyReceiver):
    delimiter = b"\n"

    def __init__(self):
        self._links = {}
        self._pipes = collections.defaultdict(
            lambda: {"up": _PipeDirection(), "down": _PipeDirection()}
        )

    def lineReceived(self, line):  # noqa: N802
        command = json.loads(line)
        if "add" in command:
            answer = self._add(command)
        elif "pipe" in command:
            for direction in self._pipes[command["pipe"]].values():
                direction.bytes_per_s = command["bytes_per_s"]
            answer = {}
        else:
            link = self._links[command["link"]]
            link.change(command)
            answer = link.state()
        self.sendLine(json.dumps(answer).encode())

    def connectionLost(self, reason):  # noqa: N802
        if reactor.running:
            reactor.stop()

    def _add(self, command):
        pipe = self._pipes[command["pipe"]] if "pipe" in command else None
        link = self._links[command["add"]] = _Link(pipe)
        factory = portforward.ProxyFactory(command["host"], command["port"])
        factory.protocol = _Server
        factory.link = link
        port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        return {"port": port.getHost().port}


def main():
    """Runs the proxy until the standard input ends."""
    stdio.StandardIO(_Control())
    reactor.run()


if __name__ == "__main__":
    sys.exit(main())
