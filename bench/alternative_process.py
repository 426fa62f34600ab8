"""Runs a router or controller with an alternative of `bench.alternatives`.

Usage: `python -m bench.alternative_process ALTERNATIVE ROUTERS ROLE SETTINGS`.
The classes extend those of the product, which has no switch for this.
"""

import asyncio
import random
import secrets
import sys

from cleo import application

from bench import alternatives
from waxwingrack.commands import process
from waxwingrack.core import data
from waxwingrack.core import logs
from waxwingrack.core import messages
from waxwingrack.core import registry
from waxwingrack.daemons import clocks
from waxwingrack.daemons import controller
from waxwingrack.daemons import leader
from waxwingrack.daemons import router
from waxwingrack.daemons import storage

# Commands by alternative; each takes the number of routers.
COMMANDS = registry.Registry("alternative")


class RewritingLeader(leader.Leader):
    """Leader that rewrites reports before it handles them."""

    def __init__(self, services, rewrite):
        super().__init__(services)
        self._rewrite = rewrite

    def handle_message(self, session, message):
        """Handles a message of a router."""
        if isinstance(message, messages.RouterReport):
            message = self._rewrite(message)
        super().handle_message(session, message)


class RewritingController(controller.Controller):
    """Controller whose leader rewrites reports."""

    def __init__(self, rewrite, *args):
        super().__init__(*args)
        self._rewrite = rewrite

    def begin_leading(self):
        """Takes up the work of the leader."""
        super().begin_leading()
        self.leader.end()
        self.leader = RewritingLeader(self.leader.services, self._rewrite)


class LocalRouter(router.Router):
    """Router that grants itself a static share of all slots.

    The leader still sends the environment and gets the announcements.
    """

    def __init__(self, routers, settings, *args):
        self._policy = None
        self._scheduled = False
        self._announced = []
        self._timer = None
        super().__init__(settings, *args)
        self._local = alternatives.LocalScheduler(
            data.RouterRef(
                settings.node_id, secrets.token_hex(8), settings.data_centre
            ),
            int(settings.node_id[1:]) - 1,
            routers,
            self.clock(),
        )

    async def start(self):
        """Opens the ports and starts the periodic ticks."""
        await super().start()
        self._timer = asyncio.ensure_future(self._tick_forever())

    async def stop(self):
        """Stops the router."""
        await super().stop()
        self._timer.cancel()

    def handle_environment(self, push):
        """Puts an environment in force."""
        super().handle_environment(push)
        self._policy = data.Policy(
            environment=push.environment,
            drained=frozenset(push.drained),
            refused_digests=frozenset(push.refused_digests),
        )

    def build_report(self, first):
        """Reports announcements only."""
        announced = ()
        if not first:
            announced, self._announced = tuple(self._announced), []
        return messages.RouterReport(
            sent_ms=self.clock(),
            environment_number=self.tables.number if self.tables else 0,
            first=first,
            announcements=announced,
            draining=self.draining,
            data_centre=self.settings.data_centre if first else "",
        )

    def _schedule_report(self, urgent=False):
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._step)

    def _step(self):
        self._scheduled = False
        if self._policy is None:
            return
        report = self.dispatcher.take_report(
            False, self.tables.number, self.draining
        )
        decisions = self._local.step(report, self._policy, self.clock())
        for item in decisions.grants:
            # The leader of the product logs the same for each grant.
            logs.decision(
                "grant",
                item.reason,
                router=item.router,
                term=item.grant.term,
                grant=item.grant.id,
                want=item.grant.want,
                server=item.grant.server_id,
                version=item.grant.version,
            )
        self.dispatcher.apply_update(
            messages.ControllerUpdate(
                echo_ms=report.sent_ms,
                term=alternatives.LOCAL_TERM,
                grants=tuple(item.grant for item in decisions.grants),
                refusals=tuple(item[1] for item in decisions.refusals),
            )
        )
        if report.announcements:
            self._announced.extend(report.announcements)
            self.link.schedule_report()

    async def _tick_forever(self):
        while True:
            await asyncio.sleep(leader.TICK_S)
            self._schedule_report()


class _RewritingCommand(process.ControllerCommand):
    def __init__(self, rewrite):
        super().__init__()
        self._rewrite = rewrite

    def build(self, cfg):
        """Builds the controller."""
        self._lock = storage.lock_folder(cfg.data_folder)
        return RewritingController(
            self._rewrite,
            cfg,
            storage.DiskStorage(cfg.data_folder),
            clocks.monotonic_ms,
            random.Random(),
        )


class _LocalCommand(process.RouterCommand):
    def __init__(self, routers):
        super().__init__()
        self._routers = routers

    def build(self, cfg):
        """Builds the router."""
        return LocalRouter(
            self._routers, cfg, clocks.monotonic_ms, random.Random()
        )


@COMMANDS.register("first_come_first_served")
def _first_come_first_served(routers):
    del routers
    return _RewritingCommand(alternatives.first_come_first_served)


@COMMANDS.register("round_robin")
def _round_robin(routers):
    del routers
    return _RewritingCommand(alternatives.round_robin)


@COMMANDS.register("static_shares")
def _static_shares(routers):
    return _LocalCommand(routers)


def program(alternative, routers):
    """Returns the programs by role that a fleet starts for an alternative.

    Args:
      alternative: Name of the alternative.
      routers: Number of routers of the fleet.
    """
    words = ("-m", "bench.alternative_process", alternative, str(routers))
    return {COMMANDS[alternative](routers).role: words}


def main(words):
    """Runs the process until it is stopped.

    Args:
      words: Alternative, number of routers, role and file with the settings.

    Returns:
      Exit code.
    """
    alternative, routers, role, settings = words
    app = application.Application("bench")
    app.add(COMMANDS[alternative](int(routers)))
    app.auto_exits(False)
    sys.argv = [sys.argv[0], role, settings]
    return app.run()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
