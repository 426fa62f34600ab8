"""Voting controllers that the leader keeps by itself.

Controllers that find each other carry the address of their control port in
their node id, so the members in the log are enough to reach them after a
restart, whatever the settings name by then. A controller with an empty disk
takes a new id: what it promised under the old one is lost with the disk. It
asks the leader to join and gets its vote once it has caught up.

The leader removes a member only for a controller that asks to join: first the
former identity of that controller, then a member that has been silent. A
removed member that comes back asks to join in its turn.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import itertools
import re

from waxwingrack.core import data

# Silence after which a member gives way to a controller that asks to join, in
# milliseconds. It is longer than an election timeout, so that a leader has had
# time to hear each member that is not lost.
MAX_MEMBER_SILENCE_MS = 1_500
# Age after which a request to join counts no more, in milliseconds: three
# requests of a controller that repeats them every JOIN_INTERVAL_MS.
MAX_JOIN_REQUEST_AGE_MS = 1_500
JOIN_INTERVAL_MS = 500
# Silence of the leader after which a member asks whether it still is one.
MAX_LEADER_SILENCE_MS = 3_000

_ID = re.compile(r"(?P<host>[0-9.]+)-(?P<port>[0-9]+)(-[0-9a-f]+)?")


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChange:
    """A change of one member.

    Attributes:
      members: Members after the change.
      node_id: Controller that is added or removed.
      reason: Why.
    """

    members: tuple[str, ...]
    node_id: str
    reason: str


def node_id(address: data.Address, disk: str = "") -> str:
    """Returns the id of a controller that finds the others by itself.

    Args:
      address: Address of its control port; an IPv4 number.
      disk: Random id of its disk in hex digits; empty for a controller that
        founds the group, whose id the others derive from the settings.
    """
    return f"{address.host}-{address.port}" + (f"-{disk[:8]}" if disk else "")


def control_address(name: str) -> data.Address | None:
    """Returns the control address in a node id, or None if it holds none."""
    found = _ID.fullmatch(name)
    if found is None:
        return None
    return data.Address(found["host"], int(found["port"]))


def peer_addresses(
    names: Iterable[str], operators_port: int
) -> tuple[data.Peer, ...]:
    """Returns the addresses of controllers.

    Args:
      names: Node ids; those without an address are left out.
      operators_port: Port of the operators' API, the same on all controllers.
    """
    found = ((name, control_address(name)) for name in names)
    return tuple(
        data.Peer(name, address, data.Address(address.host, operators_port))
        for name, address in found
        if address is not None
    )


def next_change(
    members: tuple[str, ...],
    silence_ms: Mapping[str, int],
    joining: Iterable[str],
    size: int,
) -> MemberChange | None:
    """Decides on the next change of the members.

    Args:
      members: Voting members in force.
      silence_ms: Time since each member was last heard; the leader's own is 0.
      joining: Controllers that ask to join.
      size: Number of voting members to keep.

    Returns:
      One change, or None.
    """
    waiting = sorted(set(joining) - set(members))
    silent = [
        name
        for name in sorted(members, key=silence_ms.__getitem__, reverse=True)
        if silence_ms[name] >= MAX_MEMBER_SILENCE_MS
    ]
    for name, member in itertools.product(waiting, members):
        if control_address(name) == control_address(member):
            return _removal(members, member, f"{name} has taken its place")
    if len(members) > size and silent:
        return _removal(members, silent[0], f"silent, {len(members)} members")
    if not waiting:
        return None
    if len(members) < size:
        return MemberChange(
            (*members, waiting[0]),
            waiting[0],
            f"asks to join {len(members)} of {size} members",
        )
    if silent:
        return _removal(
            members,
            silent[0],
            f"silent for {silence_ms[silent[0]]} ms, {waiting[0]} waits",
        )
    return None


def _removal(members: tuple[str, ...], name: str, reason: str) -> MemberChange:
    rest = tuple(member for member in members if member != name)
    return MemberChange(rest, name, reason)
