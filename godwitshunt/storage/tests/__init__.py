"""Tests of the storage slice."""
