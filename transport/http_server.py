"""HTTP/1.1 server for the operators' API: routes are declared beside their handlers."""

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
MAX_BODY_BYTES = 4 * 1024 * 1024  # a quarter of the limit of a frame and of a record on disk
REQUEST_TIMEOUT_S = 5.0  # from the first byte of a request to its last one
IDLE_TIMEOUT_S = 60.0  # an idle connection is closed after this
MAX_LOGGED_PATH = 80  # characters of a path that are logged
MAX_QUEUED_REQUESTS = 16  # pipelined requests of one connection; reading pauses beyond this


@dataclass(frozen=True, slots=True)
class Request:
    """One complete HTTP request."""

    method: str
    path: str
    headers: dict[str, str]  # names in lower case
    body: bytes

    @property
    def name(self) -> str:
        """The last segment of the path."""
        return self.path.rpartition("/")[2]


@dataclass(frozen=True, slots=True)
class Response:
    """The response to a request."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    content_type: str = "application/json"


def json_response(status: int, error: str = "", **headers: str) -> Response:
    """Return a JSON response: `{"error": error}`, or `{"ok": ...}` without an error.

    An underscore in the name of a header stands for a hyphen.
    """
    body = json.dumps({"error": error} if error else {"ok": status < 300}).encode()
    return Response(status, body, {k.replace("_", "-"): v for k, v in headers.items()})


Handler = Callable[[Any, Request], Awaitable[Response]]


class Routes:
    """The routes that a program serves: request handlers by method and path."""

    def __init__(self) -> None:
        self._handlers: dict[tuple[str, str], Handler] = {}
        self._prefix_handlers: dict[tuple[str, str], Handler] = {}  # by method and path prefix

    def route(self, method: str, path: str) -> Callable[[Handler], Handler]:
        """Return a decorator that registers the handler of a method and a path."""

        def register(handler: Handler) -> Handler:
            self._handlers[method, path] = handler
            return handler

        return register

    def route_prefix(self, method: str, prefix: str) -> Callable[[Handler], Handler]:
        """Return a decorator for the handler of all paths `prefix` + name; `prefix` ends with a slash."""

        def register(handler: Handler) -> Handler:
            self._prefix_handlers[method, prefix] = handler
            return handler

        return register

    def include(self, other: Routes) -> Routes:
        """Add the routes that another table holds at this moment."""
        self._handlers |= other._handlers
        self._prefix_handlers |= other._prefix_handlers
        return self

    def _find(self, method: str, path: str) -> Handler | None:
        prefix, _, name = path.rpartition("/")
        named = self._prefix_handlers.get((method, f"{prefix}/")) if name else None
        return self._handlers.get((method, path)) or named

    def _is_known(self, path: str) -> bool:
        """Return whether any method is routed for this path."""
        prefix, _, name = path.rpartition("/")
        known = any(at == path for _, at in self._handlers)
        return known or (bool(name) and any(at == f"{prefix}/" for _, at in self._prefix_handlers))

    async def dispatch(self, owner: object, request: Request) -> Response:
        """Return the response to a request; an exception in a handler becomes status 500."""
        handler = self._find(request.method, request.path)
        if handler is None:
            known = self._is_known(request.path)
            logger.info(
                "event=call_unknown method={} path={!r}", request.method, request.path[:MAX_LOGGED_PATH]
            )
            return json_response(405 if known else 404, "no such path or method")
        try:
            return await handler(owner, request)
        except Exception:
            logger.exception("event=call_failed path={}", request.path)
            return json_response(500, "the request failed; see the log")


class _HttpConnection(asyncio.Protocol):
    """One client connection: requests are answered one at a time, in order."""

    def __init__(self, routes: Routes, owner: object, open_connections: set[_HttpConnection]) -> None:
        self._routes, self._owner, self._open_connections = routes, owner, open_connections
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url, self._headers, self._body = b"", dict[str, str](), bytearray()
        self._head_bytes, self._in_head, self._error_status = 0, True, 0
        self._is_receiving = False  # a request has begun and is incomplete
        self._is_reading_paused = False
        self._task: asyncio.Task[None] | None = None
        self._queue: list[tuple[Request, bool]] = []
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start the idle timeout."""
        self._transport = cast(asyncio.Transport, transport)
        self._open_connections.add(self)
        self._set_timeout(IDLE_TIMEOUT_S)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the connection; a running handler goes on, as its command may have been accepted."""
        self._transport = None
        self._open_connections.discard(self)
        if self._timer is not None:
            self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the parser; requests may be split or joined anywhere."""
        if self._error_status:
            return
        was_receiving = self._is_receiving
        if self._in_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._error_status = self._error_status or 400
        if self._in_head and self._head_bytes > MAX_HEAD:
            self._error_status = self._error_status or 431
        if self._is_receiving and not was_receiving:
            self._set_timeout(REQUEST_TIMEOUT_S)
        elif not self._is_receiving:
            self._set_timeout(IDLE_TIMEOUT_S)
        self._start_next()

    def _set_timeout(self, seconds: float) -> None:
        """Abort the connection after `seconds`, in place of any earlier timeout."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(seconds, self.abort)

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    # ---- callbacks of httptools

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._url, self._headers, self._body, self._in_head = b"", {}, bytearray(), True
        self._is_receiving = True

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1").strip()

    def on_headers_complete(self) -> None:
        """Reject a request whose declared length exceeds the limit."""
        self._in_head, self._head_bytes = False, 0
        length = self._headers.get("content-length", "0")
        if length.isdigit() and int(length) > MAX_BODY_BYTES:
            self._error_status = 413

    def on_body(self, data: bytes) -> None:
        """Append a piece of the body; reject a body above the limit."""
        self._body += data
        if len(self._body) > MAX_BODY_BYTES:
            self._error_status = 413

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        self._in_head, self._is_receiving = True, False
        path = self._url.partition(b"?")[0].decode("latin-1")
        method = self._parser.get_method().decode("latin-1")
        request = Request(method, path, self._headers, bytes(self._body))
        self._queue.append((request, self._parser.should_keep_alive()))

    def _start_next(self) -> None:
        if self._transport is not None and self._is_reading_paused != (
            len(self._queue) >= MAX_QUEUED_REQUESTS
        ):
            self._is_reading_paused = not self._is_reading_paused
            if self._is_reading_paused:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()
        if self._task is not None or self._transport is None:
            return
        if self._queue:
            request, keep_alive = self._queue.pop(0)
            self._task = asyncio.get_running_loop().create_task(self._respond(request, keep_alive))
        elif self._error_status:
            self._write(json_response(self._error_status, "the request is malformed or too large"), False)

    async def _respond(self, request: Request, keep_alive: bool) -> None:
        response = await self._routes.dispatch(self._owner, request)
        self._task = None
        self._write(response, keep_alive)
        if keep_alive:
            self._start_next()

    def _write(self, response: Response, keep_alive: bool) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        extra_headers = "".join(f"{name}: {value}\r\n" for name, value in response.headers.items())
        close_header = "" if keep_alive else "Connection: close\r\n"
        head = (
            f"HTTP/1.1 {response.status} {REASONS.get(response.status, 'Status')}\r\n"
            f"Content-Type: {response.content_type}\r\nContent-Length: {len(response.body)}\r\n"
            f"{extra_headers}{close_header}\r\n"
        )
        self._transport.write(head.encode("latin-1") + response.body)
        if not keep_alive:
            self._transport.close()


class HttpServer:
    """Accepts HTTP connections and serves them with a table of routes."""

    def __init__(self, routes: Routes, owner: object) -> None:
        self._routes, self._owner = routes, owner
        self._open: set[_HttpConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        """Start listening; raises OSError if the address can't be bound."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _HttpConnection(self._routes, self._owner, self._open), *address, backlog=256
        )

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._open):
            connection.abort()
