"""Runs the command line as `python -m waxwingrack`."""

import gc
import sys


def _run() -> int:
    # Imports create objects that are kept for the life of the process, so
    # garbage collection during the imports would free nothing.
    gc.disable()
    from waxwingrack.commands import main

    gc.enable()
    return main.main()


if __name__ == "__main__":
    sys.exit(_run())
