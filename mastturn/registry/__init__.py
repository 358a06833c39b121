"""The list service on sockets: replicas, agents, registrants. Decisions are in `fleet.registry`."""
