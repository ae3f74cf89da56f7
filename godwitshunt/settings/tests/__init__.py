"""Tests of the settings models."""
