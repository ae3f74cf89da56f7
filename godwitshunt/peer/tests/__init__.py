"""Tests of the peer links."""
