"""Calls of operators and platforms, HTTP/1.1: each call is declared beside its handler."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, cast

import httptools
from loguru import logger

from passpost.http1 import MAX_HEAD, Address

REASONS = {
    200: "OK",
    307: "Temporary Redirect",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    412: "Precondition Failed",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
MAX_BODY_BYTES = 4 * 1024 * 1024  # a quarter of what a frame and a record of the disk hold
HEAD_S = 5.0  # a call has to be whole so long after its first byte
IDLE_S = 60.0  # a connection with nothing under way is ended after this
MOST_SHOWN = 80  # of a path, in the log
MOST_WAITING = 16  # calls of one connection that wait for their turn, until we read no further


@dataclass(frozen=True, slots=True)
class Request:
    """One whole call."""

    method: str
    path: str
    headers: dict[str, str]  # names in lower case
    body: bytes

    @property
    def name(self) -> str:
        """What stands behind the last slash of the path."""
        return self.path.rpartition("/")[2]


@dataclass(frozen=True, slots=True)
class Response:
    """Its answer."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    content_type: str = "application/json"


def json_response(status: int, error: str = "", **headers: str) -> Response:
    """An answer in a few words."""
    body = json.dumps({"error": error} if error else {"ok": status < 300}).encode()
    return Response(status, body, {k.replace("_", "-"): v for k, v in headers.items()})


Handler = Callable[[Any, Request], Awaitable[Response]]


class Routes:
    """The calls that a program answers, each declared beside its handler."""

    def __init__(self) -> None:
        self._handlers: dict[tuple[str, str], Handler] = {}
        self._named: dict[tuple[str, str], Handler] = {}  # by method and what the path begins with

    def route(self, method: str, path: str) -> Callable[[Handler], Handler]:
        """Declare the handler of a call."""

        def take(handler: Handler) -> Handler:
            self._handlers[method, path] = handler
            return handler

        return take

    def route_prefix(self, method: str, start: str) -> Callable[[Handler], Handler]:
        """Declare the handler of calls whose path is `start`, which ends with a slash, and a name."""

        def take(handler: Handler) -> Handler:
            self._named[method, start] = handler
            return handler

        return take

    def include(self, other: Routes) -> Routes:
        """Answer the other's calls too, as they are declared by now."""
        self._handlers |= other._handlers
        self._named |= other._named
        return self

    def _find(self, method: str, path: str) -> Handler | None:
        start, _, name = path.rpartition("/")
        named = self._named.get((method, f"{start}/")) if name else None
        return self._handlers.get((method, path)) or named

    def _is_known(self, path: str) -> bool:
        """Whether there is a call of this path by some method."""
        start, _, name = path.rpartition("/")
        known = any(at == path for _, at in self._handlers)
        return known or (bool(name) and any(at == f"{start}/" for _, at in self._named))

    async def answer(self, owner: object, call: Request) -> Response:
        """The answer to a call; a handler's fault costs that call alone."""
        handler = self._find(call.method, call.path)
        if handler is None:
            known = self._is_known(call.path)
            logger.info("event=call_unknown method={} path={!r}", call.method, call.path[:MOST_SHOWN])
            return json_response(405 if known else 404, "no such call")
        try:
            return await handler(owner, call)
        except Exception:
            logger.exception("event=call_failed path={}", call.path)
            return json_response(500, "the call failed; see the log")


class _HttpConnection(asyncio.Protocol):
    """One connection: a call, its answer, the next call."""

    def __init__(self, calls: Routes, owner: object, open_now: set[_HttpConnection]) -> None:
        self._calls, self._owner, self._open = calls, owner, open_now
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url, self._headers, self._body = b"", dict[str, str](), bytearray()
        self._head, self._in_head, self._bad = 0, True, 0
        self._is_begun = False  # a call is not whole yet
        self._is_paused = False  # we read no further
        self._task: asyncio.Task[None] | None = None
        self._waiting: list[tuple[Request, bool]] = []
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Somebody calls."""
        self._transport = cast(asyncio.Transport, transport)
        self._open.add(self)
        self._limit(IDLE_S)

    def connection_lost(self, exc: Exception | None) -> None:
        """They have gone; what is under way goes on, as it may have been taken."""
        self._transport = None
        self._open.discard(self)
        if self._timer is not None:
            self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Bytes of calls, cut anywhere."""
        if self._bad:
            return
        had_begun = self._is_begun
        if self._in_head:
            self._head += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._bad = self._bad or 400
        if self._in_head and self._head > MAX_HEAD:
            self._bad = self._bad or 431
        if self._is_begun and not had_begun:
            self._limit(HEAD_S)
        elif not self._is_begun:
            self._limit(IDLE_S)
        self._next()

    def _limit(self, seconds: float) -> None:
        """End the connection after so long, unless something comes of it before."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(seconds, self.abort)

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    # ---- httptools' callbacks

    def on_message_begin(self) -> None:
        """A call begins."""
        self._url, self._headers, self._body, self._in_head = b"", {}, bytearray(), True
        self._is_begun = True

    def on_url(self, url: bytes) -> None:
        """A piece of the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1").strip()

    def on_headers_complete(self) -> None:
        """The head is there."""
        self._in_head, self._head = False, 0
        length = self._headers.get("content-length", "0")
        if length.isdigit() and int(length) > MAX_BODY_BYTES:
            self._bad = 413

    def on_body(self, data: bytes) -> None:
        """A piece of the body."""
        self._body += data
        if len(self._body) > MAX_BODY_BYTES:
            self._bad = 413

    def on_message_complete(self) -> None:
        """The call is whole."""
        self._in_head, self._is_begun = True, False
        path = self._url.partition(b"?")[0].decode("latin-1")
        method = self._parser.get_method().decode("latin-1")
        call = Request(method, path, self._headers, bytes(self._body))
        self._waiting.append((call, self._parser.should_keep_alive()))

    def _next(self) -> None:
        if self._transport is not None and self._is_paused != (len(self._waiting) >= MOST_WAITING):
            self._is_paused = not self._is_paused
            if self._is_paused:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()
        if self._task is not None or self._transport is None:
            return
        if self._waiting:
            call, keep = self._waiting.pop(0)
            self._task = asyncio.get_running_loop().create_task(self._answer(call, keep))
        elif self._bad:
            self._write(json_response(self._bad, "the call can't be read"), False)

    async def _answer(self, call: Request, keep: bool) -> None:
        reply = await self._calls.answer(self._owner, call)
        self._task = None
        self._write(reply, keep)
        if keep:
            self._next()

    def _write(self, reply: Response, keep: bool) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        more = "".join(f"{name}: {value}\r\n" for name, value in reply.headers.items())
        close = "" if keep else "Connection: close\r\n"
        head = (
            f"HTTP/1.1 {reply.status} {REASONS.get(reply.status, 'Status')}\r\n"
            f"Content-Type: {reply.content_type}\r\nContent-Length: {len(reply.body)}\r\n{more}{close}\r\n"
        )
        self._transport.write(head.encode("latin-1") + reply.body)
        if not keep:
            self._transport.close()


class HttpServer:
    """Listens for calls."""

    def __init__(self, calls: Routes, owner: object) -> None:
        self._calls, self._owner = calls, owner
        self._open: set[_HttpConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        """Listen; raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _HttpConnection(self._calls, self._owner, self._open), *address, backlog=256
        )

    def stop(self) -> None:
        """Close all."""
        if self._server is not None:
            self._server.close()
        for caller in list(self._open):
            caller.abort()
