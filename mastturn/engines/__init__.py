"""Emulator of prefill and decode upstreams: runs the product's own decision code in simulated time."""
