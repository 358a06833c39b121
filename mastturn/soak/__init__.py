"""A soak of a real fleet: upstreams that misbehave, troubles that overlap, and a checker of every answer."""
