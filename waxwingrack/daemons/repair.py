"""Replacement of a lost controller.

The steps follow from the replicated state alone, so a repair goes on where it
stopped when the operator's program sends it again, also at a new leader.
"""

import asyncio
import dataclasses
from typing import Any

from returns import result

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.core import logs
from waxwingrack.daemons import replica_driver

# Pause before a refused step is tried again, in seconds.
RETRY_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """What an operator asked for.

    Attributes:
      controller: Controller to add.
      replaces: Node id of the controller to remove; None removes none.
    """

    controller: data.Peer
    replaces: str | None


@dataclasses.dataclass(slots=True)
class _Running:
    request: Request
    step: str
    task: asyncio.Task | None = None


class Repairs:
    """Repairs under way at this controller."""

    def __init__(self, controller: Any):
        self._controller = controller
        self._running: dict[str, _Running] = {}

    def ensure(self, request: Request) -> asyncio.Task:
        """Starts a repair, or joins it if it is under way already.

        Args:
          request: What the operator asked for.

        Returns:
          Task that ends when the repair is done or cannot go on here. Its
          result is True when the repair is done.
        """
        node_id = request.controller.id
        running = self._running.get(node_id)
        if running and running.request != request:
            running.task.cancel()
            running = None
        if running is None or running.task.done():
            running = _Running(request, "start")
            self._running[node_id] = running
            running.task = asyncio.ensure_future(self._run(running))
        return running.task

    def step_of(self, node_id: str) -> str:
        """Returns the step that a repair has reached."""
        running = self._running.get(node_id)
        return running.step if running else "start"

    def close(self) -> None:
        """Ends all repairs."""
        for running in self._running.values():
            running.task.cancel()

    async def _run(self, running: _Running) -> bool:
        try:
            while self._controller.leads():
                step = _next_step(self._controller.driver, running.request)
                if step is None:
                    running.step = "done"
                    return True
                name, submit = step
                if name != running.step:
                    running.step = name
                    logs.decision(
                        "repair_step",
                        name,
                        controller=running.request.controller.id,
                        replaces=running.request.replaces,
                    )
                outcome = await submit()
                if isinstance(outcome, result.Failure):
                    await asyncio.sleep(RETRY_S)
        except Exception as exc:
            logs.failure("repair_failed", exc)
        return False


def _next_step(
    driver: replica_driver.ReplicaDriver, request: Request
) -> tuple[str, Any] | None:
    """Returns name and call of the next step, or None when all is done."""
    peer, replaces = request.controller, request.replaces
    members = driver.replica.members
    if driver.state.controllers.get(peer.id) != peer:
        command = commands.SetController(peer)
        return "recording the addresses", lambda: driver.propose(command)
    if peer.id not in members:
        added = (*members, peer.id)
        return (
            "bringing the new controller up to date",
            lambda: driver.propose_members(added),
        )
    if replaces is not None and replaces in members:
        rest = tuple(item for item in members if item != replaces)
        return (
            "removing the replaced controller",
            lambda: driver.propose_members(rest),
        )
    if replaces is not None and replaces in driver.state.controllers:
        forget = commands.ForgetController(replaces)
        return (
            "forgetting the addresses of the replaced controller",
            lambda: driver.propose(forget),
        )
    return None
