"""Order, fairness and forecast of requests that wait for an upstream.

A region's picker assigns a queued request to an upstream when one has room.
No I/O: each call gets the time and the known state.
"""
