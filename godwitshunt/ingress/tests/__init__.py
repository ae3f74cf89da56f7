"""Tests of the ingress."""
