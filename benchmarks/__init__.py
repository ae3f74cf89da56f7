"""Measurements, run by hand; each module's docstring gives its command."""
