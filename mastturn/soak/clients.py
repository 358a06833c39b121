"""Clients of a soak: each reuses its connection until the balancer closes it, with a behavior of its own."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import httptools

from mastturn.soak import bodies
from mastturn.soak.records import ClientBehavior, ClientRequest, EndKind, Records, RequestEnd, RequestKind
from mastturn.soak.wire import Reader, Writer

DEADLINE_S = 4.0  # sent with each request
RESPONSE_MARGIN_S = 1.5  # how long a client waits beyond it
REQUEST_GAP_S = 0.08  # mean time between two requests of a client
CONNECT_S = 1.0
READ_BYTES, SLOW_BYTES = 65_536, 700
SLOW_S = 0.02  # between two reads of a slow client
MAX_PIPELINED = 3
PIECE_S = 0.02  # between two pieces of a body
EVENTS = (1, 2, 8, 25)
PROMPT = (200, 3_000)  # tokens
LEAVE_S = (0.0, 0.3)  # delay after sending
_BEHAVIORS = (ClientBehavior.KEPT,) * 6 + (
    ClientBehavior.PIPELINED,
    ClientBehavior.SLOW,
    ClientBehavior.LEAVES,
    ClientBehavior.HALF_CLOSED,
)


@dataclass(slots=True)
class ClientResponse:
    """One response as far as it has been received."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    has_head: bool = False
    is_complete: bool = False

    @property
    def ends_with_connection(self) -> bool:
        """Whether it has neither a length nor chunks."""
        return self.has_head and not {"content-length", "transfer-encoding"} & self.headers.keys()


class ResponseParser:
    """Parses the responses of one connection with httptools."""

    def __init__(self) -> None:
        self.responses: list[ClientResponse] = []
        self.keeps_alive = True
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse received bytes; raises httptools.HttpParserError."""
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Begin a response."""
        self.responses.append(ClientResponse())

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self.responses[-1].headers[name.decode("latin-1").lower()] = value.decode("latin-1").strip()

    def on_headers_complete(self) -> None:
        """Set the status."""
        self.responses[-1].status, self.responses[-1].has_head = self._parser.get_status_code(), True

    def on_body(self, data: bytes) -> None:
        """Add a piece of the body."""
        self.responses[-1].body += data

    def on_message_complete(self) -> None:
        """Complete the response; interim (1xx) responses are dropped."""
        if self.responses[-1].status < 200:
            self.responses.pop()
            return
        self.responses[-1].is_complete = True
        self.keeps_alive = self._parser.should_keep_alive()


