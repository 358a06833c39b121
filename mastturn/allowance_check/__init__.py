"""Checks of the allowances' protocol: a search of all orders of events, and a week of tenants."""
