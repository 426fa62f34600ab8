"""Processes: sockets, files and timers around the decision systems."""

from waxwingrack.daemons import event_loop as event_loop
