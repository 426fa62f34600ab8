"""Limit on the bytes that a router buffers for its callers.

Each owner (a workspace) may hold as many bytes as are left free. A single owner
thus gets half of the limit, two owners a third each, and n owners 1 / (n + 1)
each. Part of the limit always stays free for an owner that comes later.
"""

import dataclasses

import immutables
from returns import result


@dataclasses.dataclass(frozen=True, slots=True)
class BufferTable:
    """Bytes that are buffered now.

    Attributes:
      limit: Most bytes held for all owners.
      total: Bytes held for all owners.
      by_owner: Bytes by owner; owners without bytes are left out.
    """

    limit: int
    total: int = 0
    by_owner: immutables.Map[str, int] = immutables.Map()


def reserve_bytes(
    table: BufferTable, owner: str, size: int
) -> result.Result[BufferTable, int]:
    """Reserves bytes for an owner.

    Args:
      table: Bytes held now.
      owner: Owner of the bytes.
      size: Bytes to reserve.

    Returns:
      Success with the new table, or Failure with the bytes that the owner could
      still reserve.
    """
    held = table.by_owner.get(owner, 0)
    free = table.limit - table.total
    # Every reserved byte counts twice: it is held and no longer free.
    available = max(0, (free - held) // 2)
    if size > available:
        return result.Failure(available)
    return result.Success(_with_held_bytes(table, owner, held + size, size))


def release_bytes(table: BufferTable, owner: str, size: int) -> BufferTable:
    """Releases bytes of an owner.

    Args:
      table: Bytes held now.
      owner: Owner of the bytes.
      size: Bytes that were reserved before.

    Returns:
      The table without them.

    Raises:
      ValueError: The owner holds fewer bytes.
    """
    held = table.by_owner.get(owner, 0)
    if size > held:
        raise ValueError(f"{owner!r} holds {held} bytes, not {size}")
    return _with_held_bytes(table, owner, held - size, -size)


def _with_held_bytes(
    table: BufferTable, owner: str, held: int, change: int
) -> BufferTable:
    by_owner = table.by_owner
    return BufferTable(
        table.limit,
        table.total + change,
        by_owner.set(owner, held) if held else by_owner.delete(owner),
    )
