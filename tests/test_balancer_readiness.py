"""Readiness checks: the number of connections is bounded, and the newest are served."""

from __future__ import annotations

import asyncio

from balancer import readiness
from tests.loopback import run


def test_only_so_many_connections_stay_open() -> None:
    async def scene() -> None:
        server = await readiness.listen(("127.0.0.1", 0), lambda: True)
        port = server.sockets[0].getsockname()[1]
        opened = []
        for _ in range(readiness.MAX_CONNECTIONS + 3):
            opened.append(await asyncio.open_connection("127.0.0.1", port))
            opened[-1][1].write(b"GET /api/readyz HTTP/1.1\r\n\r\n")
            assert (await opened[-1][0].readline()).startswith(b"HTTP/1.1 200 ")
        for reader, _ in opened[:3]:  # the oldest were closed
            assert (await reader.read(65536)).count(b"HTTP/1.1") == 0
            assert reader.at_eof()
        reader, writer = opened[3]
        writer.write(b"GET /api/readyz HTTP/1.1\r\n\r\n")
        assert b"200 OK" in (await reader.readuntil(b"200 OK"))
        for _, writer in opened:
            writer.close()
        server.close()

    run(scene())
