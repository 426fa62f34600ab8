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


class _Direction:
    """Bytes on their way in one direction of one connection."""

    def __init__(self, link, name):
        self._link = link
        self._name = name
        self._held = []
        self._target = None
        self.stopped = False

    def attach(self, target):
        self._target = target
        self.flush()

    def push(self, blob):
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
        self.up = _Direction(link, "up")
        self.down = _Direction(link, "down")
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
    def __init__(self):
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

    def lineReceived(self, line):  # noqa: N802
        command = json.loads(line)
        if "add" in command:
            answer = self._add(command)
        else:
            link = self._links[command["link"]]
            link.change(command)
            answer = link.state()
        self.sendLine(json.dumps(answer).encode())

    def connectionLost(self, reason):  # noqa: N802
        if reactor.running:
            reactor.stop()

    def _add(self, command):
        link = self._links[command["add"]] = _Link()
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
