"""Benchmarks of the project; they report figures and do not judge them."""
