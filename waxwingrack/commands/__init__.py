"""Commands of the command-line program."""
