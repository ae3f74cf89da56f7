"""Tests of the analysis of request log lines."""
