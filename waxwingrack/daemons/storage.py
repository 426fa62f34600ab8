"""Durable term, vote, log and snapshot of a controller.

The data folder holds three files:

* `identity`: the node id and a random disk id, written once. The group's
  membership records the disk id with which each node may vote, so a node that
  lost its disk restarts with a new disk id and cannot vote.
* `log`: one frame of changes for each sync.
* `snapshot`: one frame with the latest snapshot.

A frame is a header (payload length, CRC of the payload, CRC of these two
fields) and a CBOR payload. All changes between two syncs go into one frame, so
an interrupted write can only corrupt the last frame. That frame was never
acknowledged, and `load` truncates it; any other corruption is reported as
damage. A last frame of full length with a wrong CRC counts as interrupted,
because a file system may write the blocks of one append in any order.
"""

import dataclasses
import fcntl
import os
import pathlib
import secrets
from typing import Any

from returns import result

from waxwingrack.core import data
from waxwingrack.daemons import storage_files
from waxwingrack.operations import consensus

DISK_ID_BYTES = 16
# Free space required after a failed write, beyond a copy of the largest file.
# The records of some minutes fit into it.
FREE_SPACE_MARGIN_BYTES = 256 * 1024

Damage = storage_files.Damage


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Owner and id of a disk.

    Attributes:
      node_id: Id of the node that the disk belongs to; empty until the disk is
        bound to a node.
      disk_id: Random id of the disk.
    """

    node_id: str
    disk_id: str


class StorageFailedError(Exception):
    """A write or sync has failed; the process must stop."""


class MemoryStorage:
    """In-memory storage; `crash` discards unsynced changes."""

    def __init__(self) -> None:
        self._identity: Identity | None = None
        self._synced = storage_files.Contents()
        self._contents = storage_files.Contents()

    def bind_to_node(self, node_id: str) -> result.Result[Identity, Damage]:
        """See `DiskStorage.bind_to_node`."""
        if self._identity is None:
            self._identity = Identity(node_id, _new_disk_id())
        return _check_owner(self._identity, node_id, "memory")

    def load(self) -> result.Result[consensus.Persisted, Damage]:
        """See `DiskStorage.load`."""
        if self._identity is None:
            self._identity = Identity("", _new_disk_id())
        self._contents = self._synced.copy()
        return result.Success(
            self._contents.to_persisted(self._identity.disk_id)
        )

    def write(
        self,
        hard_state: consensus.HardState | None,
        truncate_from: int | None,
        new_entries: tuple[data.LogEntry, ...],
        snapshot: data.Snapshot | None,
    ) -> None:
        """See `DiskStorage.write`."""
        self._contents.apply_write(
            hard_state, truncate_from, new_entries, snapshot
        )

    def sync(self) -> None:
        """See `DiskStorage.sync`."""
        self._synced = self._contents.copy()

    def reopen(self) -> result.Result[consensus.Persisted, Damage]:
        """See `DiskStorage.reopen`."""
        return self.load()

    def crash(self) -> None:
        """Discards all changes since the last sync."""
        self._contents = self._synced.copy()

    def replace_disk(self) -> None:
        """Empties the storage, as if the disk was replaced by a new one."""
        self.__init__()


class DiskStorage:
    """Storage in a data folder.

    Attributes:
      folder: Path of the data folder.
    """

    def __init__(
        self,
        folder: str | os.PathLike[str],
        files: storage_files.Files | None = None,
    ):
        self.folder = pathlib.Path(folder)
        self._files = files or storage_files.Files()
        self._contents = storage_files.Contents()
        self._unsynced_records: list[Any] = []
        self._snapshot_unwritten = False
        self._failed = False

    # -- identity --------------------------------------------------------

    def bind_to_node(self, node_id: str) -> result.Result[Identity, Damage]:
        """Binds a new disk to a node id, or checks the node id of a bound disk.

        Args:
          node_id: Node id of this process.

        Returns:
          The identity of the disk, or Damage if the disk belongs to another
          node or the folder is damaged.
        """
        identity_result = self._open_or_create_identity()
        if isinstance(identity_result, result.Failure):
            return identity_result
        identity, _ = identity_result.unwrap()
        if not identity.node_id:
            identity = dataclasses.replace(identity, node_id=node_id)
            self._write_identity(identity)
        return _check_owner(identity, node_id, str(self._file_path("identity")))

    def read_identity(self) -> result.Result[Identity, Damage]:
        """Returns the identity of the disk; a new disk has an empty node id."""
        return self._open_or_create_identity().map(lambda pair: pair[0])

    def _open_or_create_identity(
        self,
    ) -> result.Result[tuple[Identity, bool], Damage]:
        """Returns the identity and whether the folder holds no state yet."""
        path = self._file_path("identity")
        if path.exists():
            payload, fault = storage_files.read_single_frame(path)
            if fault is not None:
                return result.Failure(fault)
            return result.Success((Identity(*payload), not self._has_state()))
        if self._has_state():
            return result.Failure(
                Damage(
                    str(path), 0, "the identity file is missing beside a log"
                )
            )
        self.folder.mkdir(parents=True, exist_ok=True)
        self._files.sync_folder(self.folder.parent)
        # The log is written first, as a folder that has an identity file and no
        # log counts as damaged.
        self._rewrite_log()
        identity = Identity("", _new_disk_id())
        self._write_identity(identity)
        return result.Success((identity, True))

    def _has_state(self) -> bool:
        """Returns whether the folder holds a snapshot or log records."""
        log = self._file_path("log")
        empty_log_size = len(
            storage_files.encode_frame(storage_files.make_base_payload(0))
        )
        has_log_records = log.exists() and log.stat().st_size > empty_log_size
        return has_log_records or self._file_path("snapshot").exists()

    def _write_identity(self, identity: Identity) -> None:
        self._replace_file(
            "identity",
            storage_files.encode_frame([identity.node_id, identity.disk_id]),
        )

    # -- load ------------------------------------------------------------

    def load(self) -> result.Result[consensus.Persisted, Damage]:
        """Reads the synced state and truncates an interrupted last frame.

        Returns:
          The state; `new_disk` is set if no state has been written to the
          folder yet. Damage if the files are corrupt.

        Raises:
          OSError: A file cannot be read or truncated.
        """
        identity_result = self._open_or_create_identity()
        if isinstance(identity_result, result.Failure):
            return identity_result
        identity, is_new = identity_result.unwrap()
        self._unsynced_records = []
        self._contents = storage_files.Contents()
        fault = self._load_snapshot() or self._load_log()
        if fault is not None:
            return result.Failure(fault)
        persisted = self._contents.to_persisted(identity.disk_id)
        return result.Success(dataclasses.replace(persisted, new_disk=is_new))

    def reopen(self) -> result.Result[consensus.Persisted, Damage]:
        """Reads the folder again after a failed write.

        Data that the failed write left behind is treated as after a crash. The
        log is rewritten and synced, because after a failed sync it is unknown
        which written data is durable. Free space for further records is checked
        first, so that a nearly full disk does not fail again at once.

        Returns:
          See `load`.

        Raises:
          OSError: The folder still cannot be read or written.
        """
        self._check_free_space()
        loaded = self.load()
        if isinstance(loaded, result.Success):
            self._rewrite_log()
            self._snapshot_unwritten = False
            self._failed = False
        return loaded

    def _check_free_space(self) -> None:
        paths = [self._file_path(name) for name in ("log", "snapshot")]
        sizes = [path.stat().st_size for path in paths if path.exists()]
        probe_path = self._file_path("room.tmp")
        try:
            self._files.create(
                probe_path,
                bytes(max(sizes, default=0) + FREE_SPACE_MARGIN_BYTES),
            )
        finally:
            probe_path.unlink(missing_ok=True)

    def _load_snapshot(self) -> Damage | None:
        path = self._file_path("snapshot")
        if not path.exists():
            return None
        payload, fault = storage_files.read_single_frame(path)
        if fault is not None:
            return fault
        index, term, members, state, disks = payload
        self._contents.snapshot = data.Snapshot(
            index, term, tuple(members), state, tuple(disks)
        )
        return None

    def _load_log(self) -> Damage | None:
        path = self._file_path("log")
        if not path.exists():
            return Damage(str(path), 0, "the log file is missing")
        log_bytes = path.read_bytes()
        end = 0
        for start, next_start, payload in storage_files.decode_frames(
            log_bytes
        ):
            if payload is None:
                return Damage(str(path), start, "a frame is damaged")
            for record in payload:
                fault = self._contents.replay_record(record)
                if fault is not None:
                    return Damage(str(path), start, fault)
            end = next_start
        if end == 0:
            return Damage(str(path), 0, "the log file has no complete frame")
        if end < len(log_bytes):
            self._files.truncate(path, end)
        fault = self._contents.reconcile_with_snapshot()
        if fault is not None:
            return Damage(str(path), 0, fault)
        if self._contents.base_index != self._contents.snapshot_index:
            # The process crashed after it wrote the snapshot and before it
            # rewrote the log.
            self._rewrite_log()
        return None

    # -- write -----------------------------------------------------------

    def write(
        self,
        hard_state: consensus.HardState | None,
        truncate_from: int | None,
        new_entries: tuple[data.LogEntry, ...],
        snapshot: data.Snapshot | None,
    ) -> None:
        """Buffers changes until `sync` makes them durable together.

        Args:
          hard_state: New hard state, or None if unchanged.
          truncate_from: Index of the first log entry to remove, or None.
          new_entries: Entries to append after the truncation.
          snapshot: Snapshot that replaces the entries up to its index, or None.
        """
        self._contents.apply_write(
            hard_state, truncate_from, new_entries, snapshot
        )
        if hard_state is not None:
            self._unsynced_records.append(
                storage_files.make_hard_state_record(hard_state)
            )
        if truncate_from is not None:
            self._unsynced_records.append(["truncate", truncate_from])
        self._unsynced_records.extend(
            storage_files.make_entry_record(entry) for entry in new_entries
        )
        if snapshot is not None:
            self._snapshot_unwritten = True

    def sync(self) -> None:
        """Makes all buffered changes durable.

        Raises:
          StorageFailedError: The changes may not be durable. The process must
            stop, because a later sync would not report the loss again.
        """
        if self._failed:
            raise StorageFailedError("an earlier write or sync has failed")
        try:
            if self._unsynced_records:
                frame = storage_files.encode_frame(self._unsynced_records)
                self._files.append(self._file_path("log"), frame)
                self._unsynced_records = []
            if self._snapshot_unwritten:
                self._replace_file(
                    "snapshot",
                    storage_files.encode_snapshot_frame(self._contents),
                )
                self._rewrite_log()
                self._snapshot_unwritten = False
        except OSError as exc:
            self._failed = True
            raise StorageFailedError(str(exc)) from exc

    def _rewrite_log(self) -> None:
        """Replaces the log by one without the entries in the snapshot."""
        contents = self._contents
        frames = storage_files.encode_frame(
            storage_files.make_base_payload(contents.snapshot_index)
        )
        records = [
            storage_files.make_entry_record(entry) for entry in contents.entries
        ]
        if contents.hard_state != consensus.HardState():
            records.insert(
                0, storage_files.make_hard_state_record(contents.hard_state)
            )
        if records:
            frames += storage_files.encode_frame(records)
        self._replace_file("log", frames)

    def _replace_file(self, name: str, blob: bytes) -> None:
        """Replaces a file atomically: a crash leaves the old or the new one."""
        temporary_path = self._file_path(f"{name}.tmp")
        self._files.create(temporary_path, blob)
        self._files.rename(temporary_path, self._file_path(name))
        self._files.sync_folder(self.folder)

    def _file_path(self, name: str) -> pathlib.Path:
        return self.folder / name


def _new_disk_id() -> str:
    return secrets.token_hex(DISK_ID_BYTES)


def _check_owner(
    identity: Identity, node_id: str, path: str
) -> result.Result[Identity, Damage]:
    if identity.node_id == node_id:
        return result.Success(identity)
    return result.Failure(
        Damage(path, 0, f"the disk belongs to node {identity.node_id!r}")
    )


def lock_folder(folder: str | os.PathLike[str]) -> Any:
    """Locks a data folder for this process.

    A second process that loads the folder would take a frame that the first one
    is still writing for an interrupted one and truncate it.

    Args:
      folder: The data folder; created if absent.

    Returns:
      The open lock file. The caller must keep it: closing the file, also by
      garbage collection, releases the lock.

    Raises:
      OSError: Another process uses the folder, or it cannot be written.
    """
    folder_path = pathlib.Path(folder)
    folder_path.mkdir(parents=True, exist_ok=True)
    lock_file = (folder_path / "lock").open("ab")
    try:
        fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        lock_file.close()
        raise OSError(f"{folder} is in use by another process") from None
    return lock_file
