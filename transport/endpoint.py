"""Where a process of the system listens for the others: several share the IP of a machine."""

from __future__ import annotations

from typing import NamedTuple


class Endpoint(NamedTuple):
    """The IP and the port by which one process is told from all others."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"
