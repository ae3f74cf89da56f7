"""Tests of request stories."""
