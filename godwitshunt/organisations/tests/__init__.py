"""Tests of keys, freshness and limits of organisations."""
