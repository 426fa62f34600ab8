"""Helpers of the integration features."""
