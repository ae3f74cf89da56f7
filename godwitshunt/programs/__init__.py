"""The command line programs."""
