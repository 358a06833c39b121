"""Distribution of updates from the control plane to the balancers, over a tree of relays."""
