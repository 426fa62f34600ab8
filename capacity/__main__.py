"""Runs one measurement: `python -m capacity NAME`."""

import datetime
import importlib
import sys

from capacity import common

MEASUREMENTS = {
    "scheduler": ("capacity.scheduler_load", "main"),
    "target": ("capacity.scheduler_load", "target"),
    "saturated": ("capacity.scheduler_load", "saturated"),
    "engines": ("capacity.engine_cost", "main"),
    "codec": ("capacity.codec_cost", "main"),
    "controller": ("capacity.controller_cost", "main"),
    "grants": ("capacity.grant_cost", "main"),
    "router": ("capacity.router_cost", "main"),
    "forwarding": ("capacity.forwarding_cost", "main"),
    "log": ("capacity.log_cost", "main"),
    "change": ("capacity.change_cost", "main"),
}


def main() -> int:
    """Runs the measurement named on the command line.

    Returns:
      Exit code.
    """
    if len(sys.argv) != 2 or sys.argv[1] not in MEASUREMENTS:
        print(f"usage: python -m capacity {{{','.join(MEASUREMENTS)}}}")
        return 2
    now = datetime.datetime.now(datetime.UTC)
    print(f"{sys.argv[1]}, seed {common.SEED}, {now:%Y-%m-%d %H:%M} UTC")
    module, function = MEASUREMENTS[sys.argv[1]]
    getattr(importlib.import_module(module), function)()
    return 0


if __name__ == "__main__":
    sys.exit(main())
