"""The other balancers of our tier: hosts `fleet.membership` on sockets (docs/membership.md).

Imported only where the configuration has `peers`. At its own address a balancer shows its view in
discovery's form (`GET /registry/instances?list=members.FLEET`, whole or `after=N&wait_ms=M`), takes an entry
(`PUT /registry/instances/NAME?list=...`) and answers `GET /health/live`, and nothing else. It asks the same
of the others. Whoever can connect can say anything: what is spoilt is answered with 400 and one line, what is
too long ends the connection, and nobody keeps more than its part of the places.
"""

from __future__ import annotations

import asyncio
import json
import logging
import time
from collections.abc import Callable, Coroutine
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import httptools

from fleet.membership import detector as core
from fleet.membership.settings import Settings
from fleet.registry.entries import Entry
from fleet.registry.history import Changes
from passpost.config import Peers as Options
from passpost.discovery import PATH, Line, parse_address
from passpost.entries import read_entry, write_entry
from passpost.http1 import BadAnswerError

log = logging.getLogger(__name__)

MOST_CALLERS = 64  # connections at once; the oldest that waits for nothing gives way
MOST_HEAD = 8 * 1024
MOST_BODY = 16 * 1024
MOST_WAIT_S = 10.0
ANSWER_S = 1.0  # beyond the wait that was asked for
IDLE_S = 30.0  # a connection that asks nothing for so long ends
BIND_S = 0.25  # how often the address is tried while the other process of an upgrade holds it
GATHER_S = 0.02  # after news, changes within so long are told together
NO_ANSWER = (OSError, EOFError, TimeoutError, BadAnswerError)


