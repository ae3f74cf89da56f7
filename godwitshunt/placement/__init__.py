"""Orders to upstreams: fencing numbers and the weight store rate."""
