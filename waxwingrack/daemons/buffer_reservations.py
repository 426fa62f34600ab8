"""Buffer bytes of a router: request bodies and answers to be recorded."""

from returns import result

from waxwingrack.operations import buffering


class BufferReservations:
    """Buffer bytes that all requests of a router have reserved.

    Attributes:
      table: Reserved bytes by owner.
    """

    def __init__(self, limit: int):
        """Creates an empty table.

        Args:
          limit: Maximum number of bytes of all owners together.
        """
        self.table = buffering.BufferTable(limit)

    def open_reservation(self, owner: str) -> "Reservation":
        """Returns an empty reservation for an owner."""
        return Reservation(self, owner)


class Reservation:
    """Bytes reserved for one body or answer."""

    def __init__(self, buffers: BufferReservations, owner: str):
        self._buffers = buffers
        self._owner = owner
        self._size = 0
        self._open = True

    def add(self, size: int) -> bool:
        """Reserves further bytes.

        Args:
          size: Number of bytes.

        Returns:
          False if they exceed the owner's share or the reservation was
          released.
        """
        if not self._open:
            return False
        match buffering.reserve_bytes(self._buffers.table, self._owner, size):
            case result.Success(table):
                self._buffers.table = table
                self._size += size
                return True
        return False

    def release(self) -> None:
        """Releases all bytes; a second call does nothing."""
        self._open = False
        size, self._size = self._size, 0
        if size:
            self._buffers.table = buffering.release_bytes(
                self._buffers.table, self._owner, size
            )
