"""Plain round-robin router that the measurements compare with.

It forwards each request at once to the next backend server, without queues,
limits or fairness. Usage: `python -m bench.baseline PORT SERVICE=PORT,... ...`.
"""

import itertools
import sys

import klein
import treq
from twisted.internet import endpoints
from twisted.web import client
from twisted.web import server

from waxwingrack.daemons import event_loop


def _resource(pools):
    from twisted.internet import reactor

    servers = {
        service: itertools.cycle(ports) for service, ports in pools.items()
    }
    pool = client.HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = 256
    agent = client.Agent(reactor, pool=pool)
    app = klein.Klein()

    @app.route("/<service>/<path:rest>", methods=["GET", "POST"])
    async def forward(req, service, rest):
        port = next(servers[service])
        response = await treq.request(
            req.method.decode(),
            f"http://127.0.0.1:{port}/{service}/{rest}",
            data=req.content.read(),
            headers={"Content-Type": "application/json"},
            agent=agent,
        )
        req.setResponseCode(response.code)
        return await response.content()

    return app.resource()


async def _main(port, pools):
    from twisted.internet import reactor

    endpoint = endpoints.TCP4ServerEndpoint(
        reactor, port, interface="127.0.0.1"
    )
    await endpoint.listen(server.Site(_resource(pools)))
    await event_loop.make_stop_event().wait()


if __name__ == "__main__":
    event_loop.run(
        _main(
            int(sys.argv[1]),
            {
                name: [int(port) for port in ports.split(",")]
                for name, ports in (arg.split("=") for arg in sys.argv[2:])
            },
        )
    )
