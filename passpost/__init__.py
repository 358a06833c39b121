"""HTTP/1.1 load balancer on asyncio sockets; the routing policy is `umberworks.rules`."""
