"""Commands `router` and `controller`, which run until they are stopped."""

import abc
from collections.abc import Callable
import dataclasses
import gc
import random
import sys
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
from waxwingrack.operations import membership


class StartError(Exception):
    """A process could not start: a file, the data folder or a port."""


def run(
    cmd: command.Command,
    path: str,
    cfg: data.Settings,
    build: Callable[[], Any],
    reload: Callable[[Any], None] | None = None,
) -> int:
    """Runs a process until SIGTERM or SIGINT.

    Args:
      cmd: Command that prints error messages.
      path: Path of the settings file for error messages.
      cfg: Settings.
      build: Builds the process.
      reload: Called with the process at each SIGHUP; None keeps the default
        handling of the signal.

    Returns:
      Exit code.
    """
    logs.configure(cfg.node_id, cfg.log_level, sys.stdout)
    # Objects created during startup live as long as the process, so garbage
    # collections would only delay the start.
    gc.disable()

    async def serve() -> None:
        stopped = event_loop.make_stop_event()
        try:
            process = build()
            await process.start()
        except (OSError, ValueError, error.CannotListenError) as exc:
            raise StartError(exc) from exc
        if reload is not None:
            event_loop.call_on_sighup(lambda: reload(process))
        _freeze_garbage_collector()
        await stopped.wait()
        await process.stop()

    try:
        event_loop.run(serve())
    except StartError as exc:
        cmd.line_error(f"{path}: cannot start: {exc}")
        return ExitCode.REFUSED
    return ExitCode.DONE


def _freeze_garbage_collector() -> None:
    """Excludes the objects created during startup from garbage collection.

    A full collection of modules and classes would pause requests for 52 ms.
    """
    gc.collect()
    gc.freeze()
    gc.enable()


def build_controller(
    cfg: data.Settings, build_site: Callable[[Any], Any] | None = None
) -> Any:
    """Builds a controller with its storage on disk.

    Args:
      cfg: Settings.
      build_site: Builds the HTTP server of the operators' port; None selects
        this project's operators' API.
    """
    from waxwingrack.daemons import controller
    from waxwingrack.daemons import storage

    disk = storage.DiskStorage(cfg.data_folder)
    process = controller.Controller(
        _with_node_id(cfg, disk),
        disk,
        clocks.monotonic_ms,
        random.Random(),
        build_site,
        _build_provider(cfg),
    )
    process.lock = storage.lock_folder(cfg.data_folder)
    return process


def _build_provider(cfg: data.Settings) -> Callable[[str], Any] | None:
    """Returns what creates clients of the provider; None without duties."""
    if cfg.duties is None:
        return None
    from waxwingrack.platform import provider_api

    return lambda holder: provider_api.ProviderClient(
        cfg.duties.address, holder
    )


def _with_node_id(cfg: data.Settings, disk: Any) -> data.Settings:
    """Sets the node id of a controller that discovers its group by itself."""
    if not cfg.group_size:
        return cfg
    match disk.read_identity():
        case result.Success(identity):
            founds_group = cfg.found_group and membership.node_id(
                cfg.control
            ) in {peer.id for peer in cfg.controllers}
            node_id = identity.node_id or membership.node_id(
                cfg.control, "" if founds_group else identity.disk_id
            )
            return dataclasses.replace(cfg, node_id=node_id)
    # The controller reports the damage when it reads the disk.
    return cfg


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
        return run(self, path, cfg, lambda: self.build(cfg))

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
        # Imported late so that operators' commands start faster.
        from waxwingrack.daemons import router

        return router.Router(cfg, clocks.monotonic_ms, random.Random())


class ControllerCommand(_ProcessCommand):
    """Runs a controller."""

    name = "controller"
    description = "Run a controller until SIGTERM or SIGINT"
    role = data.Role.CONTROLLER

    def build(self, cfg: data.Settings) -> Any:
        """Builds the controller."""
        return build_controller(cfg)
