"""The instance registry: replicas hold the list, agents follow it. `replica.py` states the invariants."""
