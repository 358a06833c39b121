"""The systems that the balancer serves, in simulated time; docs/emulator.md says what is modelled."""
