"""Checks of the control state by play: seeded histories with faults, and every order of events up to a bound."""
