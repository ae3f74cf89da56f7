"""Measurements of one part at a time, as ratios within one run."""
