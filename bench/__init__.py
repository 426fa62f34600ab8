"""Measurements with real processes on loopback.

Run as `python -m bench DEPLOYMENT [--seed N] [--seconds S]`. Each run prints
one JSON line.
"""

# The baseline router imports klein, which would install the default reactor.
from waxwingrack.daemons import event_loop as event_loop
