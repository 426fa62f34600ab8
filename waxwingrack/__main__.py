"""Runs the command line as `python -m waxwingrack`."""

import sys

from waxwingrack.commands import main

if __name__ == "__main__":
    sys.exit(main.main())
