"""Experiments with the emulator: scenarios, runs over seeds, version comparison and loss attribution."""
