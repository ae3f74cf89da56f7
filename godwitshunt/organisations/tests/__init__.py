"""Tests of keys, proofs and limits of organisations."""
