"""Accepting, distributing and applying configuration."""
