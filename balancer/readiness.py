"""HTTP endpoint for the platform's readiness checks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from config.settings import Address

MAX_REQUEST_BYTES = 4096
MAX_CONNECTIONS = 64  # the platform needs one or two; beyond the limit the oldest connection is closed
RequestHandler = Callable[[bytes, asyncio.Transport], bool]  # answers requests other than readiness checks


class _ReadinessConnection(asyncio.Protocol):
    """One connection to the readiness endpoint."""

    def __init__(
        self,
        is_ready: Callable[[], bool],
        handler: RequestHandler | None,
        connections: dict[_ReadinessConnection, None],
    ) -> None:
        self._is_ready, self._handler, self._held = is_ready, handler, b""
        self._connections = connections  # all open connections, the oldest first
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, and close the oldest one if there are too many."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transports do not derive from it
        self._connections[self] = None
        if len(self._connections) > MAX_CONNECTIONS:
            next(iter(self._connections)).abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection."""
        self._connections.pop(self, None)

    def abort(self) -> None:
        """Close the connection in favour of a newer one."""
        self._connections.pop(self, None)
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Answer each complete request head, without waiting for a body."""
        transport = self._transport
        if transport is None:
            return
        self._held += data
        while b"\r\n\r\n" in self._held:
            head, self._held = self._held.split(b"\r\n\r\n", 1)
            target = head.split(b" ", 2)[1:2]
            if target != [b"/api/readyz"] and self._handler is not None and self._handler(head, transport):
                self._transport, self._held = None, b""  # the handler answers and closes the connection
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
    address: Address, is_ready: Callable[[], bool], handler: RequestHandler | None = None
) -> asyncio.Server:
    """Serve `GET /api/readyz` at this address; raises OSError if it can't be bound."""
    connections: dict[_ReadinessConnection, None] = {}
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: _ReadinessConnection(is_ready, handler, connections), *address)
