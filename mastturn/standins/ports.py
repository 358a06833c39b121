"""Reserves ports for servers that are started later."""

from __future__ import annotations

import socket

LOOPBACK = "127.0.0.1"

# A bound socket that does not listen keeps the kernel from assigning its port to others, and lets a server of
# ours listen there, as both set SO_REUSEADDR. The sockets are held for the life of the process.
_RESERVED_SOCKETS: list[socket.socket] = []


def free_port(ip: str = LOOPBACK) -> int:
    """Reserve and return a port at `ip` for a server that sets SO_REUSEADDR, as asyncio's servers do."""
    holder = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((ip, 0))
    _RESERVED_SOCKETS.append(holder)
    return int(holder.getsockname()[1])
