"""Commits of commands on behalf of HTTP calls."""

import asyncio
from typing import Any

from returns import result

# Longest wait for a change to be committed, in seconds.
COMMIT_TIMEOUT_S = 2.0


async def commit(controller: Any, command: Any) -> result.Result[Any, str]:
    """Proposes a command and waits until it is committed.

    A rollout that the command starts does not count the time before it.

    Args:
      controller: The `controller.Controller`, which leads.
      command: A registered command.

    Returns:
      Success with the outcome of the command, or Failure with the reason. The
      command may be committed later in that case.
    """
    if controller.leader is not None:
        controller.leader.save_elapsed_time()
    fut = controller.driver.propose(command)
    await asyncio.wait([fut], timeout=COMMIT_TIMEOUT_S)
    if not fut.done():
        return result.Failure("not committed in time")
    return fut.result().alt(lambda unavailable: unavailable.reason)
