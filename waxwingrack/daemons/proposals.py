"""Commits commands for HTTP calls."""

import asyncio
from typing import Any

from returns import result

# Longest time that a call waits for the commit of its command, in seconds.
COMMIT_TIMEOUT_S = 2.0


async def commit_command(
    controller: Any, command: Any
) -> result.Result[Any, str]:
    """Proposes a command and waits until it is committed.

    The time until now is saved first, so that it does not count for a rollout
    that the command starts.

    Args:
      controller: The `controller.Controller`, which leads.
      command: A registered command.

    Returns:
      Success with the outcome of the command, or Failure with the reason. In
      that case the command may still be committed later.
    """
    if controller.leader is not None:
        controller.leader.save_elapsed_time()
    fut = controller.driver.propose(command)
    await asyncio.wait([fut], timeout=COMMIT_TIMEOUT_S)
    if not fut.done():
        return result.Failure("not committed in time")
    return fut.result().alt(lambda unavailable: unavailable.reason)
