"""An emulator of split model upstreams, with the fleet's own decision code in simulated time."""
