"""Runs one measurement: `python -m capacity NAME`."""

import datetime
import importlib
import sys

from capacity import common

MEASUREMENTS = {
    "scheduler": "capacity.scheduler_load",
    "codec": "capacity.codec_cost",
    "controller": "capacity.controller_cost",
    "grants": "capacity.grant_cost",
    "router": "capacity.router_cost",
    "forwarding": "capacity.forwarding_cost",
    "log": "capacity.log_cost",
    "change": "capacity.change_cost",
}


def main() -> int:
    """Runs the measurement named on the command line.

    Returns:
      Exit code.
    """
    if len(sys.argv) != 2 or sys.argv[1] not in MEASUREMENTS:
        print(f"usage: python -m capacity {{{','.join(MEASUREMENTS)}}}")
        return 2
    # Decision logs of the measured modules go to standard error, if anywhere.
    now = datetime.datetime.now(datetime.UTC)
    print(f"{sys.argv[1]}, seed {common.SEED}, {now:%Y-%m-%d %H:%M} UTC")
    importlib.import_module(MEASUREMENTS[sys.argv[1]]).main()
    return 0


if __name__ == "__main__":
    sys.exit(main())
