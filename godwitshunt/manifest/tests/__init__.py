"""Tests of the manifest models."""
