"""What replicas and agents share on sockets: a place to listen, questions for lists, answers with a bound."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    StreamReader,
    TCPConnector,
    web,
)

from mastturn.registry.form import (
    MOST_BYTES,
    MOST_WAIT_MS,
    PATH,
    FormError,
    Received,
    read_listing,
    read_number,
)

log = logging.getLogger(__name__)

ANSWER_S = 2.0  # beyond the wait that was asked for
WRITE_S = 5.0  # a reader that takes longer to take what it asked for is dropped
BACKLOG = 1024
MOST_BODY = 64 * 1024
SMALL_BODY = 16 * 1024

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def now_ms() -> float:
    """The clock that all decisions here run on: it never goes back, and is nobody else's."""
    return time.monotonic() * 1000


class AskError(Exception):
    """No good answer; one line."""


def session() -> ClientSession:
    """Connections to others, kept."""
    return ClientSession(connector=TCPConnector(limit=0, keepalive_timeout=30.0), auto_decompress=False)


async def ask_list(
    client: ClientSession, address: str, after: int | None, wait_ms: float, **more: str
) -> Received:
    """The answer of a replica or an agent; raises AskError. `more`: further words of the target."""
    words = {**more, "detail": "1"}
    if after is not None:
        words |= {"after": str(after), "wait_ms": str(int(wait_ms))}
    try:
        timeout = ClientTimeout(total=wait_ms / 1000 + ANSWER_S)
        async with client.get(f"http://{address}{PATH}", params=words, timeout=timeout) as answer:
            body = await _body(answer.content)
            if answer.status != 200:
                raise AskError(f"status {answer.status}: {body[:200].decode(errors='replace').strip()}")
        return read_listing(body, after)
    except TimeoutError:
        raise AskError(f"no answer within {wait_ms / 1000 + ANSWER_S:g} s") from None
    except FormError as error:
        raise AskError(f"spoilt answer: {error}") from None
    except (ClientError, OSError, ValueError) as error:
        raise AskError(plain(error)) from None


def plain(error: Exception) -> str:
    """A fault of a call in a few words."""
    cause = error.os_error if isinstance(error, ClientConnectorError) else error
    words = getattr(cause, "strerror", None) or str(cause)
    return f"{type(cause).__name__}: {words}" if words else type(cause).__name__


async def _body(content: StreamReader) -> bytes:
    parts, size = [], 0
    async for part in content.iter_chunked(256 * 1024):
        parts.append(part)
        size += len(part)
        if size > MOST_BYTES:
            raise AskError(f"the answer is longer than {MOST_BYTES} bytes")
    return b"".join(parts)


class Question:
    """What a reader asks for; raises FormError, naming the word of the target."""

    def __init__(self, request: web.Request) -> None:
        words = request.query
        if twice := [word for word in words if len(words.getall(word)) > 1]:
            raise FormError(f"{twice[0]}: stands there twice")
        self.after = read_number(words["after"], "after", 2**53 - 1) if "after" in words else None
        wait = read_number(words.get("wait_ms", "0"), "wait_ms", 10**9)
        self.wait_s = min(wait, MOST_WAIT_MS) / 1000
        self.list = words.get("list", "")
        self.detail = words.get("detail") == "1"
        self.replica = words.get("replica", "")


class Waiters:
    """Watches that wait for news, by list; `None` waits for news of any list."""

    def __init__(self) -> None:
        self._waiting: dict[str | None, set[asyncio.Future[None]]] = {}
        self.count = 0

    async def wait(self, of: str | None, seconds: float) -> None:
        """Return once there may be news, or after so long."""
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        waiting = self._waiting.setdefault(of, set())
        waiting.add(future)
        self.count += 1
        timer = loop.call_later(seconds, _end, future)
        try:
            await future
        finally:
            timer.cancel()
            self.count -= 1
            waiting.discard(future)

    def wake(self, lists: frozenset[str] | None) -> None:
        """There are news of these lists; None: of all."""
        for of, waiting in self._waiting.items():
            if lists is None or of is None or of in lists:
                for future in waiting:
                    _end(future)
                waiting.clear()


def _end(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)


class Place:
    """An address that is listened on."""

    def __init__(self, address: str, routes: list[web.RouteDef]) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._routes = routes
        self._runner: web.AppRunner | None = None
        self.address = address

    async def start(self) -> None:
        """Listen; raises OSError."""
        app = web.Application(middlewares=[_plain_faults], client_max_size=MOST_BODY)
        app.router.add_routes(self._routes)
        # A watch ends with its connection.
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.2, handler_cancellation=True)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host.strip("[]"), self._port, backlog=BACKLOG).start()
        self.address = f"{self._host}:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()


@web.middleware
async def _plain_faults(request: web.Request, handler: Handler) -> web.StreamResponse:
    """One line for whatever is wrong with a call."""
    try:
        return await handler(request)
    except FormError as error:
        return web.Response(status=400, text=f"{error}\n")
    except web.HTTPException as error:
        return web.Response(status=error.status, text=f"{error.reason}\n", headers=_allow(error))


def _allow(error: web.HTTPException) -> dict[str, str]:
    return {"Allow": error.headers["Allow"]} if "Allow" in error.headers else {}


async def send(
    request: web.Request, body: bytes, headers: dict[str, str] | None = None
) -> web.StreamResponse:
    """Answer with JSON; a reader that does not take it in time is dropped, and costs the others nothing."""
    response = web.Response(body=body, content_type="application/json", headers=headers)
    try:
        if len(body) <= SMALL_BODY:  # fits into what the system holds for a connection: nobody waits for it
            await response.prepare(request)
            await response.write_eof()
            return response
        async with asyncio.timeout(WRITE_S):
            await response.prepare(request)
            await response.write_eof()
    except ConnectionError:
        pass  # the reader has gone
    except TimeoutError:
        log.warning("registry: a reader at %s takes no answer: dropped", request.remote)
        if request.transport is not None:
            request.transport.abort()
    return response
