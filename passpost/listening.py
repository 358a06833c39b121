"""The socket at which clients' connections come in; it loads little, so that a process may listen early."""

from __future__ import annotations

import socket

BACKLOG = 1024


def listen(address: tuple[str, int], shared: bool) -> socket.socket:
    """A listening socket; `shared`: another process may listen there too. Raises OSError."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    return socket.create_server(address, backlog=BACKLOG, family=family, reuse_port=shared)
