"""Records departures of backend servers in the replicated log."""

import asyncio

from returns import result

from waxwingrack.core import commands
from waxwingrack.core import logs
from waxwingrack.daemons import replica_driver
from waxwingrack.operations import departures

# Longest time that a server waits until its departure is recorded, in seconds.
# Servers of the users' platform take no answer after 1 s and ask another
# controller.
RECORD_TIMEOUT_S = 0.8


class DepartureLog:
    """Records departures under one leader.

    A departure may be acknowledged only once it is recorded: until then it is
    known to this controller alone.
    """

    def __init__(self, driver: replica_driver.ReplicaDriver):
        """Prepares the log.

        Args:
          driver: Driver of the replica that leads.
        """
        self._driver = driver
        self._pending: dict[departures.ServerKey, asyncio.Future] = {}

    def is_recorded(self, server: departures.ServerKey) -> bool:
        """Returns whether a departure is in the replicated state.

        Args:
          server: Server id and incarnation.
        """
        return server in self._driver.state.departures

    def record(self, server: departures.ServerKey) -> None:
        """Starts to record a departure unless it is recorded or about to be.

        Args:
          server: Server id and incarnation.
        """
        if self.is_recorded(server) or server in self._pending:
            return
        fut = self._driver.propose(commands.NoteDepartures((server,)))
        self._pending[server] = fut
        fut.add_done_callback(lambda fut: self._handle_end(server, fut))

    def _handle_end(
        self, server: departures.ServerKey, fut: asyncio.Future
    ) -> None:
        del self._pending[server]
        outcome = fut.result()
        if isinstance(outcome, result.Failure):
            logs.event(
                "departure_not_recorded",
                server=server[0],
                incarnation=server[1],
                reason=outcome.failure().reason,
            )

    async def wait_until_recorded(self, server: departures.ServerKey) -> bool:
        """Records a departure and waits for it.

        Args:
          server: Server id and incarnation.

        Returns:
          Whether it is recorded; if not, it may still be recorded later.
        """
        self.record(server)
        if server in self._pending:
            await asyncio.wait(
                [self._pending[server]], timeout=RECORD_TIMEOUT_S
            )
        return self.is_recorded(server)
