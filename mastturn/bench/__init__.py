"""Benchmarks of our own: figures of speed and size, never verdicts."""
