"""Tests of the ingress slice."""
