"""Runs one router as a process for the tests.

Reads the settings as JSON from its first argument and prints the ports. The
second argument names the dialect of the headers. The third one names a function
whose first call fails, as `module:name:argument`; the argument limits it to
calls with that value.
"""

import asyncio
import functools
import importlib
import json
import operator
import signal
import sys


def fail_once(place: str) -> None:
    """Lets the first call of a function fail."""
    module, name, argument = place.split(":")
    path, _, leaf = name.rpartition(".")
    owner = importlib.import_module(module)
    if path:
        owner = operator.attrgetter(path)(owner)
    real, left = getattr(owner, leaf), [1]

    @functools.wraps(real)
    def failing(*args, **fields):
        if left and (not argument or argument in args):
            left.clear()
            raise RuntimeError("injected fault")
        return real(*args, **fields)

    setattr(owner, leaf, failing)


def main() -> None:
    """Runs a router until SIGTERM."""
    # Installs the reactor of the program.
    from waxwingrack.daemons import event_loop  # noqa: F401, I001
    import pydantic
    from twisted.internet import reactor

    from waxwingrack.core import data
    from waxwingrack.core import logs
    from waxwingrack.daemons import dialects
    from waxwingrack.daemons import router
    from waxwingrack.platform import headers

    dialect = {"own": dialects.OWN, "platform": headers.PlatformDialect()}
    settings = pydantic.TypeAdapter(data.Settings).validate_json(sys.argv[1])
    logs.configure(settings.node_id, settings.log_level)
    if len(sys.argv) > 3:
        fail_once(sys.argv[3])
    host = router.Router(settings, dialect=dialect[sys.argv[2]])

    loop = asyncio.get_event_loop_policy().get_event_loop()

    async def run() -> None:
        stopping = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, stopping.set)
        await host.start()
        ports = {"callers": host.callers_port, "operators": host.operators_port}
        print(json.dumps(ports), flush=True)
        await stopping.wait()
        await host.stop()
        reactor.stop()

    reactor.callWhenRunning(lambda: asyncio.ensure_future(run()))
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
