"""Addresses of controllers that were added by a repair.

Routers learn them with the environment, so each change raises the number.
"""

import dataclasses

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.operations import replicated_outcomes

# Who takes a number that a repair raises.
REPAIR = "repair"

Applied = replicated_outcomes.CommandResult


def set_controller(
    state: data.ReplicatedState, command: commands.SetController
) -> Applied:
    """Records the addresses of a controller."""
    peer = command.controller
    if state.controllers.get(peer.id) == peer:
        return Applied(state, None)
    controllers = state.controllers.set(peer.id, peer)
    return Applied(_changed(state, controllers), None)


def forget_controller(
    state: data.ReplicatedState, command: commands.ForgetController
) -> Applied:
    """Drops the addresses of a controller."""
    if command.controller not in state.controllers:
        return Applied(state, None)
    controllers = state.controllers.delete(command.controller)
    return Applied(_changed(state, controllers), None)


def _changed(state: data.ReplicatedState, controllers) -> data.ReplicatedState:
    state = dataclasses.replace(state, controllers=controllers)
    return replicated_outcomes.increment_number(state, REPAIR)
