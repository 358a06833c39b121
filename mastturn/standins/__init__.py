"""The balancer's neighbours on real loopback sockets, all of our own: upstreams, discovery, clients."""
