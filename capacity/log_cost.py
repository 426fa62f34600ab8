"""Syncs, bytes of commands and snapshots of the replicated log."""

from concurrent import futures
import functools
import multiprocessing
import os
import pathlib
import tempfile
import time

from capacity import common
from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.daemons import storage
from waxwingrack.load import environment
from waxwingrack.operations import replicated

RECORDS = (1_000, 10_000, 50_000)
WORKSPACES = (16, 100, 350)
BATCHES = (1, 8, 64)
SYNCS = 60
ANSWER_BYTES = 200


def _claim(number: int) -> commands.ClaimKey:
    return commands.ClaimKey(
        f"w{number % common.WORKSPACES + 1}",
        f"1700000000-{number:012}",
        common.digest(str(number)),
        "0123456789abcdef",
    )


def _outcome(number: int) -> commands.RecordKeyOutcome:
    claim = _claim(number)
    headers = (("content-type", "application/json"),)
    answer = data.StoredAnswer(200, headers, b"x" * ANSWER_BYTES)
    return commands.RecordKeyOutcome(
        claim.workspace, claim.key, claim.owner, answer
    )


def _checkpoint(counters: int) -> commands.Checkpoint:
    rows = tuple(
        data.CounterRow(f"s{number % 15}", f"w{number}", 1234.5 + number)
        for number in range(counters)
    )
    routers = tuple(f"{number:016x}" for number in range(common.ROUTERS))
    return commands.Checkpoint(1.0, rows, routers)


def _apply(workspaces: int) -> commands.ApplyEnvironment:
    checked = environment.check(common.document(workspaces)).unwrap()
    return commands.ApplyEnvironment("operation", "operator", 0, checked)


def _sizes() -> None:
    for name, command in (
        ("claim of a key", _claim(1)),
        (f"outcome with {ANSWER_BYTES} bytes", _outcome(1)),
        ("checkpoint, 35 counters, 380 routers", _checkpoint(35)),
        ("checkpoint, 350 counters, 380 routers", _checkpoint(350)),
        ("checkpoint, 5,250 counters, 380 routers", _checkpoint(5_250)),
        *((f"environment of {n} workspaces", _apply(n)) for n in WORKSPACES),
    ):
        encode = functools.partial(commands.CODEC.encode, command)
        spent = common.per_call_us(encode, 0.2)
        print(f"{name:42}: {len(encode()):7} bytes, encode {spent:7.0f} us")


def _syncs() -> None:
    blob = commands.CODEC.encode(_claim(1))
    with tempfile.TemporaryDirectory(prefix="capacity-") as folder:
        disk = storage.DiskStorage(pathlib.Path(folder) / "log")
        disk.bind_to_node("c1")
        disk.load()
        index = 0
        for batch in BATCHES:
            waits = []
            start_cpu = time.process_time()
            for _ in range(SYNCS):
                entries = tuple(
                    data.LogEntry(index + offset, 1, blob)
                    for offset in range(1, batch + 1)
                )
                index += batch
                start = time.perf_counter()
                disk.write(None, None, entries, None)
                disk.sync()
                waits.append(time.perf_counter() - start)
            cpu = time.process_time() - start_cpu
            waits.sort()
            print(
                f"sync of {batch:3} claims: median"
                f" {waits[SYNCS // 2] * 1e3:.2f} ms,"
                f" p95 {waits[SYNCS * 95 // 100] * 1e3:.2f} ms (wall time),"
                f" {cpu / SYNCS * 1e6:.0f} us of processor time"
            )


def _state(records: int, workspaces: int) -> data.ReplicatedState:
    state = replicated.apply(data.ReplicatedState(), _apply(workspaces)).state
    for number in range(records):
        state = replicated.apply(state, _claim(number)).state
        state = replicated.apply(state, _outcome(number)).state
    return state


def _snapshot(records: int, workspaces: int) -> tuple[int, float, float, float]:
    start = time.process_time()
    state = _state(records, workspaces)
    applied = time.process_time() - start
    start = time.process_time()
    blob = replicated.encode(state)
    encoded = time.process_time() - start
    start = time.process_time()
    replicated.decode(blob).unwrap()
    decoded = time.process_time() - start
    print(
        f"snapshot of {records:6} records, {workspaces:4} workspaces:"
        f" {len(blob):9} bytes, encode {encoded * 1e3:7.1f} ms,"
        f" decode {decoded * 1e3:7.1f} ms;"
        f" {applied / max(1, 2 * records) * 1e6:.0f} us to apply a command",
        flush=True,
    )
    return len(blob), encoded, decoded, applied


def _state_mb(records: int) -> float:
    """Returns the memory that a state takes in this process, in MB."""
    before = common.rss_mb(os.getpid())
    state = _state(records, common.WORKSPACES)
    taken = common.rss_mb(os.getpid()) - before
    assert len(state.keys) == records, "the store refused records"
    return taken


def _memory() -> None:
    points = []
    # A process for each size, as freed memory stays with its process.
    with futures.ProcessPoolExecutor(
        1, multiprocessing.get_context("spawn"), max_tasks_per_child=1
    ) as pool:
        for count in RECORDS:
            points.append((count, pool.submit(_state_mb, count).result()))
            print(f"state of {count:6} records: {points[-1][1]:.1f} MB")
    gradient, _ = common.slope(points)
    print(f"slope of a record: {gradient * 1e6:.0f} bytes of memory")


def main() -> None:
    """Prints the figures of the log."""
    _memory()
    _sizes()
    _syncs()
    points = [(count, _snapshot(count, 350)) for count in RECORDS]
    size, _ = common.slope([(count, found[0]) for count, found in points])
    encode, _ = common.slope([(count, found[1]) for count, found in points])
    decode, _ = common.slope([(count, found[2]) for count, found in points])
    print(
        f"slope of a record: {size:.0f} bytes, encode {encode * 1e6:.1f} us,"
        f" decode {decode * 1e6:.1f} us"
    )
    found = [(count, _snapshot(0, count)[0]) for count in WORKSPACES]
    print(f"slope of a workspace: {common.slope(found)[0]:.0f} bytes")
