"""Measurements of parts of the system on one machine."""
