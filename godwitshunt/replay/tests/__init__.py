"""Tests of the replay."""
