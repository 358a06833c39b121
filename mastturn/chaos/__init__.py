"""The fleet rig: real copies of every program on loopback, faults between them, rules read off a history."""
