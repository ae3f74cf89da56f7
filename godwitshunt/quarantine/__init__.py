"""Requests under which upstreams crash: told apart, counted, kept back."""

from godwitshunt.quarantine.fingerprint import Fingerprint

__all__ = ['Fingerprint']
