"""Log of a consensus replica as an immutable value.

Entries are kept in a persistent map, so appending one entry shares the rest of
the log with the value before it.
"""

from collections.abc import Iterable
import dataclasses

import immutables

from waxwingrack.core import data

# Entries kept behind a snapshot, so that a follower that is only a little
# behind does not need the whole snapshot.
TRAILING_ENTRIES = 1_000
# Most bytes of commands in one message; leaves room below the frame limit.
MAX_BATCH_BYTES = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """Members of the group from one log index on.

    Attributes:
      index: Index of the entry or snapshot that set them; 0 for the members
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
      entries: Entries by index, without gaps up to `last`.
      first: Index of the first entry held.
      first_term: Term of the entry before `first`.
      last: Index of the last entry, or of the snapshot if that is later.
      last_term: Term of that entry.
      configs: Members set by the snapshot and by later entries, oldest first.
    """

    snapshot: data.Snapshot | None
    entries: immutables.Map
    first: int
    first_term: int
    last: int
    last_term: int
    configs: tuple[Config, ...]

    @property
    def config(self) -> Config:
        """Members in force, that is, the latest ones in the log."""
        return self.configs[-1]

    @property
    def snapshot_index(self) -> int:
        """Index up to which the snapshot holds the state, or 0."""
        return self.snapshot.index if self.snapshot else 0


def build(
    base: Config,
    snapshot: data.Snapshot | None,
    entries: Iterable[data.LogEntry],
) -> Log:
    """Builds a log from what was persisted.

    Args:
      base: Members to use if neither snapshot nor entries name any.
      snapshot: Latest snapshot.
      entries: Entries after the snapshot, in order.

    Returns:
      The log.
    """
    if snapshot is None:
        empty = Log(None, immutables.Map(), 1, 0, 0, 0, (base,))
    else:
        empty = from_snapshot(snapshot)
    return append(empty, tuple(entries))


def from_snapshot(snapshot: data.Snapshot) -> Log:
    """Returns a log that holds a snapshot and no entries."""
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
    if index == log.last:
        return log.last_term
    if index == log.first - 1:
        return log.first_term
    entry = log.entries.get(index)
    return entry.term if entry else None


def append(log: Log, entries: tuple[data.LogEntry, ...]) -> Log:
    """Adds entries that follow the last one."""
    if not entries:
        return log
    if len(entries) == 1:
        table = log.entries.set(entries[0].index, entries[0])
    else:
        table = log.entries.update({item.index: item for item in entries})
    added = tuple(
        Config(item.index, item.members, item.disks)
        for item in entries
        if item.members is not None
    )
    return dataclasses.replace(
        log,
        entries=table,
        last=entries[-1].index,
        last_term=entries[-1].term,
        configs=log.configs + added,
    )


def truncate(log: Log, index: int) -> Log:
    """Removes the entries from an index on."""
    with log.entries.mutate() as table:
        for dropped in range(index, log.last + 1):
            del table[dropped]
        entries = table.finish()
    last = index - 1
    return dataclasses.replace(
        log,
        entries=entries,
        last=last,
        last_term=entries[last].term if last in entries else log.first_term,
        configs=tuple(item for item in log.configs if item.index < index),
    )


def config_at(log: Log, index: int) -> Config:
    """Returns the members in force at an index that the log still holds."""
    return [item for item in log.configs if item.index <= index][-1]


def compact(log: Log, index: int, state: bytes) -> Log:
    """Takes a snapshot and drops the entries well before it.

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
    first = max(log.first, index + 1 - TRAILING_ENTRIES)
    first_term = term_at(log, first - 1)
    with log.entries.mutate() as table:
        for dropped in range(log.first, first):
            del table[dropped]
        entries = table.finish()
    later = tuple(item for item in log.configs if item.index > index)
    return dataclasses.replace(
        log,
        snapshot=snapshot,
        entries=entries,
        first=first,
        first_term=first_term,
        configs=(config, *later),
    )


def batch(log: Log, start: int, limit: int) -> tuple[data.LogEntry, ...]:
    """Returns entries from an index on, for one message.

    Args:
      log: The log.
      start: Index of the first entry.
      limit: Index after which to stop.

    Returns:
      At least one entry if there is one; together at most `MAX_BATCH_BYTES`
      of commands, apart from the first.
    """
    chosen = []
    size = 0
    for index in range(start, min(limit, log.last) + 1):
        entry = log.entries[index]
        size += len(entry.command)
        if chosen and size > MAX_BATCH_BYTES:
            break
        chosen.append(entry)
    return tuple(chosen)
