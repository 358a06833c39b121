"""The data plane of the router fleet: forwards requests to upstreams, with prefill and decode split."""
