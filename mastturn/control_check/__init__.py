"""Checks of the control state: seeded histories with faults, and every order of events up to a bound."""
