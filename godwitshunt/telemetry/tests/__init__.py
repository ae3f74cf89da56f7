"""Tests of metrics and log output."""
