"""Measurements behind the sizes in `docs/CAPACITY.md`.

Run one with `python -m capacity NAME` from the root of the repository.
"""
