"""The data plane of the router fleet: requests from clients to upstreams, with prefill and decode split."""
