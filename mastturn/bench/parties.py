"""Process of agents or watchers for the registry benchmark: `python -m mastturn.bench.parties KIND FILE`.

FILE holds the parameters. Agents print their addresses on standard output; watchers print, once standard
input ends, the times at which each received each marked change, on the system's monotonic clock.
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
READY_TIMEOUT_S = 60.0  # until every watcher has received its first list


class Parameters(msgspec.Struct, frozen=True):
    """Parameters of a process."""

    count: int
    replicas: tuple[str, ...] = ()  # addresses that agents use
    addresses: tuple[str, ...] = ()  # addresses that watchers watch, round robin
    seed: int = 1


class Watcher(asyncio.Protocol):
    """A client that watches the list continuously, at minimal cost."""

    def __init__(self, place: tuple[str, int], received_at: dict[int, list[float]]) -> None:
        self._address, self._received_at = place, received_at
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._message_size = 0
        self.revision = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Request the whole list, or the changes since the last revision received."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's class is not a subclass
        self._buffer.clear()
        self._message_size = 0
        self._send_request()

    def _send_request(self) -> None:
        assert self._transport is not None
        query = b"?after=%b&wait_ms=%d" % (self.revision, WAIT_MS) if self.revision else b""
        self._transport.write(b"GET %b%b HTTP/1.1\r\nHost: list\r\n\r\n" % (PATH.encode(), query))

    def data_received(self, data: bytes) -> None:
        """Process a response or a part of one."""
        self._buffer += data
        if not self._message_size:
            end = self._buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            length = _LENGTH.search(self._buffer, 0, end)
            self._message_size = end + 4 + (int(length[1]) if length else 0)
        if len(self._buffer) >= self._message_size:
            now = time.monotonic()
            if found := _REVISION.search(self._buffer):
                self.revision = found[1]
            for mark in _MARK.finditer(self._buffer):
                self._received_at.setdefault(int(mark[1]), []).append(now)
            del self._buffer[: self._message_size]
            self._message_size = 0
            self._send_request()

    def connection_lost(self, exc: Exception | None) -> None:
        """Reconnect after a random delay."""
        asyncio.get_running_loop().call_later(random.uniform(*RETRY_S), self.connect)

    def connect(self) -> None:
        """Connect, retrying until it succeeds."""
        asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        while True:
            try:
                await asyncio.get_running_loop().create_connection(lambda: self, *self._address)
                return
            except OSError:
                await asyncio.sleep(random.uniform(*RETRY_S))


async def _wait_for_end_of_input() -> None:
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.buffer.read)


async def run_agents(parameters: Parameters) -> None:
    """Run agents, each at its own address, until standard input ends."""
    agents = [
        Agent(Options("127.0.0.1:0", parameters.replicas, seed=parameters.seed * 100_000 + i))
        for i in range(parameters.count)
    ]
    for agent in agents:
        await agent.start()
    print(msgspec.json.encode([agent.place.address for agent in agents]).decode(), flush=True)
    await _wait_for_end_of_input()
    await asyncio.gather(*(agent.stop() for agent in agents))


async def run_watchers(parameters: Parameters) -> None:
    """Run watchers, spread over the addresses, until standard input ends."""
    received_at: dict[int, list[float]] = {}
    watchers = []
    for i in range(parameters.count):
        host, _, port = parameters.addresses[i % len(parameters.addresses)].rpartition(":")
        watchers.append(Watcher((host, int(port)), received_at))
        watchers[-1].connect()
        if i % 50 == 49:
            await asyncio.sleep(0.01)  # avoids a burst of connections before the measurement
    async with asyncio.timeout(READY_TIMEOUT_S):
        while not all(watcher.revision for watcher in watchers):
            await asyncio.sleep(0.02)
    print("ready", flush=True)
    await _wait_for_end_of_input()
    print(
        msgspec.json.encode(
            {str(mark): [round(t, 4) for t in times] for mark, times in received_at.items()}
        ).decode(),
        flush=True,
    )


def main() -> None:
    """Run the agents or watchers until standard input ends."""
    collect_seldom()
    parameters = msgspec.json.decode(Path(sys.argv[2]).read_bytes(), type=Parameters)
    uvloop.run(run_agents(parameters) if sys.argv[1] == "agents" else run_watchers(parameters))


if __name__ == "__main__":
    main()
