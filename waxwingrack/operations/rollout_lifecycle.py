"""Life cycle of a rollout.

The phases and the transitions between them are an automat state machine. A
rollout only moves forward, and an ended rollout never moves again.
"""

from typing import Protocol

import automat

from waxwingrack.core import data

_Phase = data.RolloutPhase


class _Inputs(Protocol):
    """Inputs of the state machine, each named after its target phase."""

    def trial(self) -> None:
        """Changes the share within the trial."""

    def ramping(self) -> None:
        """Raises the share by one step."""

    def watching(self) -> None:
        """Gives the new version nearly the full share and watches it."""

    def done(self) -> None:
        """Ends the rollout; the new version becomes the current one."""

    def taken_back(self) -> None:
        """Rolls back to the old version."""


_TRANSITIONS = {
    _Phase.TRIAL: (_Phase.TRIAL, _Phase.RAMPING, _Phase.TAKEN_BACK),
    _Phase.RAMPING: (_Phase.RAMPING, _Phase.WATCHING, _Phase.TAKEN_BACK),
    _Phase.WATCHING: (_Phase.DONE, _Phase.TAKEN_BACK),
}


def _build_machine() -> tuple[automat.TypeMachineBuilder, dict]:
    builder = automat.TypeMachineBuilder(_Inputs, object)
    states = {phase: builder.state(phase.value) for phase in _Phase}
    for source, targets in _TRANSITIONS.items():
        for target in targets:
            transition_input = getattr(_Inputs, target.value)
            states[source].upon(transition_input).to(states[target]).returns(
                None
            )
    return builder.build(), states


_MACHINE, _STATES = _build_machine()


def may_move(phase: data.RolloutPhase, target: data.RolloutPhase) -> bool:
    """Returns whether a rollout may move from one phase to another.

    Args:
      phase: Current phase.
      target: Requested phase; the same phase stands for a change of the share.

    Returns:
      True if the life cycle has this transition.
    """
    machine = _MACHINE(object(), _STATES[phase])
    try:
        getattr(machine, target.value)()
    except automat.NoTransition:
        return False
    return True
