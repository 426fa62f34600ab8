"""Closes listening ports in turn while callers connect to them.

Takes the numbers of ports and of callers as arguments. Prints, as JSON, how
many calls were answered and the errors of those that were connected but not
answered.
"""

import asyncio
import json
import socket
import sys
import threading

# Time for which callers connect to a port before it is closed.
OPEN_S = 0.05


class Callers:
    """Callers that connect without a pause to the port that is open."""

    def __init__(self, count):
        self.port = None
        self.answered = 0
        self.lost = []
        self._ended = threading.Event()
        self._threads = [
            threading.Thread(target=self._run) for _ in range(count)
        ]
        for thread in self._threads:
            thread.start()

    def _run(self):
        while not self._ended.is_set():
            conn = socket.socket()
            conn.settimeout(0.5)
            try:
                conn.connect(("127.0.0.1", self.port))
            except (OSError, TypeError):
                conn.close()
                continue
            try:
                conn.sendall(b"x")
                assert conn.recv(1) == b"x"
                self.answered += 1
            except (OSError, AssertionError) as exc:
                self.lost.append(repr(exc))
            finally:
                conn.close()

    def stop(self):
        """Ends the callers."""
        self._ended.set()
        for thread in self._threads:
            thread.join()


async def close_ports(count, callers):
    """Opens and closes ports, one after another."""
    from twisted.internet import protocol
    from twisted.internet import reactor

    from waxwingrack.core import data
    from waxwingrack.daemons import listening

    class Echo(protocol.Protocol):
        def dataReceived(self, chunk):  # noqa: N802  name of the library
            self.transport.write(chunk)

    for _ in range(count):
        port = listening.listen(
            reactor,
            data.Address("127.0.0.1", 0),
            protocol.Factory.forProtocol(Echo),
        )
        callers.port = port.getHost().port
        await asyncio.sleep(OPEN_S)
        await listening.close_port(port)
        # The last connections bring their requests.
        await asyncio.sleep(OPEN_S)


def main():
    """Runs the ports and the callers."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    from twisted.internet import asyncioreactor

    asyncioreactor.install(loop)
    from twisted.internet import reactor

    ports, count = map(int, sys.argv[1:])
    callers = Callers(count)

    async def run():
        await close_ports(ports, callers)
        await asyncio.to_thread(callers.stop)
        print(json.dumps({"answered": callers.answered, "lost": callers.lost}))
        reactor.stop()

    reactor.callWhenRunning(lambda: asyncio.ensure_future(run()))
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
