"""Tests of the atomic file."""
