"""Measurements: decisions side by side with simpler ones, and their cost."""
