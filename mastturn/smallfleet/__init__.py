"""A small whole fleet of the system on loopback, for newcomers: real programs, with stand-ins around them."""
