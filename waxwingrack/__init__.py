"""Router fleet that shares capacity fairly between workspaces."""

__version__ = "0.1.0"
