"""How news reach the balancers, and how the system's processes reach each other."""
