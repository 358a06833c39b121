"""A stand-in for the platform's list of upstreams, which answers too often asked, late, or not whole."""

from __future__ import annotations

import asyncio
import enum
import json
from collections.abc import Callable

from mastturn.soak.upstream import Upstream
from mastturn.soak.wire import Reader, Writer, read_head, reset, write

LATE_S = 0.7  # shorter than a call is waited for


class Trouble(enum.Enum):
    """What the list does."""

    NONE = "none"
    BUSY = "busy"  # 429
    LATE = "late"  # the list of some time ago
    CUT = "cut"  # a reset in the middle of the page


class Platform:
    """Answers `GET /upstreams` with one page."""

    def __init__(self, address: str, listed: Callable[[], list[Upstream]]) -> None:
        self.trouble = Trouble.NONE
        self._address, self._listed = address, listed
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen; raises OSError."""
        host, _, port = self._address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), reuse_address=True)

    def stop(self) -> None:
        """End."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        try:
            while await read_head(reader) is not None:
                await self._answer(writer)
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, writer: Writer) -> None:
        page = {"upstreams": [u.entry() for u in self._listed()], "next_cursor": None}
        body = json.dumps(page).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        match self.trouble:
            case Trouble.BUSY:
                await write(writer, b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n")
                return
            case Trouble.CUT:
                await write(writer, head.encode() + body[: len(body) // 2])
                reset(writer)
                return
            case Trouble.LATE:
                await asyncio.sleep(LATE_S)
        await write(writer, head.encode() + body)
