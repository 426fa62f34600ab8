"""Life cycle of a rollout.

The phases and the transitions between them are an automat machine. A rollout
only moves forward, and an ended rollout never moves again.
"""

from typing import Protocol

import automat

from waxwingrack.core import data

_Phase = data.RolloutPhase


class _Inputs(Protocol):
    """Transitions that a rollout can be asked for."""

    def trial(self) -> None:
        """Stays in the trial."""

    def ramping(self) -> None:
        """Raises the share step by step."""

    def watching(self) -> None:
        """Gives the new version the full share and watches it."""

    def done(self) -> None:
        """Ends the rollout with the new version in place."""

    def taken_back(self) -> None:
        """Ends the rollout with the old version in place."""


_TRANSITIONS = {
    _Phase.TRIAL: (_Phase.TRIAL, _Phase.RAMPING, _Phase.TAKEN_BACK),
    _Phase.RAMPING: (_Phase.RAMPING, _Phase.WATCHING, _Phase.TAKEN_BACK),
    _Phase.WATCHING: (_Phase.DONE, _Phase.TAKEN_BACK),
}


def _build() -> tuple[automat.TypeMachineBuilder, dict]:
    builder = automat.TypeMachineBuilder(_Inputs, object)
    states = {phase: builder.state(phase.value) for phase in _Phase}
    for source, targets in _TRANSITIONS.items():
        for target in targets:
            asked = getattr(_Inputs, target.value)
            states[source].upon(asked).to(states[target]).returns(None)
    return builder.build(), states


_MACHINE, _STATES = _build()


def may_move(phase: data.RolloutPhase, target: data.RolloutPhase) -> bool:
    """Tells whether a rollout may move from one phase to another.

    Args:
      phase: Current phase.
      target: Wanted phase; the same phase stands for a change of the share.

    Returns:
      True if the life cycle has this transition.
    """
    machine = _MACHINE(object(), _STATES[phase])
    try:
        getattr(machine, target.value)()
    except automat.NoTransition:
        return False
    return True
