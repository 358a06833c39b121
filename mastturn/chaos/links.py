"""A link between two programs: a relay of ours that can cut, hold, slow, reset and drop."""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
import struct
from collections.abc import Callable
from itertools import count

CHUNK = 65_536
CONNECT_S = 5.0
_TXN = re.compile(rb"\r\nx-txn: *([^\r\n]+)\r\n", re.IGNORECASE)
_HARD = struct.pack("ii", 1, 0)  # SO_LINGER: a close is a reset

Heard = Callable[..., None]


class Link:
    """Listens, and passes on what comes, as its faults allow. `heard` takes what a spying link sees."""

    def __init__(self, name: str, target: str, heard: Heard | None = None) -> None:
        self.name = name
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._heard = heard
        self._server: asyncio.Server | None = None
        self._pairs: dict[int, _Pair] = {}
        self._numbers = count(1)
        self._passes = {"out": asyncio.Event(), "in": asyncio.Event()}
        for event in self._passes.values():
            event.set()
        self.delay_s = 0.0
        self.bytes_per_s = 0.0  # 0: as fast as it goes
        self.drops = False
        self.address = ""

    async def start(self) -> None:
        """Listen on a port from the system."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=256)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """End it with all that it carries."""
        if self._server is not None:
            self._server.close()
        self.reset()

    # ---- faults ----------------------------------------------------------------------------------

    def cut(self, way: str) -> None:
        """Nothing passes that way any more ("out": from whoever connects); what comes is held."""
        self._passes[way].clear()

    def heal(self) -> None:
        """All faults are over."""
        for event in self._passes.values():
            event.set()
        self.delay_s = self.bytes_per_s = 0.0
        self.drops = False

    def reset(self) -> None:
        """Reset every open connection."""
        for pair in list(self._pairs.values()):
            pair.reset()

    # ---- passing on ------------------------------------------------------------------------------

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = next(self._numbers)
        pair = self._pairs[number] = _Pair(self, number, reader, writer)
        try:
            if self.drops:
                pair.reset()
                return
            await pair.carry()
        except asyncio.CancelledError:
            pass  # reset by a fault
        finally:
            del self._pairs[number]
            pair.close()

    async def passes(self, way: str, size: int) -> None:
        """Wait until so many bytes may pass."""
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.bytes_per_s:
            await asyncio.sleep(size / self.bytes_per_s)
        await self._passes[way].wait()

    def spy(self, what: str, number: int, **more: str) -> None:
        """Tell what a connection has carried."""
        if self._heard is not None:
            self._heard(self.name, what, connection=number, **more)

    @property
    def is_spied(self) -> bool:
        """Whether anybody wants to know what passes."""
        return self._heard is not None

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """The other end."""
        async with asyncio.timeout(CONNECT_S):
            return await asyncio.open_connection(*self._target)


class _Pair:
    """One connection and its other half."""

    def __init__(
        self, link: Link, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._link, self._number = link, number
        self._near = (reader, writer)
        self._far: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._waits_for = ""
        self._task = asyncio.current_task()

    async def carry(self) -> None:
        """Pass on both ways until both have ended, or one is broken."""
        try:
            await self._link.passes("out", 0)  # in a cut, a connection never comes up on the other side
            self._far = await self._link.connect()
        except (OSError, TimeoutError):
            self.reset()
            return
        try:
            async with asyncio.TaskGroup() as both:
                both.create_task(self._pass_on(self._near[0], self._far[1], "out"))
                both.create_task(self._pass_on(self._far[0], self._near[1], "in"))
        except* OSError:
            self.reset()  # one end has reset it: the other finds the same

    async def _pass_on(self, source: asyncio.StreamReader, to: asyncio.StreamWriter, way: str) -> None:
        while data := await source.read(CHUNK):
            if way == "out" and self._link.is_spied and (found := _TXN.search(data)):
                self._waits_for = found[1].decode(errors="replace")
                self._link.spy("sent", self._number, txn=self._waits_for)
            await self._link.passes(way, len(data))
            to.write(data)
            await to.drain()
            if way == "in" and self._waits_for:
                self._link.spy("answered", self._number, txn=self._waits_for)
                self._waits_for = ""
        self._given_up()
        await self._link.passes(way, 0)
        with contextlib.suppress(OSError):
            if to.can_write_eof():
                to.write_eof()

    def reset(self) -> None:
        """Both ends find their connection reset."""
        self._given_up()
        for half in (self._near, self._far):
            if half is not None:
                raw = half[1].get_extra_info("socket")
                with contextlib.suppress(OSError, ValueError):  # closed already
                    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _HARD)
                half[1].transport.abort()
        if self._task is not None and self._task is not asyncio.current_task():
            self._task.cancel()

    def _given_up(self) -> None:
        """Whoever waits for an answer here waits no longer: either end has gone."""
        if self._waits_for:
            self._link.spy("hung up", self._number, txn=self._waits_for)
            self._waits_for = ""

    def close(self) -> None:
        """Let go of both ends."""
        for half in (self._near, self._far):
            if half is not None:
                half[1].close()
