"""The address of a process: several processes share the IP of a machine, each with its own port."""

from __future__ import annotations

from typing import NamedTuple


class Endpoint(NamedTuple):
    """The IP and port that identify a process."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"
