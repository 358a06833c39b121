"""The lab: scenarios, runs over seeds, comparison of versions, and where the worth went."""
