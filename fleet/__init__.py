"""What a fleet decides together. Pure: events in, actions out, no clock, no sockets."""
