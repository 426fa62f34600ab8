"""Frames, records and contents of the files of a controller's storage.

A frame is a header (payload length, CRC of the payload, CRC of the two fields
before) and a CBOR payload.
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
    """Why a storage cannot be used; its node must not vote.

    Attributes:
      path: File or folder.
      offset: Byte offset of the fault, 0 if it concerns the whole file.
      reason: What is wrong.
    """

    path: str
    offset: int
    reason: str


class Files:
    """Calls to the file system, replaced by tests that inject faults."""

    def append(self, path: pathlib.Path, blob: bytes) -> None:
        """Adds bytes to a file and syncs it."""
        with path.open("ab") as file:
            file.write(blob)
            file.flush()
            os.fsync(file.fileno())

    def create(self, path: pathlib.Path, blob: bytes) -> None:
        """Writes a whole file and syncs it."""
        with path.open("wb") as file:
            file.write(blob)
            file.flush()
            os.fsync(file.fileno())

    def truncate(self, path: pathlib.Path, size: int) -> None:
        """Cuts a file off at a size and syncs it."""
        with path.open("r+b") as file:
            file.truncate(size)
            os.fsync(file.fileno())

    def rename(self, source: pathlib.Path, target: pathlib.Path) -> None:
        """Renames a file over another one."""
        os.replace(source, target)

    def sync_folder(self, folder: pathlib.Path) -> None:
        """Makes renames in a folder durable."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


class Contents:
    """Hard state, snapshot and entries in memory.

    Attributes:
      hard: Hard state.
      snapshot: Latest snapshot.
      entries: Entries after it.
      base: Index of the snapshot that the log needs.
    """

    def __init__(self) -> None:
        self.hard_state = consensus.HardState()
        self.snapshot: data.Snapshot | None = None
        self.entries: list[data.LogEntry] = []
        self.base_index = 0

    @property
    def snapshot_index(self) -> int:
        """Index of the snapshot, or 0."""
        return self.snapshot.index if self.snapshot else 0

    def copy(self) -> "Contents":
        """Returns a copy that later changes do not affect."""
        other = Contents()
        other.hard_state = self.hard_state
        other.snapshot = self.snapshot
        other.entries = list(self.entries)
        return other

    def to_persisted(self, disk: str) -> consensus.Persisted:
        """Returns the contents as the replica takes them."""
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
        hard: consensus.HardState | None,
        truncate_from: int | None,
        append: tuple[data.LogEntry, ...],
        snapshot: data.Snapshot | None,
    ) -> None:
        """Carries out the writes of a step in order."""
        if hard is not None:
            self.hard_state = hard
        if truncate_from is not None:
            self._truncate(truncate_from)
        self.entries.extend(append)
        if snapshot is not None:
            self.snapshot = snapshot
            self._drop_up_to(snapshot.index)

    def replay_record(self, record: list[Any]) -> str | None:
        """Carries out a record of the log file.

        Returns:
          What is wrong with the record, or None.
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
                changed = None if members is None else tuple(members)
                self.entries.append(
                    data.LogEntry(index, term, command, changed, tuple(disks))
                )
            case _:
                return "record of an unknown kind"
        return None

    def reconcile_with_snapshot(self) -> str | None:
        """Drops entries that the snapshot includes and looks for gaps."""
        index = self.snapshot_index
        if self.base_index > index:
            return f"the snapshot at {self.base_index} is missing"
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
    """Returns the first payload of a log that needs a snapshot."""
    return [["base", index]]


def make_hard_state_record(hard: consensus.HardState) -> list[Any]:
    """Returns the record of a hard state."""
    members, disks = list(hard.members), list(hard.disks)
    return ["hard", hard.term, hard.voted_for, members, disks]


def make_entry_record(entry: data.LogEntry) -> list[Any]:
    """Returns the record of a log entry."""
    members = None if entry.members is None else list(entry.members)
    disks = list(entry.disks)
    return ["entry", entry.index, entry.term, entry.command, members, disks]


def encode_snapshot_frame(contents: Contents) -> bytes:
    """Returns the snapshot file."""
    snap = contents.snapshot
    members, disks = list(snap.members), list(snap.disks)
    return encode_frame([snap.index, snap.term, members, snap.state, disks])


def encode_frame(payload: Any) -> bytes:
    """Encodes a frame."""
    blob = cbor2.dumps(payload)
    sizes = struct.pack(">II", len(blob), zlib.crc32(blob))
    return sizes + struct.pack(">I", zlib.crc32(sizes)) + blob


def decode_frames(blob: bytes) -> Iterator[tuple[int, int, Any]]:
    """Iterates over the frames of a file.

    Yields:
      Start, end and payload of each frame; the payload is None where a frame
      is damaged. An interrupted last frame ends the iteration without a yield.
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
    """Reads a file of one frame, which was renamed into place when whole."""
    blob = path.read_bytes()
    found = list(decode_frames(blob))
    if len(found) == 1:
        _, end, payload = found[0]
        if payload is not None and end == len(blob):
            return payload, None
    return None, Damage(str(path), 0, "file is damaged")
