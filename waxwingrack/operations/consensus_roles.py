"""State machine of a consensus replica's role.

A new state machine is built from the current role for each transition, so
`consensus.step` stays pure. A transition that is not defined raises an error.
"""

import enum

import automat


class ReplicaRole(enum.StrEnum):
    """Role of a replica."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class RoleEvent(enum.StrEnum):
    """Event that changes the role of a replica."""

    ELECTION_TIMEOUT = "election_timeout"
    PRE_VOTES_WON = "pre_votes_won"
    VOTES_WON = "votes_won"
    STEP_DOWN = "step_down"


class _LifeCycle:
    """State machine of the role."""

    _machine = automat.MethodicalMachine()

    @_machine.state(initial=True, serialized=ReplicaRole.FOLLOWER)
    def _follower(self):
        """Accepts entries from a leader."""

    @_machine.state(serialized=ReplicaRole.PRE_CANDIDATE)
    def _pre_candidate(self):
        """Asks for pre-votes, which do not change the term."""

    @_machine.state(serialized=ReplicaRole.CANDIDATE)
    def _candidate(self):
        """Asks for votes in a new term."""

    @_machine.state(serialized=ReplicaRole.LEADER)
    def _leader(self):
        """Appends and replicates the entries of its term."""

    @_machine.input()
    def election_timeout(self):
        """No leader sent a message, or the election had no winner."""

    @_machine.input()
    def pre_votes_won(self):
        """A quorum has granted its pre-votes."""

    @_machine.input()
    def votes_won(self):
        """A quorum has granted its votes."""

    @_machine.input()
    def step_down(self):
        """A message named a leader or a later term, or the quorum is lost."""

    @_machine.serializer()
    def save(self, role):
        """Returns the role of the current state."""
        return role

    @_machine.unserializer()
    def restore(self, role):
        """Enters the state of a role."""
        return role

    _follower.upon(election_timeout, enter=_pre_candidate, outputs=[])
    _pre_candidate.upon(election_timeout, enter=_pre_candidate, outputs=[])
    _candidate.upon(election_timeout, enter=_pre_candidate, outputs=[])
    _pre_candidate.upon(pre_votes_won, enter=_candidate, outputs=[])
    _candidate.upon(votes_won, enter=_leader, outputs=[])
    _follower.upon(step_down, enter=_follower, outputs=[])
    _pre_candidate.upon(step_down, enter=_follower, outputs=[])
    _candidate.upon(step_down, enter=_follower, outputs=[])
    _leader.upon(step_down, enter=_follower, outputs=[])


def next_role(role: ReplicaRole, event: RoleEvent) -> ReplicaRole:
    """Computes the role after an event.

    Args:
      role: Current role.
      event: Event to apply.

    Returns:
      The new role.

    Raises:
      automat.NoTransition: The role does not accept the event.
    """
    life_cycle = _LifeCycle()
    life_cycle.restore(role)
    getattr(life_cycle, event.value)()
    return life_cycle.save()
