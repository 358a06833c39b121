"""What replicas and agents share on sockets: a place to listen, questions for lists, answers with a bound."""

from __future__ import annotations

import asyncio
import gc
import logging
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from email.utils import formatdate
from functools import lru_cache

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    StreamReader,
    TCPConnector,
    web,
)
from yarl import URL

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
_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\nDate: %b\r\n%b\r\n"

SETTLE_S = 0.02  # before a connection whose watch was answered takes its next question
Tell = Callable[[], bool]
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def now_ms() -> float:
    """The clock that all decisions here run on: it never goes back, and is nobody else's."""
    return time.monotonic() * 1000


def collect_seldom() -> None:
    """Look for cycles of dead objects less often: thousands of open watches are nothing to be looked through.

    With Python's own thresholds each look at all that lives costs more than the answers in between.
    """
    gc.freeze()
    gc.set_threshold(50_000, 20, 50)


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


@dataclass(frozen=True, slots=True)
class Question:
    """What a reader asks for."""

    after: int | None
    wait_s: float
    list: str
    detail: bool
    replica: str


def read_question(request: web.Request) -> Question:
    """Raises FormError, naming the word of the target."""
    return _question(request.rel_url.raw_query_string)


@lru_cache(maxsize=256)  # all who know the same ask the same
def _question(query: str) -> Question:
    words = URL.build(path="/", query_string=query, encoded=True).query
    if twice := [word for word in words if len(words.getall(word)) > 1]:
        raise FormError(f"{twice[0]}: stands there twice")
    wait = read_number(words.get("wait_ms", "0"), "wait_ms", 10**9)
    return Question(
        after=read_number(words["after"], "after", 2**53 - 1) if "after" in words else None,
        wait_s=min(wait, MOST_WAIT_MS) / 1000,
        list=words.get("list", ""),
        detail=words.get("detail") == "1",
        replica=words.get("replica", ""),
    )


class Waiters:
    """Watches that wait for news, by list; `None` waits for news of any list."""

    def __init__(self) -> None:
        self._waiting: dict[str | None, dict[asyncio.Future[bool], Tell | None]] = {}
        self.count = 0

    async def wait(self, of: str | None, seconds: float, tell: Tell | None = None) -> bool:
        """Return once there may be news, or after so long.

        `tell` answers the watch at once when there are news, without waiting for its task's turn among
        thousands of others, and says whether it has; True: it has.
        """
        loop = asyncio.get_running_loop()
        future: asyncio.Future[bool] = loop.create_future()
        waiting = self._waiting.setdefault(of, {})
        waiting[future] = tell
        self.count += 1
        timer = loop.call_later(seconds, _end, future)
        try:
            return await future
        finally:
            timer.cancel()
            self.count -= 1
            waiting.pop(future, None)

    def wake(self, lists: frozenset[str] | None) -> None:
        """There are news of these lists; None: of all."""
        told = []
        for of, waiting in self._waiting.items():
            if lists is None or of is None or of in lists:
                for future, tell in waiting.items():
                    if tell is None or not tell():
                        _end(future)
                    else:
                        told.append(future)
                waiting.clear()
        if told:
            asyncio.get_running_loop().call_later(SETTLE_S, _settle, told)


def _settle(told: list[asyncio.Future[bool]]) -> None:
    """Their answers are out: let their connections take the next question."""
    for future in told:
        if not future.done():
            future.set_result(True)


def _end(future: asyncio.Future[bool]) -> None:
    if not future.done():
        future.set_result(False)


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


class _Written(web.Response):
    """An answer that has been written already: nothing is left to do."""

    async def prepare(self, request: web.BaseRequest) -> None:
        """Nothing."""

    async def write_eof(self, data: bytes = b"") -> None:
        """Nothing."""


WRITTEN = _Written()
"""What a handler returns whose answer is out; its connection stays."""
WRITTEN._keep_alive = True


@lru_cache(maxsize=1)
def _date(second: int) -> bytes:
    return formatdate(second, usegmt=True).encode()


def send_small(request: web.Request, body: bytes, headers: dict[str, str] | None = None) -> bool:
    """Answer with JSON in one piece, if it fits into what the system holds for a connection.

    A change is told to thousands of watches at once: such an answer needs no response object of its own, and
    nobody waits for it. False: it does not fit, or the connection is not to be kept; nothing is sent.
    """
    transport = request.transport
    if len(body) > SMALL_BODY or transport is None or transport.is_closing():
        return False
    if not request.keep_alive or request.method != "GET":
        return False
    more = "".join(f"{name}: {value}\r\n" for name, value in (headers or {}).items()).encode()
    transport.write(_HEAD % (len(body), _date(int(time.time())), more) + body)
    return True


async def send(
    request: web.Request, body: bytes, headers: dict[str, str] | None = None
) -> web.StreamResponse:
    """Answer with JSON; a reader that does not take it in time is dropped, and costs the others nothing."""
    if send_small(request, body, headers):
        return WRITTEN
    response = web.Response(body=body, content_type="application/json", headers=headers)
    try:
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
