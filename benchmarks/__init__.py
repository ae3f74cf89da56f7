"""Commands that measure parts of the system on one machine."""
