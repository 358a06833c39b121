"""The address at which the platform asks whether this balancer takes clients."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from screen.settings import Address

MOST = 4096  # bytes of one question
Other = Callable[[bytes, asyncio.Transport], bool]  # answers a question that is none of readiness


class _Asked(asyncio.Protocol):
    """One connection of the platform."""

    def __init__(self, is_ready: Callable[[], bool], other: Other | None) -> None:
        self._is_ready, self._other, self._held = is_ready, other, b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The platform has connected."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's do not derive from it

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
        if len(self._held) > MOST:
            transport.abort()


async def listen(
    address: Address, is_ready: Callable[[], bool], other: Other | None = None
) -> asyncio.Server:
    """Answer `GET /api/readyz` at this address; raises OSError where it can't be bound."""
    return await asyncio.get_running_loop().create_server(lambda: _Asked(is_ready, other), *address)
