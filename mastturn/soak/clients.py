"""Clients of a soak: each keeps its connection until the other side ends it, and behaves in its own way."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import httptools

from mastturn.soak import bodies
from mastturn.soak.records import Ask, End, EndKind, Kind, Records, Style
from mastturn.soak.wire import Reader, Writer

DEADLINE_S = 4.0  # that requests state
PATIENCE_S = 1.5  # beyond it: so long a client waits for an end
THINK_S = 0.08  # the mean between two requests of a client
CONNECT_S = 1.0
READ_BYTES, SLOW_BYTES = 65_536, 700
SLOW_S = 0.02  # between two reads of a slow client
MOST_PIPELINED = 3
PIECE_S = 0.02  # between two pieces of a body
EVENTS = (1, 2, 8, 25)
PROMPT = (200, 3_000)  # tokens
LEAVE_S = (0.0, 0.3)  # after sending
_STYLES = (Style.KEPT,) * 6 + (Style.PIPELINED, Style.SLOW, Style.LEAVES, Style.HALF_CLOSED)


@dataclass(slots=True)
class Answer:
    """One answer as far as it has come."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    has_head: bool = False
    is_whole: bool = False

    @property
    def ends_with_connection(self) -> bool:
        """Whether it has neither length nor chunks."""
        return self.has_head and not {"content-length", "transfer-encoding"} & self.headers.keys()


class Answers:
    """The answers on one connection, parsed by httptools."""

    def __init__(self) -> None:
        self.found: list[Answer] = []
        self.keeps_alive = True
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Bytes, cut anywhere; raises httptools.HttpParserError."""
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        """An answer begins."""
        self.found.append(Answer())

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header."""
        self.found[-1].headers[name.decode("latin-1").lower()] = value.decode("latin-1").strip()

    def on_headers_complete(self) -> None:
        """Its head is there."""
        self.found[-1].status, self.found[-1].has_head = self._parser.get_status_code(), True

    def on_body(self, data: bytes) -> None:
        """A piece of its body."""
        self.found[-1].body += data

    def on_message_complete(self) -> None:
        """It is whole; an interim answer is none."""
        if self.found[-1].status < 200:
            self.found.pop()
            return
        self.found[-1].is_whole = True
        self.keeps_alive = self._parser.should_keep_alive()


