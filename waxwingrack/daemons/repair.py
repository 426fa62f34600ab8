"""Replacement of a lost controller.

Each step is derived from the replicated state alone. So when the program of the
operator repeats the request, the repair continues where it stopped, even at a
new leader.
"""

import asyncio
import dataclasses
from typing import Any

from returns import result

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.core import logs
from waxwingrack.daemons import replica_driver

# Pause before a failed step is retried, in seconds.
RETRY_PAUSE_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class RepairRequest:
    """Request of an operator to add or replace a controller.

    Attributes:
      controller: Controller to add.
      replaces: Node id of the controller to remove; None removes none.
    """

    controller: data.Peer
    replaces: str | None


class RepairRunner:
    """Runs the repair of this controller, one at a time.

    Consensus changes one member at a time. A new request replaces a different
    one that is not done yet.

    Attributes:
      step: Step that the repair has reached, as shown to the operator.
    """

    def __init__(self, controller: Any):
        self.step = "start"
        self._controller = controller
        self._request: RepairRequest | None = None
        self._task: asyncio.Task | None = None

    def start_or_join(self, request: RepairRequest) -> asyncio.Task:
        """Starts a repair unless the same one is running already.

        Args:
          request: Request of the operator.

        Returns:
          Task that ends when the repair is done or cannot continue at this
          controller. Its result is True if the repair is done.
        """
        is_idle = self._task is None or self._task.done()
        if is_idle or self._request != request:
            self.close()
            self.step = "start"
            self._request = request
            self._task = asyncio.ensure_future(self._run(request))
        return self._task

    def close(self) -> None:
        """Cancels the repair."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self, request: RepairRequest) -> bool:
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
                    await asyncio.sleep(RETRY_PAUSE_S)
        except Exception as exc:
            logs.failure("repair_failed", exc)
        return False


def _next_step(
    driver: replica_driver.ReplicaDriver, request: RepairRequest
) -> tuple[str, Any] | None:
    """Returns name and function of the next step, or None if all are done."""
    peer, replaces = request.controller, request.replaces
    members = driver.replica.members
    recorded_peers = driver.state.controllers
    if recorded_peers.get(peer.id) != peer:
        command = commands.SetController(peer)
        return "recording the addresses", lambda: driver.propose(command)
    if peer.id not in members:
        enlarged_members = (*members, peer.id)
        return (
            "bringing the new controller up to date",
            lambda: driver.propose_members(enlarged_members),
        )
    if replaces is not None and replaces in members:
        remaining_members = tuple(item for item in members if item != replaces)
        return (
            "removing the replaced controller",
            lambda: driver.propose_members(remaining_members),
        )
    # This also removes the addresses of earlier repairs that were never done.
    stale_id = next(
        (item for item in recorded_peers if item not in members), None
    )
    if stale_id is not None:
        forget_command = commands.ForgetController(stale_id)
        return "forgetting old addresses", lambda: driver.propose(
            forget_command
        )
    return None
