"""Creates the clients' listening socket; it imports little, so that a process can listen early."""

from __future__ import annotations

import socket

BACKLOG = 1024


def listen(address: tuple[str, int], shared: bool) -> socket.socket:
    """A listening socket; `shared`: another process may listen on the same address. Raises OSError."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    return socket.create_server(address, backlog=BACKLOG, family=family, reuse_port=shared)
