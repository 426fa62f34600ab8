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


class Repairs:
    """The repair under way at this controller.

    There is one at a time, as consensus changes one member at a time; a new
    request replaces one that waits.

    Attributes:
      step: Step that the repair has reached, for the operator.
    """

    def __init__(self, controller: Any):
        self.step = "start"
        self._controller = controller
        self._request: Request | None = None
        self._task: asyncio.Task | None = None

    def ensure(self, request: Request) -> asyncio.Task:
        """Starts a repair, or joins it if it is under way already.

        Args:
          request: What the operator asked for.

        Returns:
          Task that ends when the repair is done or cannot go on here. Its
          result is True when the repair is done.
        """
        ended = self._task is None or self._task.done()
        if ended or self._request != request:
            self.close()
            self.step = "start"
            self._request = request
            self._task = asyncio.ensure_future(self._run(request))
        return self._task

    def close(self) -> None:
        """Ends the repair."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self, request: Request) -> bool:
        try:
            while self._controller.leads():
                step = _next_step(self._controller.driver, request)
                if step is None:
                    self.step = "done"
                    return True
                name, submit = step
                if name != self.step:
                    self.step = name
                    logs.decision(
                        "repair_step",
                        name,
                        controller=request.controller.id,
                        replaces=request.replaces,
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
    added = driver.state.controllers
    if added.get(peer.id) != peer:
        command = commands.SetController(peer)
        return "recording the addresses", lambda: driver.propose(command)
    if peer.id not in members:
        more = (*members, peer.id)
        return (
            "bringing the new controller up to date",
            lambda: driver.propose_members(more),
        )
    if replaces is not None and replaces in members:
        rest = tuple(item for item in members if item != replaces)
        return (
            "removing the replaced controller",
            lambda: driver.propose_members(rest),
        )
    # Also the addresses of earlier repairs that never came to an end.
    old = next((item for item in added if item not in members), None)
    if old is not None:
        forget = commands.ForgetController(old)
        return "forgetting old addresses", lambda: driver.propose(forget)
    return None
