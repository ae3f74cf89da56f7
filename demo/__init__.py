"""The demonstration: a whole deployment on loopback addresses."""
