"""Discrete-event simulation of the systems around the balancer; docs/emulator.md says what is modelled."""
