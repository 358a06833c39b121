"""The address at which the platform asks whether this balancer takes clients."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from config.settings import Address

MAX_REQUEST_BYTES = 4096  # bytes of one question
MAX_CONNECTIONS = 64  # connections at once: the platform needs one or two; beyond that the oldest goes
Other = Callable[[bytes, asyncio.Transport], bool]  # answers a question that is none of readiness


class _ReadinessConnection(asyncio.Protocol):
    """One connection of the platform."""

    def __init__(
        self, is_ready: Callable[[], bool], other: Other | None, opened: dict[_ReadinessConnection, None]
    ) -> None:
        self._is_ready, self._other, self._held = is_ready, other, b""
        self._opened = opened  # all connections, the oldest first
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The platform has connected."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's do not derive from it
        self._opened[self] = None
        if len(self._opened) > MAX_CONNECTIONS:
            next(iter(self._opened)).give_way()

    def connection_lost(self, exc: Exception | None) -> None:
        """It is over."""
        self._opened.pop(self, None)

    def give_way(self) -> None:
        """Make room for another."""
        self._opened.pop(self, None)
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Answer each whole question; its body, if it has one, is not waited for."""
        transport = self._transport
        if transport is None:
            return
        self._held += data
        while b"\r\n\r\n" in self._held:
            head, self._held = self._held.split(b"\r\n\r\n", 1)
            target = head.split(b" ", 2)[1:2]
            if target != [b"/api/readyz"] and self._other is not None and self._other(head, transport):
                self._transport, self._held = None, b""  # it answers, and ends the connection
                return
            if target != [b"/api/readyz"]:
                status = b"404 Not Found"
            else:
                status = b"200 OK" if self._is_ready() else b"503 Service Unavailable"
            last = b"connection: close" in head.lower() or b" HTTP/1.0" in head
            end = b"Connection: close\r\n" if last else b""
            transport.write(b"HTTP/1.1 %b\r\nContent-Length: 0\r\n%b\r\n" % (status, end))
            if last:
                transport.close()
                return
        if len(self._held) > MAX_REQUEST_BYTES:
            transport.abort()


async def listen(
    address: Address, is_ready: Callable[[], bool], other: Other | None = None
) -> asyncio.Server:
    """Answer `GET /api/readyz` at this address; raises OSError where it can't be bound."""
    opened: dict[_ReadinessConnection, None] = {}
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: _ReadinessConnection(is_ready, other, opened), *address)
