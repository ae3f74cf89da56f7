"""Tests of the backpressure package."""
