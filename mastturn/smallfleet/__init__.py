"""A small demonstration fleet on loopback: the real programs, with stand-ins for their environment."""
