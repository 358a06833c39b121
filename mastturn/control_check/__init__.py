"""Checks the control state by seeded fault-injection simulations and by bounded exhaustive state search."""
