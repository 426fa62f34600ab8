"""Log of a consensus replica as an immutable value.

Entries are kept in a persistent map, so a log with a further entry shares
the other entries with the log before it.
"""

from collections.abc import Iterable
import dataclasses

import immutables

from waxwingrack.core import data

# Entries kept before the end of a snapshot, so that a follower that lags by a
# few entries does not need the whole snapshot.
TRAILING_ENTRIES = 1_000
# Maximum bytes of commands in one message; leaves room below the frame limit.
MAX_BATCH_BYTES = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """Members of the group from one log index on.

    Attributes:
      index: Index of the entry or snapshot that set the members; 0 for those
        that the replica was created with.
      members: Node ids with a vote, sorted.
      disks: Disk ids with which they may vote, in the same order; empty until
        the first election has collected them.
    """

    index: int
    members: tuple[str, ...]
    disks: tuple[str, ...] = ()

    def disk_of(self, node_id: str) -> str | None:
        """Returns the disk id with which a member may vote, or None."""
        if node_id not in self.members or not self.disks:
            return None
        return self.disks[self.members.index(node_id)]


@dataclasses.dataclass(frozen=True, slots=True)
class Log:
    """Entries after a snapshot, and some before its end.

    Attributes:
      snapshot: Latest snapshot, if there is one.
      entries: Entries by index, without gaps up to `last_index`.
      first_index: Index of the first entry held.
      first_term: Term of the entry before `first_index`.
      last_index: Index of the last entry, or of the snapshot if that is later.
      last_term: Term of that entry.
      configs: Members set by the snapshot and by later entries, oldest first.
    """

    snapshot: data.Snapshot | None
    entries: immutables.Map
    first_index: int
    first_term: int
    last_index: int
    last_term: int
    configs: tuple[Config, ...]

    @property
    def config(self) -> Config:
        """Members in force: the latest in the log, committed or not."""
        return self.configs[-1]

    @property
    def snapshot_index(self) -> int:
        """Index up to which the snapshot holds the state, or 0."""
        return self.snapshot.index if self.snapshot else 0


def build(
    initial_config: Config,
    snapshot: data.Snapshot | None,
    entries: Iterable[data.LogEntry],
) -> Log:
    """Builds a log from a persisted snapshot and entries.

    Args:
      initial_config: Members to use if neither snapshot nor entries name any.
      snapshot: Latest snapshot.
      entries: Entries after the snapshot, in order.

    Returns:
      The log.
    """
    if snapshot is None:
        empty = Log(None, immutables.Map(), 1, 0, 0, 0, (initial_config,))
    else:
        empty = from_snapshot(snapshot)
    return append(empty, tuple(entries))


def from_snapshot(snapshot: data.Snapshot) -> Log:
    """Builds a log that holds a snapshot and no entries."""
    config = Config(snapshot.index, snapshot.members, snapshot.disks)
    return Log(
        snapshot,
        immutables.Map(),
        snapshot.index + 1,
        snapshot.term,
        snapshot.index,
        snapshot.term,
        (config,),
    )


def term_at(log: Log, index: int) -> int | None:
    """Returns the term of an entry, or None if the log does not know it."""
    if index == log.last_index:
        return log.last_term
    if index == log.first_index - 1:
        return log.first_term
    entry = log.entries.get(index)
    return entry.term if entry else None


def append(log: Log, entries: tuple[data.LogEntry, ...]) -> Log:
    """Appends entries that follow the last one."""
    if not entries:
        return log
    if len(entries) == 1:
        entries_by_index = log.entries.set(entries[0].index, entries[0])
    else:
        entries_by_index = log.entries.update(
            {item.index: item for item in entries}
        )
    new_configs = tuple(
        Config(item.index, item.members, item.disks)
        for item in entries
        if item.members is not None
    )
    return dataclasses.replace(
        log,
        entries=entries_by_index,
        last_index=entries[-1].index,
        last_term=entries[-1].term,
        configs=log.configs + new_configs,
    )


def truncate(log: Log, index: int) -> Log:
    """Removes the entries from an index on."""
    with log.entries.mutate() as entries_by_index:
        for dropped in range(index, log.last_index + 1):
            del entries_by_index[dropped]
        entries = entries_by_index.finish()
    last_index = index - 1
    return dataclasses.replace(
        log,
        entries=entries,
        last_index=last_index,
        last_term=entries[last_index].term
        if last_index in entries
        else log.first_term,
        configs=tuple(item for item in log.configs if item.index < index),
    )


def config_at(log: Log, index: int) -> Config:
    """Returns the members in force at an index that the log still holds."""
    return [item for item in log.configs if item.index <= index][-1]


def compact(log: Log, index: int, state: bytes) -> Log:
    """Takes a snapshot and deletes all but TRAILING_ENTRIES before its end.

    Args:
      log: The log.
      index: Index up to which `state` includes the entries; must be committed
        and not before the current snapshot.
      state: Encoded replicated state.

    Returns:
      The log with the new snapshot.
    """
    config = config_at(log, index)
    snapshot = data.Snapshot(
        index, term_at(log, index), config.members, state, config.disks
    )
    first_index = max(log.first_index, index + 1 - TRAILING_ENTRIES)
    first_term = term_at(log, first_index - 1)
    with log.entries.mutate() as entries_by_index:
        for dropped in range(log.first_index, first_index):
            del entries_by_index[dropped]
        entries = entries_by_index.finish()
    later_configs = tuple(item for item in log.configs if item.index > index)
    return dataclasses.replace(
        log,
        snapshot=snapshot,
        entries=entries,
        first_index=first_index,
        first_term=first_term,
        configs=(config, *later_configs),
    )


def select_batch(
    log: Log, first_index: int, last_allowed_index: int
) -> tuple[data.LogEntry, ...]:
    """Selects entries from an index on for one message.

    Args:
      log: The log.
      first_index: Index of the first entry.
      last_allowed_index: Index of the last entry that may be selected.

    Returns:
      At least one entry if there is one; together at most `MAX_BATCH_BYTES`
      of commands, apart from the first.
    """
    selected = []
    command_bytes = 0
    for index in range(
        first_index, min(last_allowed_index, log.last_index) + 1
    ):
        entry = log.entries[index]
        command_bytes += len(entry.command)
        if selected and command_bytes > MAX_BATCH_BYTES:
            break
        selected.append(entry)
    return tuple(selected)
