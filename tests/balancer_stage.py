"""Shared by the data plane's tests: a balancer on loopback ports, and scripted upstreams."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import Any

from balancer.balancer import Balancer
from config.configuration import Backend, ClientLimits, Configuration, Route, Service, Upstream
from config.settings import Bounds, CloudApi, Limits, Listen, Settings
from mastturn.standins.ports import free_port
from tests.loopback import CuttingServer, Reader, ReceivedRequest, Writer, read_request

HOST, PATH = "shop.example", "/run/1"
Handler = Callable[["FakeUpstream", ReceivedRequest, Writer], Awaitable[None]]


def head(got: ReceivedRequest, extra: str = "", status: str = "200 OK", sealed: bool = True) -> str:
    seal = "Mastturn-Server-Seal: s.1\r\n" if sealed else ""
    return f"HTTP/1.1 {status}\r\nMastturn-Request-Id: {got.headers['mastturn-request-id']}\r\n{seal}{extra}"


def chunk(text: str) -> bytes:
    return f"{len(text.encode()):x}\r\n{text}\r\n".encode()


def event(number: int, text: str = "x") -> str:
    return f"id: {number}\ndata: {text}\n\n"


def stream_head(got: ReceivedRequest) -> bytes:
    kind = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head(got, kind).encode()


async def prefill(upstream: FakeUpstream, got: ReceivedRequest, writer: Writer) -> None:
    body = json.dumps({"kv_ref": f"kv-{got.headers['mastturn-request-id']}", "ntokens": 10, "ver": 1})
    extra = f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write((head(got, extra, sealed=False) + body).encode())


async def decode(upstream: FakeUpstream, got: ReceivedRequest, writer: Writer, events: int = 3) -> None:
    after = int(got.headers.get("last-event-id", 0))
    writer.write(stream_head(got))
    for number in range(after + 1, events + 1):
        writer.write(chunk(event(number, upstream.name)))
    writer.write(b"0\r\n\r\n")


async def reject(upstream: FakeUpstream, got: ReceivedRequest, writer: Writer) -> None:
    writer.write(
        (
            head(got, status="503 Full", sealed=False) + "Mastturn-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        ).encode()
    )


async def misplaced(upstream: FakeUpstream, got: ReceivedRequest, writer: Writer) -> None:
    lines = "HTTP/1.1 421 Misdirected Request\r\nMastturn-Upstream-Id: i-9\r\nContent-Length: 0\r\n\r\n"
    writer.write(lines.encode())


def answer(status: str, extra: str = "", body: str = "", sealed: bool = True) -> Handler:
    """Answer with this status, and the id of the request."""

    async def handler(upstream: FakeUpstream, got: ReceivedRequest, writer: Writer) -> None:
        lines = f"{extra}Content-Length: {len(body)}\r\n\r\n{body}"
        writer.write(head(got, lines, status, sealed).encode())

    return handler


def cut_after(events: int, then: str = "", ended: bool = False) -> Handler:
    """Stream this many events and then some bytes, and break off, or end in order if `ended`."""

    async def handler(upstream: FakeUpstream, got: ReceivedRequest, writer: Writer) -> None:
        after = int(got.headers.get("last-event-id", 0))
        writer.write(stream_head(got))
        for number in range(after + 1, after + events + 1):
            writer.write(chunk(event(number, upstream.name)))
        if then:
            writer.write(chunk(then))
        if ended:
            writer.write(b"0\r\n\r\n")
        else:
            await writer.drain()
            writer.close()

    return handler


def when_set(gate: asyncio.Event, handler: Handler) -> Handler:
    """Call the handler once the gate is set."""

    async def waits(upstream: FakeUpstream, got: ReceivedRequest, writer: Writer) -> None:
        await gate.wait()
        await handler(upstream, got, writer)

    return waits


async def whole(upstream: FakeUpstream, got: ReceivedRequest, writer: Writer) -> None:
    writer.write((head(got, f"Content-Length: {len(upstream.name)}\r\n\r\n") + upstream.name).encode())


async def reset(upstream: FakeUpstream, got: ReceivedRequest, writer: Writer) -> None:
    writer.transport.abort()


class FakeUpstream:
    """An upstream that answers each request by the next handler of its script, and then by the last one."""

    def __init__(self, name: str, phase: str = "", *handlers: Handler, zone: str = "a") -> None:
        self.name, self.phase, self.zone = name, phase, zone
        self.handlers = list(handlers) or [prefill if phase == "prefill" else decode if phase else whole]
        self.got: list[ReceivedRequest] = []
        self.freed: list[str] = []
        self.reports: list[str] = []  # target upstream of each load report request
        self.report = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
        self.connections = 0
        self.entry = Upstream(name, "pool", "", zone, phase=phase)

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        addr = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        self.entry = replace(self.entry, addr=addr)

    def stop(self) -> None:
        self._server.close()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        self.connections += 1
        while (got := await read_request(reader)) is not None:
            if got.line.startswith("DELETE /api/kv-handle/"):
                self.freed.append(got.line.split(" ")[1].rsplit("/", 1)[1])
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                continue
            if got.line.startswith("GET /api/report "):
                self.reports.append(got.headers["mastturn-target-upstream"])
                writer.write(self.report)
                continue
            handler = self.handlers.pop(0) if len(self.handlers) > 1 else self.handlers[0]
            self.got.append(got)
            await handler(self, got, writer)
        writer.close()


class UnframedUpstream(FakeUpstream):
    """An upstream whose answers have neither length nor chunks and end with their connection."""

    def __init__(self, name: str, text: str, kind: str = "text/plain", by_reset: bool = False) -> None:
        super().__init__(name)
        fields = f"Content-Type: {kind}\r\n\r\n"
        self._cutting = CuttingServer(lambda got: (head(got, fields) + text).encode(), by_reset)
        self.got = self._cutting.got

    async def start(self) -> None:
        await self._cutting.start()
        self.entry = replace(self.entry, addr=self._cutting.host_port)

    def stop(self) -> None:
        self._cutting.stop()


@dataclass
class Reply:
    """An answer as its client receives it; `whole`: whether it ended in order."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


