"""Trials of whole deployments: faults from a seed, promises checked."""
