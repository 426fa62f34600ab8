"""Loading and checking of settings documents."""
