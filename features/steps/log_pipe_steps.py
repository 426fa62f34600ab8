"""Steps for log lines on a pipe whose reader is behind."""

import json
import select
import subprocess
import sys

import behave

from features.support import fleet

PROGRAM = """
import sys
from waxwingrack.core import logs
logs.configure("n", "INFO", sys.stdout)
for number in range(20000):
    logs.event("early", number=number, text="x" * 100)
print("written", file=sys.stderr, flush=True)
sys.stdin.readline()
for number in range(10):
    logs.event("late", number=number)
"""


@behave.when("a process writes 20000 lines to a pipe that nobody reads")
def write_lines(context):
    context.process = subprocess.Popen(
        [sys.executable, "-c", PROGRAM],
        cwd=fleet.ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(context.process.kill)


@behave.then("it ends within {limit:d} s")
def ends(context, limit):
    errors = context.process.stderr
    readable, _, _ = select.select([errors], [], [], limit)
    assert readable, f"the process still writes after {limit} s"
    assert errors.readline() == "written\n"


@behave.then("the pipe holds whole lines")
def whole_lines(context):
    context.early = []
    # Only whole lines stand before the last, of which the rest is to come.
    for _ in range(100):
        context.early.append(json.loads(context.process.stdout.readline()))
    numbers = [line["number"] for line in context.early]
    assert numbers == list(range(100)), numbers


@behave.when("the reader is back before the process writes 10 more lines")
def reader_back(context):
    # Empties the pipe up to the last whole line.
    output = context.process.stdout
    while True:
        line = output.readline()
        context.early.append(json.loads(line))
        if context.early[-1]["number"] > 300:
            break
    context.process.stdin.write("\n")
    context.process.stdin.flush()
    context.rest = [json.loads(line) for line in output.read().splitlines()]
    context.process.wait(20)


@behave.then("one line tells how many were dropped and the 10 lines follow")
def told(context):
    written = len(context.early) + sum(
        line["event"] == "early" for line in context.rest
    )
    dropped = [
        line for line in context.rest if line["event"] == "log_lines_dropped"
    ]
    assert len(dropped) == 1, dropped
    assert dropped[0]["count"] + written == 20_000, (dropped, written)
    late = [line["number"] for line in context.rest if line["event"] == "late"]
    assert late == list(range(10)), late
