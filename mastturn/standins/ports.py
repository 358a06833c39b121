"""Ports for servers that are started later: held until then, so that nobody else gets them."""

from __future__ import annotations

import socket

LOOPBACK = "127.0.0.1"

# A socket that is bound and does not listen keeps the kernel from giving its port to others, and lets a
# server of ours listen there, as both allow the address to be used again. Held for the life of the process.
_HELD: list[socket.socket] = []


def free_port(ip: str = LOOPBACK) -> int:
    """A port at `ip` that is held for whoever listens there with SO_REUSEADDR, as asyncio's servers do."""
    holder = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((ip, 0))
    _HELD.append(holder)
    return int(holder.getsockname()[1])
