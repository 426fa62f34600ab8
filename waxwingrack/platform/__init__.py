"""Adapter to the users' platform: its names, formats and calls.

Nothing outside this package knows a name of the platform, and nothing in it
decides. `docs/platform.md` lists what becomes of each message.
"""
