"""Steps for the log and snapshot files."""

import pathlib
import shutil
import tempfile

import behave
from returns import result

from waxwingrack.core import data
from waxwingrack.daemons import storage
from waxwingrack.daemons import storage_files
from waxwingrack.operations import consensus

HARD = consensus.HardState(7, "b", ("a", "b", "c"), ("x", "y", "z"))


class CrashError(Exception):
    """A simulated crash at a call to the file system."""


class FailingFiles(storage_files.Files):
    """Counts calls and fails at one of them.

    A crash in an append or a write leaves half of the bytes, as an unsynced
    write may.
    """

    def __init__(self, fail_at=None, error=CrashError):
        self.calls = 0
        self.fail_at = fail_at
        self.error = error

    def _fails(self):
        self.calls += 1
        return self.calls == self.fail_at

    def append(self, path, blob):
        """Adds half of the bytes, or all of them."""
        if self._fails():
            super().append(path, blob[: len(blob) // 2])
            raise self.error("append")
        super().append(path, blob)

    def create(self, path, blob):
        """Writes half of the bytes, or all of them."""
        if self._fails():
            super().create(path, blob[: len(blob) // 2])
            raise self.error("create")
        super().create(path, blob)

    def truncate(self, path, size):
        """Cuts the file off, or fails."""
        if self._fails():
            raise self.error("truncate")
        super().truncate(path, size)

    def rename(self, source, target):
        """Renames the file, or fails."""
        if self._fails():
            raise self.error("rename")
        super().rename(source, target)

    def sync_folder(self, folder):
        """Syncs the folder, or fails."""
        if self._fails():
            raise self.error("sync_folder")
        super().sync_folder(folder)


def entry(index, term=7):
    return data.LogEntry(index, term, b"command %d" % index)


def snapshot(index):
    return data.Snapshot(index, 7, ("a", "b", "c"), b"state", ("x", "y", "z"))


def new_folder(context) -> pathlib.Path:
    folder = tempfile.mkdtemp(prefix="replication")
    context.add_cleanup(shutil.rmtree, folder, ignore_errors=True)
    return pathlib.Path(folder) / "data"


def load(folder):
    return storage.DiskStorage(folder).load()


def indexes(persisted):
    return [item.index for item in persisted.entries]


@behave.given("a replication storage with 5 synced entries")
def five_entries(context):
    context.folder = new_folder(context)
    disk = storage.DiskStorage(context.folder)
    disk.bind_to_node("a").unwrap()
    disk.load().unwrap()
    disk.write(HARD, None, (entry(1), entry(2)), None)
    disk.sync()
    for index in (3, 4, 5):
        context.before_last = (context.folder / "log").stat().st_size
        disk.write(None, None, (entry(index),), None)
        disk.sync()
    context.disk = disk
    context.log = (context.folder / "log").read_bytes()


@behave.given("its log was compacted at {index:d}")
def compacted(context, index):
    context.disk.write(None, None, (), snapshot(index))
    context.disk.sync()


@behave.when("the replication storage is loaded again")
def load_again(context):
    context.loaded = load(context.folder)


@behave.when("it is changed by {change} and loaded again")
def change_and_load(context, change):
    index = int(change.split()[-1])
    if change.startswith("truncation"):
        context.disk.write(None, index, (), None)
    else:
        context.disk.write(None, None, (), snapshot(index))
    context.disk.sync()
    context.loaded = load(context.folder)


@behave.then(
    "it holds the entries {first:d} to {last:d} and the replicated vote"
)
def holds_entries(context, first, last):
    persisted = context.loaded.unwrap()
    expected = tuple(entry(index) for index in range(first, last + 1))
    assert persisted.entries == expected, persisted.entries
    assert persisted.hard == HARD
    if first > 1:
        assert persisted.snapshot == snapshot(first - 1)


@behave.when("its log is cut at every byte offset of the last record")
def cut_everywhere(context):
    context.offsets = range(context.before_last, len(context.log))
    assert len(context.offsets) > storage_files.HEADER.size


@behave.then("each time the replication storage loads the entries 1 to 4")
def loads_four_each_time(context):
    for offset in context.offsets:
        (context.folder / "log").write_bytes(context.log[:offset])
        persisted = load(context.folder).unwrap()
        assert indexes(persisted) == [1, 2, 3, 4], (offset, persisted)
        assert persisted.hard == HARD


@behave.then("each time it takes a new entry 5 and loads it again")
def takes_new_entry(context):
    for offset in context.offsets:
        (context.folder / "log").write_bytes(context.log[:offset])
        disk = storage.DiskStorage(context.folder)
        disk.load().unwrap()
        disk.write(None, None, (entry(5, term=8),), None)
        disk.sync()
        persisted = load(context.folder).unwrap()
        assert persisted.entries[-1] == entry(5, term=8), offset


@behave.when("the last record of its log is {fault}")
def spoil_last(context, fault):
    keep = context.before_last
    if fault == "zeros after its header":
        keep += storage_files.HEADER.size
    zeros = bytes(len(context.log) - keep)
    (context.folder / "log").write_bytes(context.log[:keep] + zeros)


@behave.then("the replication storage loads the entries 1 to 4")
def loads_four(context):
    persisted = load(context.folder).unwrap()
    assert indexes(persisted) == [1, 2, 3, 4], persisted


@behave.when("each byte before the last record of its log is flipped in turn")
def flip_each(context):
    context.offsets = range(context.before_last)


@behave.then("each time the replication storage reports damage")
def damage_each_time(context):
    for offset in context.offsets:
        blob = bytearray(context.log)
        blob[offset] ^= 0x10
        (context.folder / "log").write_bytes(blob)
        loaded = load(context.folder)
        assert isinstance(loaded, result.Failure), (offset, loaded)
        assert (context.folder / "log").read_bytes() == blob


@behave.when("{name} of the replication storage is {fault}")
def spoil_file(context, name, fault):
    path = context.folder / name
    blob = bytearray(path.read_bytes())
    match fault:
        case "flipped":
            blob[len(blob) // 2] ^= 1
            path.write_bytes(blob)
        case "truncated":
            path.write_bytes(blob[:-1])
        case "empty":
            path.write_bytes(b"")
        case "missing":
            path.unlink()


@behave.then("the replication storage reports damage")
def reports_damage(context):
    loaded = load(context.folder)
    assert isinstance(loaded, result.Failure), loaded
    assert isinstance(loaded.failure(), storage.Damage)


@behave.given("a replication storage whose calls to the file system can fail")
def failing_storage(context):
    context.folder = new_folder(context)


def write_history(disk, note):
    """Writes with two syncs to spare and notes each state once synced."""
    disk.bind_to_node("a").unwrap()
    disk.load().unwrap()
    changes = (
        (HARD, None, (entry(1), entry(2), entry(3)), None),
        (None, 3, (entry(3, 8), entry(4, 8)), None),
        (None, None, (), snapshot(2)),
        (None, None, (entry(5, 8),), None),
        # Replaces the whole log, as a snapshot of the leader does.
        (None, None, (), snapshot(9)),
        (None, None, (entry(10, 8),), None),
    )
    for change in changes:
        disk.write(*change)
        note(started=True)
        disk.sync()
        note(started=False)


@behave.when(
    "it crashes at each call in turn while it writes, truncates and compacts"
)
def crash_at_each_call(context):
    states = [(consensus.HardState(), None, ())]
    model = storage.MemoryStorage()
    clean = FailingFiles()

    def note_model(started):
        if not started:
            persisted = model.load().unwrap()
            states.append(
                (persisted.hard, persisted.snapshot, persisted.entries)
            )

    write_history(model, note_model)
    write_history(
        storage.DiskStorage(new_folder(context), clean), lambda started: None
    )
    context.crashes = []
    for call in range(1, clean.calls + 1):
        folder = new_folder(context)
        synced = []
        disk = storage.DiskStorage(folder, FailingFiles(call))
        try:
            write_history(
                disk, lambda started, done=synced: started or done.append(1)
            )
            raise AssertionError(f"no crash at call {call}")
        except CrashError:
            pass
        count = len(synced)
        context.crashes.append((folder, states[count : count + 2]))
    assert len(context.crashes) > 15


@behave.then("each time it loads what was synced before or with the crash")
def loads_synced(context):
    for folder, allowed in context.crashes:
        for _ in range(2):
            disk = storage.DiskStorage(folder)
            disk.bind_to_node("a").unwrap()
            found = disk.load().unwrap()
            state = (found.hard, found.snapshot, found.entries)
            old, new = allowed
            assert state in (old, new), (folder, state, allowed)
        # What is appended after the recovery must be readable as well.
        last = state[2][-1].index if state[2] else 0
        index = max(last, state[1].index if state[1] else 0) + 1
        disk.write(None, None, (entry(index, 9),), None)
        disk.sync()
        again = load(folder).unwrap()
        assert again.entries[-1] == entry(index, 9), (folder, again)


@behave.when("one of its syncs fails")
def one_sync_fails(context):
    files = FailingFiles(error=OSError)
    context.disk = storage.DiskStorage(context.folder, files)
    context.disk.load().unwrap()
    files.fail_at = files.calls + 1
    context.disk.write(HARD, None, (), None)
    assert sync_fails(context.disk)


def sync_fails(disk):
    try:
        disk.sync()
    except storage.StorageFailedError:
        return True
    return False


@behave.then("every later sync of the replication storage fails as well")
def later_syncs_fail(context):
    context.disk.write(HARD, None, (), None)
    assert sync_fails(context.disk)


def make_storage(context, kind):
    if kind == "memory":
        return storage.MemoryStorage()
    context.folder = new_folder(context)
    return storage.DiskStorage(context.folder)


@behave.given("a {kind} replication storage that belongs to node a")
def owned_storage(context, kind):
    context.disk = make_storage(context, kind)
    context.identity = context.disk.bind_to_node("a").unwrap()
    context.kind = kind
    assert context.disk.load().unwrap().new_disk
    context.disk.write(HARD, None, (), None)
    context.disk.sync()


@behave.then("node a finds the same replication disk id again")
def same_disk(context):
    disk = context.disk
    if context.kind == "disk":
        disk = storage.DiskStorage(context.folder)
    assert disk.bind_to_node("a").unwrap() == context.identity
    persisted = disk.load().unwrap()
    assert persisted.disk == context.identity.disk_id
    assert not persisted.new_disk


@behave.then("node b is refused the replication storage")
def other_node_refused(context):
    assert isinstance(context.disk.bind_to_node("b"), result.Failure)


@behave.then("a new {kind} replication storage has another disk id and is new")
def another_disk(context, kind):
    persisted = make_storage(context, kind).load().unwrap()
    assert persisted.new_disk
    assert persisted.disk not in ("", context.identity.disk_id)
