"""Durable term, vote, log and snapshot of a controller.

A folder holds three files:

* `identity`: node id and a random disk id, written once. The members of the
  group name the disk id with which a node may vote, so a node whose disk was
  lost comes back with another one and has no vote.
* `log`: frames of changes; one frame for each sync.
* `snapshot`: one frame with the latest snapshot.

A frame is a header (payload length, CRC of the payload, CRC of the two fields
before) and a CBOR payload. All changes between two syncs go into one frame, so
an interrupted write can only spoil the last frame. Such a frame was never
acknowledged and is cut off by `load`; any other fault is reported as damage.
A last frame of full length with a wrong CRC counts as interrupted, because a
file system may write the blocks of one append in any order.
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
# Room beyond a copy of the largest file that a storage needs after a failed
# write; the records of some minutes fit into it.
FREE_SPACE_MARGIN_BYTES = 256 * 1024

Damage = storage_files.Damage


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who a disk belongs to.

    Attributes:
      node_id: Node id; empty until the disk has been claimed.
      disk: Random id of the disk.
    """

    node_id: str
    disk_id: str


class StorageFailedError(Exception):
    """A write or sync has failed; the process must not go on."""


class MemoryStorage:
    """Storage without files; what was not synced is lost by `crash`."""

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
        hard: consensus.HardState | None,
        truncate_from: int | None,
        append: tuple[data.LogEntry, ...],
        snapshot: data.Snapshot | None,
    ) -> None:
        """See `DiskStorage.write`."""
        self._contents.apply_write(hard, truncate_from, append, snapshot)

    def sync(self) -> None:
        """See `DiskStorage.sync`."""
        self._synced = self._contents.copy()

    def reopen(self) -> result.Result[consensus.Persisted, Damage]:
        """See `DiskStorage.reopen`."""
        return self.load()

    def crash(self) -> None:
        """Drops what was written since the last sync."""
        self._contents = self._synced.copy()

    def replace_disk(self) -> None:
        """Replaces the storage by an empty one, as a new disk does."""
        self.__init__()


