"""Stand-ins for the systems that the gateway serves."""
