"""Randomised soak of the real programs on one machine."""
