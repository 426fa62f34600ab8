"""Steps for the binary that `scripts/build` makes."""

import contextlib
import pathlib
import signal

import behave

from features.steps import commands_steps

BINARY = pathlib.Path(__file__).resolve().parents[2] / "dist/waxwingrack"


@behave.when("the built binary runs as {role} until it answers")
def run_binary(context, role):
    assert BINARY.exists(), f"{BINARY} is not built"
    stack = contextlib.ExitStack()
    context.add_cleanup(stack.close)
    context.binary = stack.enter_context(
        commands_steps.running(context, str(BINARY), role)
    )


def _children(pid):
    """Returns the ids of all processes below a process."""
    parents = {}
    for stat in pathlib.Path("/proc").glob("[0-9]*/stat"):
        try:
            # The name, in brackets, may hold spaces.
            fields = stat.read_text().rpartition(")")[2].split()
        except OSError:
            continue
        parents[int(stat.parent.name)] = int(fields[1])
    found, waiting = set(), {pid}
    while waiting:
        waiting = {
            child for child, parent in parents.items() if parent in waiting
        } - found
        found |= waiting
    return found


@behave.then("/proc shows no process below the binary")
def no_children(context):
    assert context.binary.poll() is None, "the binary has ended"
    assert not _children(context.binary.pid), _children(context.binary.pid)


@behave.then("the binary ends with {code:d} on SIGTERM")
def binary_ends(context, code):
    context.binary.send_signal(signal.SIGTERM)
    found = context.binary.wait(commands_steps.TIMEOUT_S)
    assert found == code, found
