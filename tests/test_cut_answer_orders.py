"""Cut responses, in each order in which head, body, FIN and reset can arrive.

Guards against a client that reads a cut response as complete, whatever the framing on either side. The one
exception: a response without length and chunks, cut by a FIN of a live upstream, looks complete.
"""

from __future__ import annotations

import asyncio
import itertools
import socket
import struct
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass, replace
from typing import Any

import pytest

from tests.balancer_stage import (
    HOST,
    PATH,
    FakeUpstream,
    chunk,
    configuration,
    event,
    head,
    route,
    running_balancer,
)
from tests.loopback import OK, Reader, ReceivedRequest, read_request, run

UNSAFE = configuration(1, route(route_type="unsafe", tries=1))
LINGER = struct.pack("ii", 1, 0)
LONG = 70_000  # bytes: too long to buffer, so that it is streamed
PATIENCE_S = 5.0
ORDERS = [
    (*answer, *ends)
    for answer, ends in itertools.product(
        (("head",), ("head", "body")), (("reset",), ("FIN",), ("FIN", "reset"))
    )
]
TURNS = (0, 1, 3)  # turns of the event loop between two steps


@dataclass(frozen=True)
class Cut:
    """How a response is cut; with `turns` 0 the balancer receives everything at once."""

    framing: str
    body: str
    is_stream: bool
    order: tuple[str, ...]
    turns: int

    def is_detectable(self) -> bool:
        """Whether anything shows the cut, apart from a reset that may arrive too late to be seen."""
        return (
            self.framing != "close" or "FIN" not in self.order or (self.turns == 0 and "reset" in self.order)
        )


class OrderedUpstream(FakeUpstream):
    """An upstream that cuts each response as `cut` says."""

    def __init__(self) -> None:
        super().__init__("u1")
        self.cut = Cut("length", "", False, (), 0)
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setblocking(False)
        self.entry = replace(self.entry, addr=f"127.0.0.1:{self._listener.getsockname()[1]}")
        self._begin(self._accept())

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._listener.close()

    def _begin(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept(self) -> None:
        while True:
            peer, _ = await asyncio.get_running_loop().sock_accept(self._listener)
            self._begin(self._answer(peer))

    async def _answer(self, peer: socket.socket) -> None:
        with peer:
            got = await _read(peer)
            if got is None:
                return
            if got.line.startswith("GET /api/report "):
                peer.sendall(OK)
                return
            self.got.append(got)
            for step in self.cut.order:
                for _ in range(self.cut.turns):
                    await asyncio.sleep(0)
                await self._perform(step, peer, got)
            if "reset" not in self.cut.order:
                await asyncio.get_running_loop().sock_recv(peer, 1)  # until the balancer closes

    async def _perform(self, step: str, peer: socket.socket, got: ReceivedRequest) -> None:
        loop = asyncio.get_running_loop()
        match step:
            case "head":
                await loop.sock_sendall(peer, self._head(got))
            case "body":
                body = self.cut.body
                await loop.sock_sendall(peer, chunk(body) if self.cut.framing == "chunks" else body.encode())
            case "FIN":
                peer.shutdown(socket.SHUT_WR)
            case "reset":
                peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
                peer.close()

    def _head(self, got: ReceivedRequest) -> bytes:
        kind = "Content-Type: text/event-stream\r\n" if self.cut.is_stream else ""
        framing = {
            "length": f"Content-Length: {2 * len(self.cut.body)}\r\n",
            "chunks": "Transfer-Encoding: chunked\r\n",
            "close": "",
        }[self.cut.framing]
        return (head(got, kind + framing) + "\r\n").encode()


async def _read(peer: socket.socket) -> ReceivedRequest | None:
    loop, reader = asyncio.get_running_loop(), Reader()
    reading = loop.create_task(read_request(reader))
    while not reading.done():
        data = await loop.sock_recv(peer, 65536)
        if data:
            reader.feed_data(data)
        else:
            reader.feed_eof()
        await asyncio.sleep(0)
    return reading.result()


@dataclass(frozen=True)
class RawClient:
    """A client on a plain socket: an event loop may take a reset for an end of file."""

    version: str = "1.1"
    closes: bool = False
    pipelined: int = 0  # requests pipelined after the first

    async def is_served(self, port: int) -> bool:
        """Whether it reads a complete 200 response."""
        loop = asyncio.get_running_loop()
        with socket.socket() as peer:
            peer.setblocking(False)
            await loop.sock_connect(peer, ("127.0.0.1", port))
            await loop.sock_sendall(peer, b"".join(self._request(n) for n in range(1 + self.pipelined)))
            data, ended = b"", False
            try:
                async with asyncio.timeout(PATIENCE_S):
                    while not ended and not is_complete(data, ended):
                        more = await loop.sock_recv(peer, 65536)
                        data, ended = data + more, not more
            except ConnectionError:
                ended = False
            return data.startswith(b"HTTP/1.1 200") and is_complete(data, ended)

    def _request(self, number: int) -> bytes:
        closes = "Connection: close\r\n" if self.closes else ""
        return (
            f"POST {PATH} HTTP/{self.version}\r\nHost: {HOST}\r\nMastturn-Request-Id: r{number}\r\n"
            f"{closes}Content-Length: 1\r\n\r\nb"
        ).encode()


def is_complete(data: bytes, ended: bool) -> bool:
    """Whether a response is complete by its framing; `ended`: its connection was closed in order."""
    lines, has_head, body = data.partition(b"\r\n\r\n")
    if not has_head:
        return False
    fields = dict(line.lower().split(b": ", 1) for line in lines.split(b"\r\n")[1:])
    if b"content-length" in fields:
        return len(body) >= int(fields[b"content-length"])
    if b"transfer-encoding" in fields:
        return body.endswith(b"0\r\n\r\n")
    return ended


def cuts(framing: str, body: str, is_stream: bool) -> Iterator[Cut]:
    for order, turns in itertools.product(ORDERS, TURNS):
        yield Cut(framing, body, is_stream, order, turns)


CLIENTS = {
    "kept": RawClient(),
    "closing": RawClient(closes=True),
    "1.0": RawClient(version="1.0"),
    "pipelining": RawClient(pipelined=1),
}
ANSWERS: dict[str, Callable[[str], Iterator[Cut]]] = {
    "short": lambda framing: cuts(framing, "part", False),
    "long": lambda framing: cuts(framing, "p" * LONG, False),
    "stream": lambda framing: cuts(framing, event(1) + event(2), True),
}


@pytest.mark.parametrize("client", CLIENTS.values(), ids=list(CLIENTS))
@pytest.mark.parametrize("answers", ANSWERS.values(), ids=list(ANSWERS))
@pytest.mark.parametrize("framing", ["length", "chunks", "close"])
def test_a_cut_answer_never_looks_complete(
    framing: str, answers: Callable[[str], Iterator[Cut]], client: RawClient
) -> None:
    async def test() -> None:
        upstream = OrderedUpstream()
        async with running_balancer(upstream, config=UNSAFE) as play:
            for cut in answers(framing):
                upstream.cut, previous_count = cut, len(upstream.got)
                is_served = await client.is_served(play.port)
                assert len(upstream.got) > previous_count
                assert not (is_served and cut.is_detectable()), cut

    run(test())
