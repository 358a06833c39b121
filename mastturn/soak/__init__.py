"""Soak test of a real fleet: misbehaving upstreams, overlapping faults, and a check of every response."""
