"""Chaos tests: runs every program on loopback, injects faults and checks the recorded history."""
