"""Automatic changes of the voting controllers by the leader.

The node id of a controller that discovers the others contains the address of
its control port. The members in the log are therefore enough to reach them
after a restart, whatever the settings then name. A controller with an empty
disk takes a new id, because the votes given under the old id are lost with the
disk. It asks the leader to join and gets its vote once it has caught up.

To make room for a controller that asks to join, the leader removes first the
former identity of that controller, then a silent member. It also removes a
silent member if there are more members than configured. A removed member that
returns asks to join again.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import itertools
import re

from waxwingrack.core import data

# Silence after which a member is replaced by a controller that asks to join, in
# milliseconds. It is longer than an election timeout, so that a new leader has
# had time to receive an answer from each live member.
MAX_MEMBER_SILENCE_MS = 1_500
# Age after which a request to join is ignored, in milliseconds: the time of
# three requests, which a controller repeats every JOIN_INTERVAL_MS.
MAX_JOIN_REQUEST_AGE_MS = 1_500
JOIN_INTERVAL_MS = 500
# Silence of the leader after which a member asks to join, in milliseconds. It
# may have been removed.
MAX_LEADER_SILENCE_MS = 3_000

_NODE_ID_PATTERN = re.compile(
    r"(?P<host>[0-9.]+)-(?P<port>[0-9]+)(-[0-9a-f]+)?"
)


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChange:
    """A change of one member.

    Attributes:
      members: Members after the change.
      node_id: Controller that is added or removed.
      reason: Reason for the change, for the log.
    """

    members: tuple[str, ...]
    node_id: str
    reason: str


def node_id(address: data.Address, disk: str = "") -> str:
    """Returns the node id of a controller that discovers the others.

    Args:
      address: Address of its control port; the host is an IPv4 address.
      disk: Random id of its disk in hex digits; empty for a controller that
        founds the group; the others derive its id from the settings.
    """
    return f"{address.host}-{address.port}" + (f"-{disk[:8]}" if disk else "")


def control_address(name: str) -> data.Address | None:
    """Returns the control address in a node id, or None if it holds none."""
    parsed = _NODE_ID_PATTERN.fullmatch(name)
    if parsed is None:
        return None
    return data.Address(parsed["host"], int(parsed["port"]))


def peer_addresses(
    node_ids: Iterable[str], operators_port: int
) -> tuple[data.Peer, ...]:
    """Returns the addresses of controllers.

    Args:
      node_ids: Node ids; those without an address are left out.
      operators_port: Port of the operators' API, the same on all controllers.
    """
    parsed = ((name, control_address(name)) for name in node_ids)
    return tuple(
        data.Peer(name, address, data.Address(address.host, operators_port))
        for name, address in parsed
        if address is not None
    )


def next_change(
    members: tuple[str, ...],
    silence_ms: Mapping[str, int],
    joining: Iterable[str],
    size: int,
) -> MemberChange | None:
    """Decides on the next membership change.

    Args:
      members: Current voting members.
      silence_ms: Time since each member last answered; 0 for the leader.
      joining: Controllers that ask to join.
      size: Target number of voting members.

    Returns:
      The change, or None if none is needed or possible.
    """
    joining_ids = sorted(set(joining) - set(members))
    silent_members = [
        name
        for name in sorted(members, key=silence_ms.__getitem__, reverse=True)
        if silence_ms[name] >= MAX_MEMBER_SILENCE_MS
    ]
    for name, member in itertools.product(joining_ids, members):
        if control_address(name) == control_address(member):
            return _remove_member(
                members, member, f"{name} has the same control address"
            )
    if len(members) > size and silent_members:
        return _remove_member(
            members,
            silent_members[0],
            f"silent, the group has {len(members)} members",
        )
    if not joining_ids:
        return None
    if len(members) < size:
        return MemberChange(
            (*members, joining_ids[0]),
            joining_ids[0],
            f"asks to join, the group has {len(members)} of {size} members",
        )
    if silent_members:
        return _remove_member(
            members,
            silent_members[0],
            f"silent for {silence_ms[silent_members[0]]} ms, "
            f"{joining_ids[0]} asks to join",
        )
    return None


def _remove_member(
    members: tuple[str, ...], name: str, reason: str
) -> MemberChange:
    remaining = tuple(member for member in members if member != name)
    return MemberChange(remaining, name, reason)