class Peers:
    """Finds the others, and tells how many there are."""

    def __init__(
        self, name: str, options: Options, seed: int, balancers: int, tell: Callable[[int], None]
    ) -> None:
        """`tell` hears the number each time it changes. Raises ValueError on names that can't be used."""
        host, port = options.listen
        place = _text(host, port)
        settings = Settings(name, options.fleet, place, options.zone, options.version)
        self._options, self._settings, self._tell = options, settings, tell
        now_s = time.time()
        self._core = core.Detector(settings, seed, int(now_s * 1000), now_s, balancers)
        self._lines: dict[str, Line] = {}  # for views: one to each that we follow
        self._tasks = set[asyncio.Task[None]]()
        self._callers: dict[_Caller, None] = {}  # oldest first
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._waking: asyncio.TimerHandle | None = None
        self._woken = 0.0
        self.news = asyncio.Event()  # set and made anew with each change of our view
        self.port = port

    # ---- its life --------------------------------------------------------------------------------

    def start(self) -> None:
        """Listen as soon as the address is free, and begin."""
        self._spawn(self._begin())

    async def _begin(self) -> None:
        loop = asyncio.get_running_loop()
        host, port = self._options.listen
        said = False
        while self._server is None:
            try:
                self._server = await loop.create_server(lambda: _Caller(self), host, port)
            except OSError as error:
                if not said:
                    log.info("membership: %s is not free yet: %s", _text(host, port), error.strerror)
                said = True
                await asyncio.sleep(BIND_S)
        self.port = self._server.sockets[0].getsockname()[1]
        self._do(core.Begin(tuple(_text(*seed) for seed in self._options.seeds)))

    def leave(self) -> None:
        """Tell that we take no more callers."""
        if self._server is not None:
            self._do(core.Leave())

    def come_back(self) -> None:
        """Tell that we take callers again."""
        if self._server is not None:
            self._do(core.Return())

    def stop(self) -> None:
        """End."""
        for timer in (self._timer, self._waking):
            if timer is not None:
                timer.cancel()
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
        for caller in list(self._callers):
            caller.abort()
        for line in self._lines.values():
            line.hang_up()

    def table(self) -> list[dict[str, Any]]:
        """The members as we see them."""
        now, view = _now_ms(), self._core.view
        rows = []
        for name, zone, version, state, incarnation, since in view.table():
            accusers = view.accusers(name)
            row = {"name": name, "zone": zone, "version": version, "state": state, "incarnation": incarnation}
            rows.append(row | {"for_ms": round(now - since), "accusers": accusers})
        return rows

    def figures(self) -> dict[str, Any]:
        """The number that budgets go by, and whether we doubt ourselves."""
        doubts, superseded = self._core.doubts, self._core.view.superseded
        return {"balancers": self._core.number(_now_ms()), "doubts": doubts, "superseded": superseded}

    # ---- the decisions ---------------------------------------------------------------------------

    def _do(self, event: core.Event) -> None:
        loop = asyncio.get_running_loop()
        for action in self._core.handle(event, _now_ms()):
            match action:
                case core.Check():
                    self._spawn(self._check(action))
                case core.Ask():
                    self._spawn(self._ask(action))
                case core.Write(address, entry):
                    self._spawn(self._write(address, entry))
                case core.Changed() if self._waking is None:
                    wait = max(self._woken + GATHER_S - loop.time(), 0.0)
                    self._waking = loop.call_later(wait, self._wake)
                case core.SetTimer(at):
                    if self._timer is not None:
                        self._timer.cancel()
                    self._timer = loop.call_later(max(at - _now_ms(), 0.0) / 1000, self._do, core.TimeDue())
                case core.Balancers(count):
                    log.info("membership: %d balancers share what the fleet may do", count)
                    self._tell(count)
                case core.Log(text):
                    log.info("%s", text)

    def _wake(self) -> None:
        self._waking, self._woken = None, asyncio.get_running_loop().time()
        self.news.set()
        self.news = asyncio.Event()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("membership: %r", error)

    # ---- what we ask -----------------------------------------------------------------------------

    async def _check(self, check: core.Check) -> None:
        line = Line(parse_address(check.host_port))
        found = core.SILENT
        try:
            async with asyncio.timeout(check.within_ms / 1000):
                answer = await line.get("/health/live")
                found = "" if answer.status == 200 else core.SILENT
        except ConnectionRefusedError:
            found = core.REFUSED
        except NO_ANSWER:
            pass
        finally:
            line.hang_up()
        self._do(core.Checked(check.name, found))

    async def _ask(self, ask: core.Ask) -> None:
        line = self._lines.setdefault(ask.host_port, Line(parse_address(ask.host_port)))
        target = f"{PATH}?list={self._settings.members}&detail=1"
        if ask.after is not None:
            target += f"&after={ask.after}&wait_ms={ask.wait_ms:.0f}"
        event: core.Event = core.Lost(ask.host_port)
        try:
            async with asyncio.timeout(ask.wait_ms / 1000 + ANSWER_S):
                answer = await line.get(target)
            if answer.status == 200:
                name, changes = read_view(json.loads(answer.body), ask.after)
                event = core.Told(ask.host_port, name, changes)
        except NO_ANSWER:
            pass
        except Exception as error:  # whatever is spoilt is no view
            log.warning("membership: %s tells no view: %s: %s", ask.host_port, type(error).__name__, error)
        if isinstance(event, core.Lost) or not ask.wait_ms:
            line.hang_up()
            self._lines.pop(ask.host_port, None)
        self._do(event)

    async def _write(self, address: str, entry: Entry) -> None:
        line = Line(parse_address(address))
        body = json.dumps(write_entry(entry)).encode()
        try:
            async with asyncio.timeout(ANSWER_S):
                await line.get(f"{PATH}/{entry.id}?list={entry.list}", "PUT", body)
        except NO_ANSWER:
            pass  # it is told again in the next period
        finally:
            line.hang_up()

    # ---- what we are asked -----------------------------------------------------------------------

    def admit(self, caller: _Caller) -> None:
        """Another connection; one that waits for nothing gives way where there are too many."""
        if len(self._callers) >= MOST_CALLERS:
            idle = next((other for other in self._callers if other.is_idle()), caller)
            idle.abort()
        if not caller.is_over():
            self._callers[caller] = None

    def gone(self, caller: _Caller) -> None:
        """A connection has ended."""
        self._callers.pop(caller, None)

    async def answer(self, method: str, target: str, body: bytes) -> tuple[int, bytes]:
        """The answer to one call: its status and body."""
        parts = urlsplit(target)
        words = {word: values[-1] for word, values in parse_qs(parts.query).items()}
        if method == "GET" and parts.path == "/health/live":
            return 200, b"live\n"
        if words.get("list") != self._settings.members:
            return 404, b"list: this fleet's is another\n"
        if method == "GET" and parts.path == PATH:
            return await self._view(words)
        if method == "PUT" and parts.path.startswith(PATH + "/"):
            return self._written(unquote(parts.path.removeprefix(PATH + "/")), body)
        return 404, b"nothing here\n"

    async def _view(self, words: dict[str, str]) -> tuple[int, bytes]:
        history = self._core.view.history
        try:
            after = int(words["after"]) if "after" in words else None
            wait_s = min(max(int(words.get("wait_ms", "0")), 0) / 1000, MOST_WAIT_S)
        except ValueError:
            return 400, b"after, wait_ms: allowed are whole numbers\n"
        changes = history.after(after)
        if not (changes.whole or changes.entries) and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await self.news.wait()
            except TimeoutError:
                pass
            changes = history.after(after)
        members = [write_entry(entry) for entry in changes.entries]
        told = {"revision": changes.revision, "complete": changes.whole, "members": members}
        return 200, json.dumps(told | {"replica": self._settings.name}, separators=(",", ":")).encode()

    def _written(self, name: str, body: bytes) -> tuple[int, bytes]:
        try:
            entry = read_entry(json.loads(body))
            if entry.id != name or entry.list != self._settings.members:
                raise ValueError("id, list: not those of the target")
        except Exception as error:  # whatever is spoilt
            words = " ".join(f"{type(error).__name__}: {error}".split())
            return 400, f"{words[:200]}\n".encode()
        self._do(core.Written(entry))
        return 200, b"taken\n"


