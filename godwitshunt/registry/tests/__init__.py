"""Tests of the registry slice."""
