"""Command `platform`, which runs a router or controller on the platform."""

import random
from typing import Any

from cleo.commands import command
from returns import result

from waxwingrack.commands import process
from waxwingrack.commands.exit_codes import ExitCode
from waxwingrack.core import data


class PlatformCommand(command.Command):
    """Runs a router or a controller on the users' platform."""

    name = "platform"
    description = "Run the process that the platform's settings file describes"

    def handle(self) -> int:
        """Runs the command.

        Returns:
          Exit code.
        """
        # Imported late so that operators' commands start faster.
        from waxwingrack.platform import settings

        try:
            path = settings.file_path()
        except KeyError as exc:
            self.line_error(f"the variable {exc} is not set")
            return ExitCode.INVALID
        match settings.load(path):
            case result.Failure(faults):
                for fault in faults:
                    self.line_error(str(fault))
                return ExitCode.INVALID
            case result.Success((cfg, regions)):
                build = _BUILDERS[cfg.role]
                return process.run(
                    self,
                    path,
                    cfg,
                    lambda: build(cfg, regions),
                    lambda running: _reload_controllers(running, path),
                )


def _build_router(cfg: data.Settings, regions: dict[str, str]) -> Any:
    from waxwingrack.daemons import clocks
    from waxwingrack.daemons import router
    from waxwingrack.platform import front_api
    from waxwingrack.platform import headers

    del regions
    return router.Router(
        cfg,
        clocks.monotonic_ms,
        random.Random(),
        headers.PlatformDialect(),
        front_api.build_resource,
    )


def _build_controller(cfg: data.Settings, regions: dict[str, str]) -> Any:
    from waxwingrack.platform import control_api

    return process.build_controller(
        cfg, lambda controller: control_api.build_site(controller, regions)
    )


_BUILDERS = {
    data.Role.ROUTER: _build_router,
    data.Role.CONTROLLER: _build_controller,
}


def _reload_controllers(running: Any, path: str) -> None:
    """Updates the list of controllers from the changed settings file."""
    from waxwingrack.core import logs
    from waxwingrack.platform import settings

    match settings.load(path):
        case result.Failure(faults):
            logs.event("settings_refused", faults=[str(f) for f in faults])
        case result.Success((cfg, _)):
            running.list_controllers(cfg.controllers)
            logs.event(
                "settings_reloaded",
                controllers=[peer.id for peer in cfg.controllers],
            )
