"""Tests of the grants slice."""
