"""Bytes that a router holds: request bodies and answers to be recorded."""

from returns import result

from waxwingrack.operations import buffering


class HeldBytes:
    """Bytes of all requests of a router.

    Attributes:
      table: Bytes held now, by owner.
    """

    def __init__(self, limit: int):
        """Starts without bytes.

        Args:
          limit: Most bytes for all owners.
        """
        self.table = buffering.BufferTable(limit)

    def open(self, owner: str) -> "Hold":
        """Returns an empty hold for an owner."""
        return Hold(self, owner)


class Hold:
    """Bytes of one body or answer."""

    def __init__(self, held: HeldBytes, owner: str):
        self._held = held
        self._owner = owner
        self._size = 0
        self._open = True

    def add(self, size: int) -> bool:
        """Takes further bytes.

        Args:
          size: Number of bytes.

        Returns:
          False if they exceed the owner's share or the hold was released.
        """
        if not self._open:
            return False
        match buffering.reserve_bytes(self._held.table, self._owner, size):
            case result.Success(table):
                self._held.table = table
                self._size += size
                return True
        return False

    def release(self) -> None:
        """Gives all bytes back; a second call does nothing."""
        self._open = False
        size, self._size = self._size, 0
        if size:
            self._held.table = buffering.release_bytes(
                self._held.table, self._owner, size
            )
