"""Command line of the soak: `python -m soak --seeds 1-50`."""

import argparse
import json
import pathlib
import signal
import sys
import time

from soak import plan
from soak import run

ROOT = pathlib.Path(__file__).parent.parent
# Seeds that have failed once, with their causes.
REGRESSIONS = ROOT / "soak" / "regressions.json"
# Logs of runs that broke a promise.
LOGS = ROOT / "target" / "soak"


def _seeds(text: str) -> list[int]:
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main() -> int:
    """Plays runs and prints a line for each.

    Returns:
      1 if a run broke a promise or could not be played, 0 otherwise.
    """
    parser = argparse.ArgumentParser(prog="python -m soak")
    parser.add_argument(
        "--seeds",
        type=_seeds,
        help="a seed or a range as 1-50; by default one of the clock",
    )
    parser.add_argument("--regressions", action="store_true")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--routers", type=int, default=3)
    parser.add_argument("--servers", type=int, default=2)
    parser.add_argument("--callers", type=int, default=3)
    parser.add_argument("--plan", action="store_true", help="print the plans")
    args = parser.parse_args()
    # The default handler would leave the processes of the run behind.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(1))
    seeds = args.seeds or []
    if args.regressions:
        seeds += [row["seed"] for row in json.loads(REGRESSIONS.read_text())]
    elif not seeds:
        seeds = [time.time_ns() // 1_000_000 % 1_000_000]
    size = run.Size(args.routers, args.servers, args.callers)
    failed = 0
    for seed in seeds:
        start_s = time.monotonic()
        try:
            report = run.play(seed, args.seconds, size, LOGS / str(seed))
        except AssertionError as exc:
            failed += 1
            print(f"seed {seed}: not played: {exc}", flush=True)
            continue
        failed += bool(report.broken)
        print(
            f"seed {seed}: {'BROKEN' if report.broken else 'kept'}, "
            f"{report.served} of {report.calls} served, "
            f"{len(report.steps)} faults, {len(report.unplayed)} unplayed, "
            f"{time.monotonic() - start_s:.0f} s",
            flush=True,
        )
        for line in (*report.broken, *report.unplayed):
            print(f"  {line}")
        if args.plan:
            print(plan.describe(report.steps))
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
