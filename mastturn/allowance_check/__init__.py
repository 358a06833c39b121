"""Checks of the allowance protocol: a model search over event orders, and a simulated week of tenants."""
