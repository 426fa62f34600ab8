"""Commands `router` and `controller`, which run until they are stopped."""

import abc
import gc
import random
from typing import Any
from typing import ClassVar

from cleo import helpers
from cleo.commands import command
from returns import result
from twisted.internet import error

from waxwingrack.commands.exit_codes import ExitCode
from waxwingrack.core import data
from waxwingrack.core import logs
from waxwingrack.daemons import clocks
from waxwingrack.daemons import event_loop
from waxwingrack.load import settings


class StartError(Exception):
    """A process could not start: a file, the data folder or a port."""


class _ProcessCommand(command.Command, abc.ABC):
    """Runs a process until SIGTERM or SIGINT.

    Attributes:
      role: Role of the process.
    """

    arguments: ClassVar[list] = [
        helpers.argument("settings", "JSON file with the process settings")
    ]
    role: ClassVar[data.Role]

    def handle(self) -> int:
        """Runs the command.

        Returns:
          Exit code.
        """
        path = self.argument("settings")
        match settings.load(path):
            case result.Failure(faults):
                for fault in faults:
                    self.line_error(str(fault))
                return ExitCode.INVALID
            case result.Success(cfg):
                if cfg.role != self.role:
                    self.line_error(f"{path}: $.role: must be {self.role}")
                    return ExitCode.INVALID
        logs.configure(cfg.node_id, cfg.log_level)
        try:
            event_loop.run(self._serve(cfg))
        except StartError as exc:
            self.line_error(f"{path}: cannot start: {exc}")
            return ExitCode.REFUSED
        return ExitCode.DONE

    async def _serve(self, cfg: data.Settings) -> None:
        stopped = event_loop.stop_signal()
        try:
            process = self.build(cfg)
            await process.start()
        except (OSError, ValueError, error.CannotListenError) as exc:
            raise StartError(exc) from exc
        self.started()
        await stopped.wait()
        await process.stop()

    def started(self) -> None:
        """Called once the process has started."""

    @abc.abstractmethod
    def build(self, cfg: data.Settings) -> Any:
        """Builds the process."""


class RouterCommand(_ProcessCommand):
    """Runs a router."""

    name = "router"
    description = "Run a router until SIGTERM or SIGINT"
    role = data.Role.ROUTER

    def build(self, cfg: data.Settings) -> Any:
        """Builds the router."""
        # Operators' commands must not wait for the import of the daemons.
        from waxwingrack.daemons import router

        return router.Router(cfg, clocks.monotonic_ms, random.Random())

    def started(self) -> None:
        """Keeps the garbage collector away from the program itself.

        A full collection over modules and classes stops requests for 52 ms.
        """
        gc.collect()
        gc.freeze()


class ControllerCommand(_ProcessCommand):
    """Runs a controller."""

    name = "controller"
    description = "Run a controller until SIGTERM or SIGINT"
    role = data.Role.CONTROLLER

    def build(self, cfg: data.Settings) -> Any:
        """Builds the controller."""
        from waxwingrack.daemons import controller
        from waxwingrack.daemons import storage

        self._lock = storage.lock(cfg.data_folder)
        return controller.Controller(
            cfg,
            storage.DiskStorage(cfg.data_folder),
            clocks.monotonic_ms,
            random.Random(),
        )
