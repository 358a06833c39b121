"""The list of instances: kept by replicas, followed by agents. The invariants stand in `replica.py`."""
