"""A process full of agents, or of watchers, for the bench: `python -m mastturn.bench.parties KIND FILE`.

The file says what to hold; what it holds is told on standard output: agents their addresses, watchers, when
standard input ends, the moments at which each was told each mark, on the system's monotonic clock.
"""

from __future__ import annotations

import asyncio
import random
import re
import sys
import time
from pathlib import Path
from typing import cast

import msgspec
import uvloop

from mastturn.registry.agent import Agent, Options
from mastturn.registry.form import PATH
from mastturn.registry.http import collect_seldom

_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
_REVISION = re.compile(rb'"revision":(\d+)')
_MARK = re.compile(rb'"flavor":"mark-(\d+)"')
WAIT_MS = 30_000
RETRY_S = (0.1, 1.0)
READY_S = 60.0  # until every watcher has had its first list


class Held(msgspec.Struct, frozen=True):
    """What a process holds."""

    count: int
    replicas: tuple[str, ...] = ()  # of agents
    addresses: tuple[str, ...] = ()  # that watchers watch, in turn
    seed: int = 1


class Watcher(asyncio.Protocol):
    """One reader that watches for good, with as little of its own as can be."""

    def __init__(self, place: tuple[str, int], heard: dict[int, list[float]]) -> None:
        self._place, self._heard = place, heard
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._need = 0
        self.revision = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin with the whole list, and go on from what was told last."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        self._buffer.clear()
        self._need = 0
        self._ask()

    def _ask(self) -> None:
        assert self._transport is not None
        words = b"?after=%b&wait_ms=%d" % (self.revision, WAIT_MS) if self.revision else b""
        self._transport.write(b"GET %b%b HTTP/1.1\r\nHost: list\r\n\r\n" % (PATH.encode(), words))

    def data_received(self, data: bytes) -> None:
        """An answer, or a part of one."""
        self._buffer += data
        if not self._need:
            end = self._buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            length = _LENGTH.search(self._buffer, 0, end)
            self._need = end + 4 + (int(length[1]) if length else 0)
        if len(self._buffer) >= self._need:
            now = time.monotonic()
            if found := _REVISION.search(self._buffer):
                self.revision = found[1]
            for mark in _MARK.finditer(self._buffer):
                self._heard.setdefault(int(mark[1]), []).append(now)
            del self._buffer[: self._need]
            self._need = 0
            self._ask()

    def connection_lost(self, exc: Exception | None) -> None:
        """Come back a little later."""
        asyncio.get_running_loop().call_later(random.uniform(*RETRY_S), self.connect)

    def connect(self) -> None:
        """Open a connection, for as long as it takes."""
        asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        while True:
            try:
                await asyncio.get_running_loop().create_connection(lambda: self, *self._place)
                return
            except OSError:
                await asyncio.sleep(random.uniform(*RETRY_S))


async def _until_input_ends() -> None:
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.buffer.read)


async def hold_agents(held: Held) -> None:
    """Agents, each at an address of its own."""
    agents = [
        Agent(Options("127.0.0.1:0", held.replicas, seed=held.seed * 100_000 + i)) for i in range(held.count)
    ]
    for agent in agents:
        await agent.start()
    print(msgspec.json.encode([agent.place.address for agent in agents]).decode(), flush=True)
    await _until_input_ends()
    await asyncio.gather(*(agent.stop() for agent in agents))


async def hold_watchers(held: Held) -> None:
    """Watchers, spread over the addresses."""
    heard: dict[int, list[float]] = {}
    watchers = []
    for i in range(held.count):
        host, _, port = held.addresses[i % len(held.addresses)].rpartition(":")
        watchers.append(Watcher((host, int(port)), heard))
        watchers[-1].connect()
        if i % 50 == 49:
            await asyncio.sleep(0.01)  # no storm before the measure
    async with asyncio.timeout(READY_S):
        while not all(watcher.revision for watcher in watchers):
            await asyncio.sleep(0.02)
    print("ready", flush=True)
    await _until_input_ends()
    print(
        msgspec.json.encode(
            {str(mark): [round(t, 4) for t in times] for mark, times in heard.items()}
        ).decode(),
        flush=True,
    )


def main() -> None:
    """Hold what the file says until standard input ends."""
    collect_seldom()
    held = msgspec.json.decode(Path(sys.argv[2]).read_bytes(), type=Held)
    uvloop.run(hold_agents(held) if sys.argv[1] == "agents" else hold_watchers(held))


if __name__ == "__main__":
    main()
