"""Addresses of controllers that were added by a repair.

Routers receive them with the environment, so each change increments the
environment number.
"""

import dataclasses

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.operations import replicated_outcomes

# Operator recorded for changes that a repair makes.
REPAIR = "repair"

CommandResult = replicated_outcomes.CommandResult


def set_controller(
    state: data.ReplicatedState, command: commands.SetController
) -> CommandResult:
    """Records the addresses of a controller."""
    peer = command.controller
    if state.controllers.get(peer.id) == peer:
        return CommandResult(state, None)
    controllers = state.controllers.set(peer.id, peer)
    return CommandResult(_replace_controllers(state, controllers), None)


def forget_controller(
    state: data.ReplicatedState, command: commands.ForgetController
) -> CommandResult:
    """Removes the addresses of a controller."""
    if command.controller not in state.controllers:
        return CommandResult(state, None)
    controllers = state.controllers.delete(command.controller)
    return CommandResult(_replace_controllers(state, controllers), None)


def _replace_controllers(
    state: data.ReplicatedState, controllers
) -> data.ReplicatedState:
    state = dataclasses.replace(state, controllers=controllers)
    return replicated_outcomes.increment_number(state, REPAIR)
