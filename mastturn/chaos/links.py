"""TCP proxy between two programs that injects network faults: cuts, delays, throttling, resets, drops."""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
import struct
from collections.abc import Callable
from itertools import count

CHUNK_BYTES = 65_536
CONNECT_S = 5.0
_TXN = re.compile(rb"\r\nx-txn: *([^\r\n]+)\r\n", re.IGNORECASE)
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: a close is a reset

Observer = Callable[..., None]


class Link:
    """A TCP proxy with injected faults; reports requests and answers to `observer`, if given."""

    def __init__(self, name: str, target: str, observer: Observer | None = None) -> None:
        self.name = name
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._observer = observer
        self._server: asyncio.Server | None = None
        self._connections: dict[int, _ProxiedConnection] = {}
        self._connection_numbers = count(1)
        self._gates = {"out": asyncio.Event(), "in": asyncio.Event()}
        for event in self._gates.values():
            event.set()
        self.delay_s = 0.0
        self.bytes_per_s = 0.0  # 0: unlimited
        self.drops_connections = False
        self.address = ""

    async def start(self) -> None:
        """Listen on an ephemeral port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=256)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    # ---- faults ----------------------------------------------------------------------------------

    def cut(self, direction: str) -> None:
        """Hold all data of one direction ("out": from the connecting side) until `heal`."""
        self._gates[direction].clear()

    def heal(self) -> None:
        """End all faults."""
        for event in self._gates.values():
            event.set()
        self.delay_s = self.bytes_per_s = 0.0
        self.drops_connections = False

    def reset(self) -> None:
        """Reset every open connection."""
        for proxied in list(self._connections.values()):
            proxied.reset()

    # ---- forwarding ------------------------------------------------------------------------------

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = next(self._connection_numbers)
        proxied = self._connections[number] = _ProxiedConnection(self, number, reader, writer)
        try:
            if self.drops_connections:
                proxied.reset()
                return
            await proxied.forward()
        except asyncio.CancelledError:
            pass  # reset by a fault
        finally:
            del self._connections[number]
            proxied.close()

    async def wait_to_pass(self, direction: str, size: int) -> None:
        """Wait until `size` bytes may pass in a direction."""
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.bytes_per_s:
            await asyncio.sleep(size / self.bytes_per_s)
        await self._gates[direction].wait()

    def report(self, what: str, number: int, **fields: str) -> None:
        """Report an event of a connection to the observer."""
        if self._observer is not None:
            self._observer(self.name, what, connection=number, **fields)

    @property
    def is_observed(self) -> bool:
        """Whether the link has an observer."""
        return self._observer is not None

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect to the target."""
        async with asyncio.timeout(CONNECT_S):
            return await asyncio.open_connection(*self._target)


class _ProxiedConnection:
    """A proxied connection: the client's side and the target's side."""

    def __init__(
        self, link: Link, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._link, self._number = link, number
        self._client_side = (reader, writer)
        self._target_side: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._pending_txn = ""
        self._task = asyncio.current_task()

    async def forward(self) -> None:
        """Forward both directions until both have ended or one is broken."""
        try:
            await self._link.wait_to_pass("out", 0)  # during a cut, no connection to the target is opened
            self._target_side = await self._link.connect()
        except (OSError, TimeoutError):
            self.reset()
            return
        try:
            async with asyncio.TaskGroup() as directions:
                directions.create_task(self._forward(self._client_side[0], self._target_side[1], "out"))
                directions.create_task(self._forward(self._target_side[0], self._client_side[1], "in"))
        except* OSError:
            self.reset()  # one side was reset: reset the other as well

    async def _forward(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, direction: str
    ) -> None:
        while data := await source.read(CHUNK_BYTES):
            if direction == "out" and self._link.is_observed and (found := _TXN.search(data)):
                self._pending_txn = found[1].decode(errors="replace")
                self._link.report("sent", self._number, txn=self._pending_txn)
            await self._link.wait_to_pass(direction, len(data))
            sink.write(data)
            await sink.drain()
            if direction == "in" and self._pending_txn:
                self._link.report("answered", self._number, txn=self._pending_txn)
                self._pending_txn = ""
        self._report_hang_up()
        await self._link.wait_to_pass(direction, 0)
        with contextlib.suppress(OSError):
            if sink.can_write_eof():
                sink.write_eof()

    def reset(self) -> None:
        """Reset both sides."""
        self._report_hang_up()
        for side in (self._client_side, self._target_side):
            if side is not None:
                raw = side[1].get_extra_info("socket")
                with contextlib.suppress(OSError, ValueError):  # closed already
                    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
                side[1].transport.abort()
        if self._task is not None and self._task is not asyncio.current_task():
            self._task.cancel()

    def _report_hang_up(self) -> None:
        """Report a pending request as hung up: one side has closed before the answer."""
        if self._pending_txn:
            self._link.report("hung up", self._number, txn=self._pending_txn)
            self._pending_txn = ""

    def close(self) -> None:
        """Close both sides."""
        for side in (self._client_side, self._target_side):
            if side is not None:
                side[1].close()
