"""The control process: a consensus replica on sockets and disk, the operators' API, the leader's duties."""
