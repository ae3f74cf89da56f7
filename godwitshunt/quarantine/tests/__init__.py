"""Tests of the quarantine."""
