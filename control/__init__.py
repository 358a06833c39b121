"""The control process: a consensus replica with sockets and disk, the operators' API, the leader's duties."""
