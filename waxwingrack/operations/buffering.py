"""Limit on the bytes that a router holds for its callers.

Each owner (a workspace) may hold as many bytes as are left free, so that one
owner alone gets half of the limit, two a third each and n owners one part of
n + 1. Some of the limit always stays free for an owner that comes later.
"""

import dataclasses

import immutables
from returns import result


@dataclasses.dataclass(frozen=True, slots=True)
class BufferTable:
    """Bytes held now.

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
    """Takes bytes for an owner.

    Args:
      table: Bytes held now.
      owner: Owner of the bytes.
      size: Bytes to take.

    Returns:
      Success with the table, or Failure with the bytes that the owner could
      still take.
    """
    held = table.by_owner.get(owner, 0)
    free = table.limit - table.total
    # The bytes count twice: as held and as no longer free.
    spare = max(0, (free - held) // 2)
    if size > spare:
        return result.Failure(spare)
    return result.Success(_with(table, owner, held + size, size))


def release_bytes(table: BufferTable, owner: str, size: int) -> BufferTable:
    """Gives bytes of an owner back.

    Args:
      table: Bytes held now.
      owner: Owner of the bytes.
      size: Bytes that were taken before.

    Returns:
      The table without them.

    Raises:
      ValueError: The owner does not hold so many bytes.
    """
    held = table.by_owner.get(owner, 0)
    if size > held:
        raise ValueError(f"{owner!r} holds {held} bytes, not {size}")
    return _with(table, owner, held - size, -size)


def _with(
    table: BufferTable, owner: str, held: int, change: int
) -> BufferTable:
    by_owner = table.by_owner
    return BufferTable(
        table.limit,
        table.total + change,
        by_owner.set(owner, held) if held else by_owner.delete(owner),
    )
