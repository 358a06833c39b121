"""Registry and membership of a fleet as pure state machines: events in, actions out, no clock, no sockets."""
