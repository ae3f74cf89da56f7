"""Tests of this slice."""