class Client:
    """One client; `ready` gives the balancers that new connections go to, as (machine, address)."""

    def __init__(
        self, number: int, seed: int, records: Records, ready: Callable[[], Sequence[tuple[str, str]]]
    ) -> None:
        self._number, self._records, self._ready = number, records, ready
        self._dice = random.Random(f"{seed}/client/{number}")
        self._seed, self._count = seed, 0
        self._style = _STYLES[number % len(_STYLES)]

    async def run(self, stop: asyncio.Event) -> None:
        """Ask until told to stop."""
        while not stop.is_set():
            places = self._ready()
            if not places:
                await asyncio.sleep(THINK_S)
                continue
            machine, address = self._dice.choice(places)
            try:
                async with asyncio.timeout(CONNECT_S):
                    host, _, port = address.rpartition(":")
                    reader, writer = await asyncio.open_connection(host, int(port))
            except (OSError, TimeoutError):
                await asyncio.sleep(THINK_S)
                continue
            try:
                await self._use(machine, reader, writer, stop)
            finally:
                writer.close()
            await self._think()

    async def _use(self, machine: str, reader: Reader, writer: Writer, stop: asyncio.Event) -> None:
        """One request after the other on a connection, until that is of no use any more."""
        answers, is_first = Answers(), True
        while not stop.is_set():
            count = self._dice.randint(1, MOST_PIPELINED) if self._style is Style.PIPELINED else 1
            asks = [self._ask(machine, is_first and n == 0) for n in range(count)]
            self._records.asks += asks
            is_first = False
            answered = len(answers.found)
            pieces = [piece for ask in asks for piece in self._write(ask)]
            sending = asyncio.create_task(self._send(pieces, writer))
            try:
                goes_on = await self._read(asks, answers, answered, reader, writer)
            finally:
                is_sent = sending.done()
                sending.cancel()
            if not goes_on or not is_sent:
                return
            await self._think()

    async def _think(self) -> None:
        await asyncio.sleep(self._dice.expovariate(1 / THINK_S))

    # ---- requests

    def _ask(self, machine: str, is_first: bool) -> Ask:
        self._count += 1
        request = f"{self._seed:04x}{self._number:04x}{self._count:06x}"
        kind, now = self._dice.choice(list(Kind)), time.monotonic()
        return Ask(request, kind, self._style, machine, now, now + DEADLINE_S, is_first)

    async def _send(self, pieces: list[bytes], writer: Writer) -> None:
        """Send requests; with pauses between their pieces, so that an answer may come before a body's end."""
        try:
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(PIECE_S if len(piece) >= bodies.LARGE_PIECE else 0.0)
            if self._style is Style.HALF_CLOSED:
                writer.write_eof()
        except (OSError, RuntimeError):
            pass  # the end of the connection is read

    def _write(self, ask: Ask) -> list[bytes]:
        """A request as it is sent, in pieces."""
        body = bodies.draw(self._dice, ask.request)
        ask.size = body.size
        first, *rest = body.pieces
        return [self._head(ask, body) + first, *rest]

    def _head(self, ask: Ask, body: bodies.Body) -> bytes:
        lines = [
            f"POST /{ask.kind.value}/1 HTTP/1.1",
            "Host: llm.example",
            f"Mastturn-Request-Id: {ask.request}",
            f"Mastturn-Deadline-Ms: {DEADLINE_S * 1000:.0f}",
            body.header,
        ]
        if ask.kind.is_stream:
            tokens, out = self._dice.randint(*PROMPT), self._dice.choice(EVENTS)
            lines += [
                "Mastturn-Model: m",
                f"Mastturn-Token-Count: {tokens},{out}",
                f"Mastturn-Prompt-Prefix: c0ffee:{tokens // 2},{ask.request}:{tokens - tokens // 2}",
            ]
        return "\r\n".join([*lines, "", ""]).encode()

    # ---- answers

    async def _read(
        self, asks: list[Ask], answers: Answers, answered: int, reader: Reader, writer: Writer
    ) -> bool:
        """Read until all have their ends; whether the connection can carry more."""
        if self._style is Style.LEAVES and self._dice.random() < 0.5:
            await asyncio.sleep(self._dice.uniform(*LEAVE_S))
            writer.transport.abort()
            _end_all(asks, EndKind.LEFT)
            return False
        until = max(ask.deadline_at for ask in asks) + PATIENCE_S
        while any(not ask.ends for ask in asks):
            try:
                async with asyncio.timeout(until - time.monotonic()):
                    data = await self._some(reader)
            except TimeoutError:
                _end_all(asks, EndKind.NONE)
                return False
            except ConnectionError:
                self._lost(asks, answers.found[answered:], by_reset=True)
                return False
            if not data:
                self._lost(asks, answers.found[answered:], by_reset=False)
                return False
            try:
                answers.feed(data)
            except httptools.HttpParserError:
                _end_all(asks, EndKind.INVALID)
                return False
            self._take(asks, answers.found[answered:])
        return answers.keeps_alive and self._style is not Style.HALF_CLOSED

    async def _some(self, reader: Reader) -> bytes:
        if self._style is not Style.SLOW:
            return await reader.read(READ_BYTES)
        await asyncio.sleep(SLOW_S)
        return await reader.read(SLOW_BYTES)

    def _take(self, asks: list[Ask], found: list[Answer]) -> None:
        """Give the whole answers to the requests in their order."""
        for ask, answer in zip(asks, found, strict=False):
            if answer.is_whole and not ask.ends:
                ask.ends.append(_end(EndKind.WHOLE, answer))
        if len(found) > len(asks):
            self._records.unasked.append(f"client {self._number}: {bytes(found[-1].body[:80])!r}")

    def _lost(self, asks: list[Ask], found: list[Answer], by_reset: bool) -> None:
        """The connection has ended: by what has come, each request without an end has one now."""
        for number, ask in enumerate(asks):
            if ask.ends:
                continue
            answer = found[number] if number < len(found) else None
            if self._style is Style.HALF_CLOSED and answer is None:
                ask.ends.append(End(EndKind.LEFT, time.monotonic()))
            elif answer is None:
                ask.ends.append(End(EndKind.CLOSED, time.monotonic()))
            elif answer.ends_with_connection and not by_reset:
                ask.ends.append(_end(EndKind.WHOLE, answer))
            else:
                ask.ends.append(_end(EndKind.CUT, answer))


def _end(kind: EndKind, answer: Answer) -> End:
    return End(kind, time.monotonic(), answer.status, dict(answer.headers), bytes(answer.body))


def _end_all(asks: list[Ask], kind: EndKind) -> None:
    for ask in asks:
        if not ask.ends:
            ask.ends.append(End(kind, time.monotonic()))


async def play(clients: Sequence[Client], stop: asyncio.Event) -> None:
    """Run all clients until told to stop; each sees its open requests to their ends."""
    tasks = [asyncio.create_task(client.run(stop)) for client in clients]
    try:
        await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)
