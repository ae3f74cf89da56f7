<<<<<<< HEAD
"""Measurements of one part at a time, as ratios within one run."""
=======
"""Commands that measure parts of the system on one machine."""
>>>>>>> state