class Client:
    """One client; `ready` returns the balancers that accept new connections, as (machine, address)."""

    def __init__(
        self, number: int, seed: int, records: Records, ready: Callable[[], Sequence[tuple[str, str]]]
    ) -> None:
        self._number, self._records, self._ready = number, records, ready
        self._rng = random.Random(f"{seed}/client/{number}")
        self._seed, self._count = seed, 0
        self._behavior = _BEHAVIORS[number % len(_BEHAVIORS)]

    async def run(self, stop: asyncio.Event) -> None:
        """Send requests until `stop` is set."""
        while not stop.is_set():
            balancers = self._ready()
            if not balancers:
                await asyncio.sleep(REQUEST_GAP_S)
                continue
            machine, address = self._rng.choice(balancers)
            try:
                async with asyncio.timeout(CONNECT_S):
                    host, _, port = address.rpartition(":")
                    reader, writer = await asyncio.open_connection(host, int(port))
            except (OSError, TimeoutError):
                await asyncio.sleep(REQUEST_GAP_S)
                continue
            try:
                await self._use_connection(machine, reader, writer, stop)
            finally:
                writer.close()
            await self._wait()

    async def _use_connection(
        self, machine: str, reader: Reader, writer: Writer, stop: asyncio.Event
    ) -> None:
        """Send requests on a connection until it can no longer be used."""
        parser, is_first = ResponseParser(), True
        while not stop.is_set():
            count = self._rng.randint(1, MAX_PIPELINED) if self._behavior is ClientBehavior.PIPELINED else 1
            requests = [self._new_request(machine, is_first and n == 0) for n in range(count)]
            self._records.requests += requests
            is_first = False
            response_count = len(parser.responses)
            pieces = [piece for client_request in requests for piece in self._encode(client_request)]
            sending = asyncio.create_task(self._send(pieces, writer))
            try:
                is_reusable = await self._read(requests, parser, response_count, reader, writer)
            finally:
                is_sent = sending.done()
                sending.cancel()
            if not is_reusable or not is_sent:
                return
            await self._wait()

    async def _wait(self) -> None:
        await asyncio.sleep(self._rng.expovariate(1 / REQUEST_GAP_S))

    # ---- requests

    def _new_request(self, machine: str, is_first: bool) -> ClientRequest:
        self._count += 1
        request_id = f"{self._seed:04x}{self._number:04x}{self._count:06x}"
        kind, now = self._rng.choice(list(RequestKind)), time.monotonic()
        return ClientRequest(request_id, kind, self._behavior, machine, now, now + DEADLINE_S, is_first)

    async def _send(self, pieces: list[bytes], writer: Writer) -> None:
        """Send pieces of requests; the pauses let a response arrive before a body is complete."""
        try:
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(PIECE_S if len(piece) >= bodies.LARGE_PIECE else 0.0)
            if self._behavior is ClientBehavior.HALF_CLOSED:
                writer.write_eof()
        except (OSError, RuntimeError):
            pass  # the reader observes the end of the connection

    def _encode(self, client_request: ClientRequest) -> list[bytes]:
        """Return the bytes of a request, in the pieces in which they are sent."""
        body = bodies.draw(self._rng, client_request.request_id)
        client_request.size = body.size
        first, *rest = body.pieces
        return [self._head(client_request, body) + first, *rest]

    def _head(self, client_request: ClientRequest, body: bodies.Body) -> bytes:
        header_lines = [
            f"POST /{client_request.kind.value}/1 HTTP/1.1",
            "Host: llm.example",
            f"Mastturn-Request-Id: {client_request.request_id}",
            f"Mastturn-Deadline-Ms: {DEADLINE_S * 1000:.0f}",
            body.header,
        ]
        if client_request.kind.is_stream:
            tokens, out = self._rng.randint(*PROMPT), self._rng.choice(EVENTS)
            header_lines += [
                "Mastturn-Model: m",
                f"Mastturn-Token-Count: {tokens},{out}",
                f"Mastturn-Prompt-Prefix: c0ffee:{tokens // 2},"
                f"{client_request.request_id}:{tokens - tokens // 2}",
            ]
        return "\r\n".join([*header_lines, "", ""]).encode()

    # ---- responses

    async def _read(
        self,
        requests: list[ClientRequest],
        parser: ResponseParser,
        response_count: int,
        reader: Reader,
        writer: Writer,
    ) -> bool:
        """Read until every request has ended; return whether the connection can carry more."""
        if self._behavior is ClientBehavior.LEAVES and self._rng.random() < 0.5:
            await asyncio.sleep(self._rng.uniform(*LEAVE_S))
            writer.transport.abort()
            _end_all(requests, EndKind.LEFT)
            return False
        give_up_at = max(client_request.deadline_at for client_request in requests) + RESPONSE_MARGIN_S
        while any(not client_request.ends for client_request in requests):
            try:
                async with asyncio.timeout(give_up_at - time.monotonic()):
                    data = await self._read_chunk(reader)
            except TimeoutError:
                _end_all(requests, EndKind.NONE)
                return False
            except ConnectionError:
                self._on_connection_end(requests, parser.responses[response_count:], by_reset=True)
                return False
            if not data:
                self._on_connection_end(requests, parser.responses[response_count:], by_reset=False)
                return False
            try:
                parser.feed(data)
            except httptools.HttpParserError:
                _end_all(requests, EndKind.INVALID)
                return False
            self._assign(requests, parser.responses[response_count:])
        return parser.keeps_alive and self._behavior is not ClientBehavior.HALF_CLOSED

    async def _read_chunk(self, reader: Reader) -> bytes:
        if self._behavior is not ClientBehavior.SLOW:
            return await reader.read(READ_BYTES)
        await asyncio.sleep(SLOW_S)
        return await reader.read(SLOW_BYTES)

    def _assign(self, requests: list[ClientRequest], responses: list[ClientResponse]) -> None:
        """Assign the complete responses to the requests, in order."""
        for client_request, response in zip(requests, responses, strict=False):
            if response.is_complete and not client_request.ends:
                client_request.ends.append(_end_with_response(EndKind.COMPLETE, response))
        if len(responses) > len(requests):
            self._records.unsolicited.append(f"client {self._number}: {bytes(responses[-1].body[:80])!r}")

    def _on_connection_end(
        self, requests: list[ClientRequest], responses: list[ClientResponse], by_reset: bool
    ) -> None:
        """Record how each pending request ended, after the connection was closed or reset."""
        for number, client_request in enumerate(requests):
            if client_request.ends:
                continue
            response = responses[number] if number < len(responses) else None
            if self._behavior is ClientBehavior.HALF_CLOSED and response is None:
                client_request.ends.append(RequestEnd(EndKind.LEFT, time.monotonic()))
            elif response is None:
                client_request.ends.append(RequestEnd(EndKind.CLOSED, time.monotonic()))
            elif response.ends_with_connection and not by_reset:
                client_request.ends.append(_end_with_response(EndKind.COMPLETE, response))
            else:
                client_request.ends.append(_end_with_response(EndKind.CUT, response))


def _end_with_response(kind: EndKind, response: ClientResponse) -> RequestEnd:
    return RequestEnd(kind, time.monotonic(), response.status, dict(response.headers), bytes(response.body))


def _end_all(requests: list[ClientRequest], kind: EndKind) -> None:
    for client_request in requests:
        if not client_request.ends:
            client_request.ends.append(RequestEnd(kind, time.monotonic()))


async def run_all(clients: Sequence[Client], stop: asyncio.Event) -> None:
    """Run all clients until `stop` is set; each waits for its pending requests."""
    tasks = [asyncio.create_task(client.run(stop)) for client in clients]
    try:
        await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)
