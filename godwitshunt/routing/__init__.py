"""Where a request goes: policy, limits, retry budget, entry directory."""
