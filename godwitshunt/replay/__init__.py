"""Traces, their generator, open-loop sending, results and charts."""
