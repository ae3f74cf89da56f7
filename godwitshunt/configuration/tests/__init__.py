"""Tests of the configuration package."""
