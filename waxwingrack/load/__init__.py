"""Loads and validates settings documents."""