@dataclass
class BalancerHarness:
    """A balancer under test, with its upstreams."""

    balancer: Balancer
    port: int
    readyz: int
    upstreams: list[FakeUpstream] = field(default_factory=list)

    def list(self, *upstreams: FakeUpstream) -> None:
        self.balancer.list_upstreams(tuple(s.entry for s in upstreams))

    async def ask(self, request_id: str = "r1", method: str = "POST", path: str = PATH, host: str = HOST,
                  headers: str = "", body: bytes = b"b") -> Reply:  # fmt: skip
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nMastturn-Request-Id: {request_id}\r\n{headers}"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            return await read_reply(reader)
        finally:
            writer.close()


async def read_reply(reader: Reader) -> Reply:
    try:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode().strip().split("\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return Reply(0, {}, b"", False)
    headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines[1:])}
    status, body = int(lines[0].split()[1]), b""
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        else:
            while (size := int(await reader.readline(), 16)) > 0:
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return Reply(status, headers, body, False)
    return Reply(status, headers, body, True)


def route(**changes: Any) -> Route:
    return replace(Route("r", HOST, "/run/", 8000.0, "stream", 800.0, 1, "pool", tries=2), **changes)


def configuration(ver: int = 1, *routes: Route, limits: ClientLimits | None = None) -> Configuration:
    service = Service("pool", max_conns=360, backend=Backend(capacity=64))
    return Configuration(ver, routes or (route(),), (service,), limits or ClientLimits())


async def _started(slack: float, grace_s: float) -> tuple[Balancer, int, int]:
    """Start a balancer; return it and its ports."""
    http, readyz = free_port(), free_port()
    settings = Settings(
        "edge-1", "127.0.0.1", "a", "edge", (7000, 7001), CloudApi("127.0.0.1:1"),
        listen=Listen(f"127.0.0.1:{http}", f"127.0.0.1:{readyz}"), limits=Limits(max_fds=1000),
        bounds=Bounds(retry_slack=slack, grace_s=grace_s),
    )  # fmt: skip
    balancer = Balancer(settings, 1)
    await balancer.start()
    return balancer, http, readyz


@asynccontextmanager
async def running_balancer(
    *upstreams: FakeUpstream, config: Configuration | None = None, slack: float = 100.0, grace_s: float = 8.0
) -> AsyncIterator[BalancerHarness]:
    balancer, http, readyz = await _started(slack, grace_s)
    for upstream in upstreams:
        await upstream.start()
    harness = BalancerHarness(balancer, http, readyz, list(upstreams))
    balancer.configure(config or configuration())
    balancer.count_balancers(1)
    harness.list(*upstreams)
    balancer.allow_ready(True)
    try:
        yield harness
    finally:
        await balancer.stop()
        for upstream in upstreams:
            upstream.stop()
