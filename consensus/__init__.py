"""Replicated state of the control plane: leader election, replication, membership and storage on disk."""
