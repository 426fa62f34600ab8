"""Router fleet that shares capacity fairly between workspaces."""
