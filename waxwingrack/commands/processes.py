"""Commands that run the long-lived processes."""

import random
import time
from typing import Any

from cleo import helpers
from cleo.commands import command
from returns import result

from waxwingrack.core import data
from waxwingrack.core import logs
from waxwingrack.daemons import controller
from waxwingrack.daemons import event_loop
from waxwingrack.daemons import router
from waxwingrack.daemons import storage
from waxwingrack.load import settings

EXIT_INVALID = 2


async def _serve(process: Any) -> None:
    stopped = event_loop.stop_signal()
    await process.start()
    await stopped.wait()
    await process.stop()


def _monotonic_ms() -> int:
    return time.monotonic_ns() // 1_000_000


class _ProcessCommand(command.Command):
    """Reads the settings and runs a process until SIGTERM."""

    arguments = [helpers.argument("settings", "File with the settings.")]

    def handle(self) -> int:
        """Runs the process.

        Returns:
          Exit code.
        """
        match settings.load(self.argument("settings")):
            case result.Success(cfg):
                logs.configure(cfg.node_id, cfg.log_level)
                event_loop.run(_serve(self.build(cfg)))
                return 0
            case result.Failure(faults):
                for fault in faults:
                    self.line_error(str(fault))
        return EXIT_INVALID

    def build(self, cfg: data.Settings) -> Any:
        """Builds the process."""
        raise TypeError(f"{type(self).__name__} builds no process")


class RouterCommand(_ProcessCommand):
    """Runs a router."""

    name = "router"
    description = "Runs a router."

    def build(self, cfg: data.Settings) -> router.Router:
        """Builds the router."""
        return router.Router(cfg)


class ControllerCommand(_ProcessCommand):
    """Runs a controller."""

    name = "controller"
    description = "Runs a controller."

    def build(self, cfg: data.Settings) -> controller.Controller:
        """Builds the controller."""
        return controller.Controller(
            cfg,
            storage.DiskStorage(cfg.data_folder),
            _monotonic_ms,
            random.Random(),
        )
