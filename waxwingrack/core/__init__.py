"""Record types, error kinds, messages and registries; no input or output."""
