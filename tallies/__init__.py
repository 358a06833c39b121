"""Replicated counters without consensus: every replica accepts adds, and each add counts once by its id."""