class DiskStorage:
    """Storage in a folder.

    Attributes:
      folder: The folder.
    """

    def __init__(
        self,
        folder: str | os.PathLike[str],
        files: storage_files.Files | None = None,
    ):
        self.folder = pathlib.Path(folder)
        self._files = files or storage_files.Files()
        self._contents = storage_files.Contents()
        self._pending: list[Any] = []
        self._snapshot_is_new = False
        self._failed = False

    # -- identity --------------------------------------------------------

    def bind_to_node(self, node_id: str) -> result.Result[Identity, Damage]:
        """Binds the disk to a node id, or checks that it is bound to it.

        Args:
          node_id: Node id of the process.

        Returns:
          The identity, or Damage if the disk belongs to another node or the
          folder is damaged.
        """
        found = self._open_identity()
        if isinstance(found, result.Failure):
            return found
        identity, _ = found.unwrap()
        if not identity.node_id:
            identity = dataclasses.replace(identity, node_id=node_id)
            self._write_identity(identity)
        return _check_owner(identity, node_id, str(self._path("identity")))

    def read_identity(self) -> result.Result[Identity, Damage]:
        """Returns whose disk this is; a new disk belongs to no node yet."""
        return self._open_identity().map(lambda found: found[0])

    def _open_identity(
        self,
    ) -> result.Result[tuple[Identity, bool], Damage]:
        """Returns the identity and whether the folder held nothing yet."""
        path = self._path("identity")
        if path.exists():
            payload, fault = storage_files.read_single_frame(path)
            if fault is not None:
                return result.Failure(fault)
            return result.Success((Identity(*payload), not self._has_state()))
        if self._has_state():
            return result.Failure(
                Damage(str(path), 0, "identity is missing beside a log")
            )
        self.folder.mkdir(parents=True, exist_ok=True)
        self._files.sync_folder(self.folder.parent)
        # The log comes first: an identity without a log is a damaged folder.
        self._rewrite_log()
        identity = Identity("", _new_disk_id())
        self._write_identity(identity)
        return result.Success((identity, True))

    def _has_state(self) -> bool:
        """Returns whether the folder holds more than an empty log."""
        log = self._path("log")
        blank = len(
            storage_files.encode_frame(storage_files.make_base_payload(0))
        )
        used = log.exists() and log.stat().st_size > blank
        return used or self._path("snapshot").exists()

    def _write_identity(self, identity: Identity) -> None:
        self._replace(
            "identity",
            storage_files.encode_frame([identity.node_id, identity.disk_id]),
        )

    # -- load ------------------------------------------------------------

    def load(self) -> result.Result[consensus.Persisted, Damage]:
        """Reads what was synced and cuts off an interrupted last frame.

        Returns:
          The contents; `new_disk` is set if nothing has been written to the
          folder yet. Damage if the contents cannot be trusted.

        Raises:
          OSError: A file cannot be read or cut off.
        """
        found = self._open_identity()
        if isinstance(found, result.Failure):
            return found
        identity, is_new = found.unwrap()
        self._pending = []
        self._contents = storage_files.Contents()
        fault = self._load_snapshot() or self._load_log()
        if fault is not None:
            return result.Failure(fault)
        persisted = self._contents.to_persisted(identity.disk_id)
        return result.Success(dataclasses.replace(persisted, new_disk=is_new))

    def reopen(self) -> result.Result[consensus.Persisted, Damage]:
        """Reads the folder again after a write has failed.

        What the failed write left is kept like a write before a crash. The log
        is rewritten and synced, as a sync that failed says nothing of what
        earlier ones would have made durable. Room for further records is tried
        first, so that a disk that is nearly full does not fail again at once.

        Returns:
          As `load`.

        Raises:
          OSError: The folder still cannot be read or written.
        """
        self._try_room()
        found = self.load()
        if isinstance(found, result.Success):
            self._rewrite_log()
            self._snapshot_is_new = False
            self._failed = False
        return found

    def _try_room(self) -> None:
        names = [self._path(name) for name in ("log", "snapshot")]
        sizes = [path.stat().st_size for path in names if path.exists()]
        trial = self._path("room.tmp")
        try:
            self._files.create(
                trial, bytes(max(sizes, default=0) + FREE_SPACE_MARGIN_BYTES)
            )
        finally:
            trial.unlink(missing_ok=True)

    def _load_snapshot(self) -> Damage | None:
        path = self._path("snapshot")
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
        path = self._path("log")
        if not path.exists():
            return Damage(str(path), 0, "log is missing")
        blob = path.read_bytes()
        end = 0
        for start, next_start, payload in storage_files.decode_frames(blob):
            if payload is None:
                return Damage(str(path), start, "frame is damaged")
            for record in payload:
                fault = self._contents.replay_record(record)
                if fault is not None:
                    return Damage(str(path), start, fault)
            end = next_start
        if end == 0:
            return Damage(str(path), 0, "log is empty")
        if end < len(blob):
            self._files.truncate(path, end)
        fault = self._contents.reconcile_with_snapshot()
        if fault is not None:
            return Damage(str(path), 0, fault)
        if self._contents.base_index != self._contents.snapshot_index:
            # A crash came between the writing of snapshot and log.
            self._rewrite_log()
        return None

    # -- write -----------------------------------------------------------

    def write(
        self,
        hard: consensus.HardState | None,
        truncate_from: int | None,
        append: tuple[data.LogEntry, ...],
        snapshot: data.Snapshot | None,
    ) -> None:
        """Takes changes, which `sync` makes durable together.

        Args:
          hard: New hard state.
          truncate_from: Index from which on entries are dropped.
          append: Entries to add after that.
          snapshot: Snapshot that replaces the entries up to its index.
        """
        self._contents.apply_write(hard, truncate_from, append, snapshot)
        if hard is not None:
            self._pending.append(storage_files.make_hard_state_record(hard))
        if truncate_from is not None:
            self._pending.append(["truncate", truncate_from])
        self._pending.extend(
            storage_files.make_entry_record(entry) for entry in append
        )
        if snapshot is not None:
            self._snapshot_is_new = True

    def sync(self) -> None:
        """Makes all changes so far durable.

        Raises:
          StorageFailedError: They may not be durable; the process must stop,
            because a later sync would not report the loss again.
        """
        if self._failed:
            raise StorageFailedError("an earlier write has failed")
        try:
            if self._pending:
                frame = storage_files.encode_frame(self._pending)
                self._files.append(self._path("log"), frame)
                self._pending = []
            if self._snapshot_is_new:
                self._replace(
                    "snapshot",
                    storage_files.encode_snapshot_frame(self._contents),
                )
                self._rewrite_log()
                self._snapshot_is_new = False
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
        self._replace("log", frames)

    def _replace(self, name: str, blob: bytes) -> None:
        """Replaces a file so that a crash leaves the old or the new one."""
        temporary = self._path(f"{name}.tmp")
        self._files.create(temporary, blob)
        self._files.rename(temporary, self._path(name))
        self._files.sync_folder(self.folder)

    def _path(self, name: str) -> pathlib.Path:
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
    """Reserves a data folder for this process until it ends.

    A second process on the folder would cut off a record that the first one is
    just writing, as it looks like a torn one.

    Args:
      folder: The data folder; created if absent.

    Returns:
      An open file; the lock lasts as long as it is kept.

    Raises:
      OSError: Another process uses the folder, or it cannot be written.
    """
    place = pathlib.Path(folder)
    place.mkdir(parents=True, exist_ok=True)
    held = (place / "lock").open("ab")
    try:
        fcntl.flock(held, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        held.close()
        raise OSError(f"{folder} is in use by another process") from None
    return held
