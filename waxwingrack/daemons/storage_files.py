"""File format of a controller's storage: frames and records.

A frame is a header (payload length, CRC of the payload, CRC of these two
fields) and a CBOR payload. A payload of the log is a list of records.
"""

from collections.abc import Iterator
import dataclasses
import os
import pathlib
import struct
from typing import Any
import zlib

import cbor2

from waxwingrack.core import data
from waxwingrack.operations import consensus

HEADER = struct.Struct(">III")


@dataclasses.dataclass(frozen=True, slots=True)
class Damage:
    """Corruption that makes a storage unusable; its node must not vote.

    Attributes:
      path: Path of the damaged file, or "memory".
      offset: Byte offset of the damage, 0 if it concerns the whole file.
      reason: Description of the damage.
    """

    path: str
    offset: int
    reason: str


class Files:
    """File system calls; tests override them to inject faults."""

    def append(self, path: pathlib.Path, blob: bytes) -> None:
        """Appends bytes to a file and syncs it."""
        with path.open("ab") as file:
            file.write(blob)
            file.flush()
            os.fsync(file.fileno())

    def create(self, path: pathlib.Path, blob: bytes) -> None:
        """Creates or overwrites a file and syncs it."""
        with path.open("wb") as file:
            file.write(blob)
            file.flush()
            os.fsync(file.fileno())

    def truncate(self, path: pathlib.Path, size: int) -> None:
        """Truncates a file to a size and syncs it."""
        with path.open("r+b") as file:
            file.truncate(size)
            os.fsync(file.fileno())

    def rename(self, source: pathlib.Path, target: pathlib.Path) -> None:
        """Renames a file and replaces an existing target."""
        os.replace(source, target)

    def sync_folder(self, folder: pathlib.Path) -> None:
        """Makes renames in a folder durable."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


class Contents:
    """In-memory copy of hard state, snapshot and log entries.

    Attributes:
      hard_state: Term, vote and membership.
      snapshot: Latest snapshot, or None.
      entries: Log entries after the snapshot.
      base_index: Index of the last entry before the log file; a snapshot must
        cover the entries up to it.
    """

    def __init__(self) -> None:
        self.hard_state = consensus.HardState()
        self.snapshot: data.Snapshot | None = None
        self.entries: list[data.LogEntry] = []
        self.base_index = 0

    @property
    def snapshot_index(self) -> int:
        """Index of the last entry in the snapshot; 0 without a snapshot."""
        return self.snapshot.index if self.snapshot else 0

    def copy(self) -> "Contents":
        """Returns a copy that is independent of later changes."""
        copied = Contents()
        copied.hard_state = self.hard_state
        copied.snapshot = self.snapshot
        copied.entries = list(self.entries)
        return copied

    def to_persisted(self, disk: str) -> consensus.Persisted:
        """Converts the contents to the form that a replica starts from."""
        is_new = (
            self.hard_state == consensus.HardState()
            and self.snapshot is None
            and not self.entries
        )
        return consensus.Persisted(
            self.hard_state, self.snapshot, tuple(self.entries), disk, is_new
        )

    def apply_write(
        self,
        hard_state: consensus.HardState | None,
        truncate_from: int | None,
        new_entries: tuple[data.LogEntry, ...],
        snapshot: data.Snapshot | None,
    ) -> None:
        """Applies changes in the order of the arguments.

        Args:
          hard_state: New hard state, or None if unchanged.
          truncate_from: Index of the first log entry to remove, or None.
          new_entries: Entries to append after the truncation.
          snapshot: Snapshot that replaces the entries up to its index, or None.
        """
        if hard_state is not None:
            self.hard_state = hard_state
        if truncate_from is not None:
            self._truncate(truncate_from)
        self.entries.extend(new_entries)
        if snapshot is not None:
            self.snapshot = snapshot
            self._drop_up_to(snapshot.index)

    def replay_record(self, record: list[Any]) -> str | None:
        """Applies a record of the log file.

        Args:
          record: Kind and fields of the record.

        Returns:
          A description of the fault if the record is invalid, else None.
        """
        match record:
            case ["base", index]:
                self.base_index = index
            case ["hard", term, voted_for, members, disks]:
                self.hard_state = consensus.HardState(
                    term, voted_for, tuple(members), tuple(disks)
                )
            case ["truncate", index]:
                self._truncate(index)
            case ["entry", index, term, command, members, disks]:
                if self.entries and index != self.entries[-1].index + 1:
                    return f"entry {index} is out of order"
                new_members = None if members is None else tuple(members)
                self.entries.append(
                    data.LogEntry(
                        index, term, command, new_members, tuple(disks)
                    )
                )
            case _:
                return "a record has an unknown kind"
        return None

    def reconcile_with_snapshot(self) -> str | None:
        """Drops entries that the snapshot covers and checks for gaps.

        Returns:
          A description of the gap if entries are missing, else None.
        """
        index = self.snapshot_index
        if self.base_index > index:
            return f"the snapshot at index {self.base_index} is missing"
        self._drop_up_to(index)
        if self.entries and self.entries[0].index != index + 1:
            return f"entry {index + 1} is missing"
        return None

    def _truncate(self, index: int) -> None:
        if self.entries:
            del self.entries[max(0, index - self.entries[0].index) :]

    def _drop_up_to(self, index: int) -> None:
        if self.entries:
            del self.entries[: max(0, index + 1 - self.entries[0].index)]


# ---------------------------------------------------------------------------
# Frames and records
# ---------------------------------------------------------------------------


def make_base_payload(index: int) -> list[Any]:
    """Returns the payload of a log's first frame.

    Args:
      index: Index of the last entry before the log.
    """
    return [["base", index]]


def make_hard_state_record(hard_state: consensus.HardState) -> list[Any]:
    """Returns the log record of a hard state."""
    members, disks = list(hard_state.members), list(hard_state.disks)
    return ["hard", hard_state.term, hard_state.voted_for, members, disks]


def make_entry_record(entry: data.LogEntry) -> list[Any]:
    """Returns the log record of a log entry."""
    members = None if entry.members is None else list(entry.members)
    disks = list(entry.disks)
    return ["entry", entry.index, entry.term, entry.command, members, disks]


def encode_snapshot_frame(contents: Contents) -> bytes:
    """Encodes the snapshot file."""
    snapshot = contents.snapshot
    members, disks = list(snapshot.members), list(snapshot.disks)
    return encode_frame(
        [snapshot.index, snapshot.term, members, snapshot.state, disks]
    )


def encode_frame(payload: Any) -> bytes:
    """Encodes a frame with header."""
    blob = cbor2.dumps(payload)
    length_and_crc = struct.pack(">II", len(blob), zlib.crc32(blob))
    return length_and_crc + struct.pack(">I", zlib.crc32(length_and_crc)) + blob


def decode_frames(blob: bytes) -> Iterator[tuple[int, int, Any]]:
    """Decodes the frames of a file.

    Args:
      blob: Bytes of the file.

    Yields:
      Start offset, end offset and payload of each frame; the payload of a
      damaged frame is None. An interrupted last frame is not yielded.
    """
    start = 0
    while len(blob) - start >= HEADER.size:
        length, checksum, header_checksum = HEADER.unpack_from(blob, start)
        if zlib.crc32(blob[start : start + 8]) != header_checksum:
            # Blocks that were allocated but never written read as zeros.
            if any(blob[start:]):
                yield start, start, None
            return
        end = start + HEADER.size + length
        payload = blob[start + HEADER.size : end]
        if len(payload) < length:
            return
        if zlib.crc32(payload) != checksum:
            if end < len(blob):
                yield start, start, None
            return
        yield start, end, cbor2.loads(payload)
        start = end


def read_single_frame(path: pathlib.Path) -> tuple[Any, Damage | None]:
    """Reads a file that holds exactly one frame.

    Such a file is renamed into place once it is complete, so an incomplete
    frame is damage and no interrupted write.

    Args:
      path: Path of the file.

    Returns:
      The payload and None, or None and the damage.
    """
    blob = path.read_bytes()
    decoded_frames = list(decode_frames(blob))
    if len(decoded_frames) == 1:
        _, end, payload = decoded_frames[0]
        if payload is not None and end == len(blob):
            return payload, None
    return None, Damage(
        str(path), 0, "the file does not hold exactly one valid frame"
    )
