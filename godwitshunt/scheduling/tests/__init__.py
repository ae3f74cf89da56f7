"""Tests of the queue, its order and its forecast."""
