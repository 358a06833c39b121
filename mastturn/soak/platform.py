"""Stand-in for the platform's list of upstreams, which may reject calls, respond late, or break off."""

from __future__ import annotations

import asyncio
import enum
import json
from collections.abc import Callable

from mastturn.soak.upstream import Upstream
from mastturn.soak.wire import Reader, Writer, read_head, reset, write

DELAY_S = 0.7  # below the timeout of a call


class ListFault(enum.Enum):
    """A fault of the list."""

    NONE = "none"
    BUSY = "busy"  # 429
    LATE = "late"  # a list that is DELAY_S old
    CUT = "cut"  # a connection reset in the middle of the page


class Platform:
    """Serves `GET /upstreams` with one page."""

    def __init__(self, address: str, listed: Callable[[], list[Upstream]]) -> None:
        self.fault = ListFault.NONE
        self._address, self._listed = address, listed
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening; raises OSError."""
        host, _, port = self._address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), reuse_address=True)

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        try:
            while await read_head(reader) is not None:
                await self._send_list(writer)
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _send_list(self, writer: Writer) -> None:
        page = {"upstreams": [u.entry() for u in self._listed()], "next_cursor": None}
        body = json.dumps(page).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        match self.fault:
            case ListFault.BUSY:
                await write(writer, b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n")
                return
            case ListFault.CUT:
                await write(writer, head.encode() + body[: len(body) // 2])
                reset(writer)
                return
            case ListFault.LATE:
                await asyncio.sleep(DELAY_S)
        await write(writer, head.encode() + body)
