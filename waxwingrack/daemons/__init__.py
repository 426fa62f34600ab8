"""Processes: sockets, files and timers around the decision systems."""
