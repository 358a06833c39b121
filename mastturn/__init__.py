"""mastturn: the tools around the balancer: its emulator, its lab and the command that runs them."""
