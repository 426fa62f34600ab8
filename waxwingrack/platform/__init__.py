"""Adapter to the users' platform: its names, formats and calls.

Names of the platform are used only in this package, and the package translates
without making decisions. `docs/platform.md` lists how each message is
translated.
"""