class _Caller(asyncio.Protocol):
    """One connection of another balancer, or of whoever has found us: one call at a time."""

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._answering: asyncio.Task[None] | None = None
        self._size, self._target, self._body = 0, b"", bytearray()
        self._idle: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It has come."""
        self._transport = transport  # type: ignore[assignment]
        self._peers.admit(self)
        self._rest()

    def connection_lost(self, exc: Exception | None) -> None:
        """It has gone: nobody waits for the answer."""
        self._peers.gone(self)
        if self._answering is not None:
            self._answering.cancel()
        if self._idle is not None:
            self._idle.cancel()

    def is_idle(self) -> bool:
        """Whether no call is being answered."""
        return self._answering is None

    def is_over(self) -> bool:
        """Whether it has ended or is about to."""
        return self._transport is None or self._transport.is_closing()

    def abort(self) -> None:
        """End it."""
        if self._transport is not None:
            self._transport.abort()

    def _rest(self) -> None:
        if self._idle is not None:
            self._idle.cancel()
        self._idle = asyncio.get_running_loop().call_later(IDLE_S, self.abort)

    # ---- what comes ------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        """Bytes of a call; more than one call at a time, or what is none, ends the connection."""
        self._size += len(data)
        try:
            if self._answering is not None or self._size > MOST_HEAD + MOST_BODY:
                raise BadAnswerError
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, BadAnswerError):
            self.abort()

    def on_url(self, url: bytes) -> None:
        """A part of the target."""
        self._target += url

    def on_body(self, data: bytes) -> None:
        """A part of the body."""
        self._body += data

    def on_message_complete(self) -> None:
        """The call is whole."""
        if self._answering is not None:
            raise BadAnswerError
        method = self._parser.get_method().decode()
        target, body = self._target.decode("latin-1"), bytes(self._body)
        keep = self._parser.should_keep_alive()
        self._size, self._target, self._body = 0, b"", bytearray()
        if self._idle is not None:
            self._idle.cancel()
        self._answering = asyncio.get_running_loop().create_task(self._answer(method, target, body, keep))

    async def _answer(self, method: str, target: str, body: bytes, keep: bool) -> None:
        try:
            status, answer = await self._peers.answer(method, target, body)
        except ValueError:  # a target that is none
            status, answer = 400, b"target: can't be read\n"
        kind = "application/json" if status == 200 and answer[:1] == b"{" else "text/plain"
        reason = {200: "OK", 400: "Bad Request", 404: "Not Found"}[status]
        persistence = "" if keep else "Connection: close\r\n"
        head = f"HTTP/1.1 {status} {reason}\r\nContent-Type: {kind}\r\n"
        head += f"Content-Length: {len(answer)}\r\n{persistence}\r\n"
        self._answering = None
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(head.encode() + answer)
            if keep:
                self._rest()
            else:
                self._transport.close()


def read_view(data: Any, after: int | None) -> tuple[str, Changes]:
    """A view, and who tells it; raises ValueError, TypeError or LookupError on what none can be."""
    revision, whole = int(data["revision"]), bool(data["complete"])
    if revision < 0 or (not whole and (after is None or revision < after)):
        raise ValueError(f"changes up to {revision} do not follow on {after}")
    return str(data["replica"]), Changes(revision, whole, tuple(read_entry(item) for item in data["members"]))


def _text(host: str, port: int) -> str:
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _now_ms() -> float:
    return time.monotonic() * 1000
