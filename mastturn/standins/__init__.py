"""Stand-ins for the balancer's neighbours on real loopback sockets: upstreams, discovery agent, clients."""
