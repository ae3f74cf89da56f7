"""HTTP with callers and upstreams, and the life of a request."""
