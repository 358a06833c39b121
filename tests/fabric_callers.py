"""Test doubles around the simulated fleet: the platform's list, operators, and a data plane."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from balancer.cold_share import Place
from config.configuration import Configuration, Upstream
from config.settings import Settings
from tests.fabric import End, Loop

PLATFORM = ("10.200.0.1", 8169)


def upstream(name: str, **changes: Any) -> dict[str, Any]:
    """Return an entry of the platform's list."""
    entry = {
        "id": name,
        "svc": "pool",
        "addr": "10.128.0.9:8080",
        "zone": "hall-a",
        "ver": "v1",
        "capacity": 64,
        "state": "up",
        "cold_left_ms": 0,
    }
    return entry | changes


def configuration(ver: int, **changes: Any) -> bytes:
    """Return a whole configuration as an operator sends it."""
    route = {"name": "r", "host": "a.example", "path_prefix": "/run/", "deadline_ms": 8000, "svc": "pool"}
    whole = {"ver": ver, "routes": [route], "svcs": [{"name": "pool"}], "limits": {}}
    return json.dumps(whole | changes).encode()


@dataclass
class Platform:
    """Answers `GET /upstreams`, page by page."""

    loop: Loop
    entries: list[dict[str, Any]] = field(default_factory=list)
    per_page: int = 50
    says: str = "list"  # behaviour: list, 429, nothing, garbage, endless
    rate_per_s: float = 0.0  # more calls in one second get 429; 0: no limit
    calls: list[tuple[float, str]] = field(default_factory=list)  # when (s), from which IP

    def start(self) -> None:
        """Listen."""
        self.loop.network.listen(lambda: _PlatformConnection(self), *PLATFORM)

    def busiest_second(self) -> int:
        """Return the most calls in any second."""
        times = [at for at, _ in self.calls]
        return max((sum(1 for t in times if at <= t < at + 1) for at in times), default=0)

    def answer(self, target: str, caller: str) -> bytes | None:
        """Return the answer to a call; None for no answer."""
        now = self.loop.time()
        self.calls.append((now, caller))
        over = self.rate_per_s and sum(1 for at, _ in self.calls if now - at < 1) > self.rate_per_s
        if self.says == "nothing":
            return None
        if self.says == "garbage":
            return b"\0\1\2 no HTTP\r\n\r\n"
        if self.says == "429" or over:
            return b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n"
        first = int(target.partition("page_token=p-")[2] or 0)
        rest = len(self.entries) > first + self.per_page or self.says == "endless"
        page = {
            "upstreams": self.entries[first : first + self.per_page],
            "next_cursor": f"p-{first + self.per_page}" if rest else None,
        }
        body = json.dumps(page).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class _PlatformConnection(asyncio.Protocol):
    def __init__(self, platform: Platform) -> None:
        self._platform, self._held = platform, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport: Any = transport

    def data_received(self, data: bytes) -> None:
        self._held += data
        while b"\r\n\r\n" in self._held:
            head, _, self._held = self._held.partition(b"\r\n\r\n")
            answer = self._platform.answer(head.split(b" ")[1].decode(), self._transport.remote[0])
            if answer is not None:
                self._transport.write(answer)


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to one call."""

    status: int
    headers: dict[str, str]
    body: bytes


class _AnswerReader(asyncio.Protocol):
    """Reads one answer; `raw` holds all bytes."""

    def __init__(self) -> None:
        self.raw = b""
        self.ended = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: Any = transport

    def data_received(self, data: bytes) -> None:
        self.raw += data
        if self.answer() is not None:
            self.ended.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended.set()

    def answer(self) -> Answer | None:
        head, found, body = self.raw.partition(b"\r\n\r\n")
        if not found:
            return None
        lines = head.decode("latin-1").split("\r\n")
        headers = {k.lower(): v for k, _, v in (line.partition(": ") for line in lines[1:])}
        length = int(headers.get("content-length", 0))
        if len(body) < length:
            return None
        return Answer(int(lines[0].split(" ")[1]), headers, body[:length])


async def ask(address: tuple[str, int], raw: bytes, silence_s: float = 1.0) -> Answer | None:
    """Return the answer to bytes sent to an address; None without one within `silence_s`."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(silence_s):
            _, asking = await loop.create_connection(_AnswerReader, *address)
    except (OSError, TimeoutError):
        return None
    asking.transport.write(raw)
    try:
        async with asyncio.timeout(silence_s):
            await asking.ended.wait()
    except TimeoutError:
        asking.transport.abort()
        return None
    answer: Answer | None = asking.answer()
    asking.transport.abort()
    return answer


def call(method: str, target: str, body: bytes = b"", **headers: str) -> bytes:
    """Return the bytes of a call."""
    more = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return f"{method} {target} HTTP/1.1\r\nHost: ctl\r\n{more}{length}\r\n".encode() + body


Say = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class Ended:
    """How an operator's command ended: status, time (s), number of tries, and body."""

    status: int
    at: float
    tries: int
    body: bytes = b""


class Operator:
    """Sends a command to one control process after the other until it gets a definite answer."""

    def __init__(self, name: str, ctl: Iterable[str], names: Callable[[str], str], say: Say) -> None:
        """`ctl`: addresses `ip:port`, tried in this order, repeatedly."""
        self.name, self._ctl, self._names, self._say = name, list(ctl), names, say

    async def put(self, body: bytes, base: int, tries: int = 12) -> Ended:
        """Replace the configuration, based on a version."""
        try:
            ver = json.loads(body)["ver"]
        except (ValueError, KeyError, TypeError):
            ver = "?"
        return await self._order(f"PUT version {ver} on {base}", "PUT", body, tries, If_Match=str(base))

    async def patch(self, change: dict[str, Any], base: int, tries: int = 12) -> Ended:
        """Change items of the configuration, based on a version."""
        body = json.dumps(change).encode()
        what = f"PATCH version {change.get('ver', '?')} on {base}"
        return await self._order(what, "PATCH", body, tries, If_Match=str(base))

    async def get(self, tries: int = 12) -> Ended:
        """Read the configuration back."""
        return await self._order("GET", "GET", b"", tries)

    async def _order(self, what: str, method: str, body: bytes, tries: int, **headers: str) -> Ended:
        loop = asyncio.get_running_loop()
        wait, refused = 0.2, 0
        for number in range(tries):
            ctl = self._ctl[number % len(self._ctl)]
            answer = await self._send(ctl, what, call(method, "/api/config", body, **headers))
            if answer is not None and answer.status < 500 and answer.status not in (408, 429):
                refused += answer.status not in (200, 400, 409, 412, 413, 422)
                if answer.status in (200, 400, 409, 412, 413, 422) or refused == 3:
                    return Ended(answer.status, loop.time(), number + 1, answer.body)
            await asyncio.sleep(wait)
            wait *= 1.5
        return Ended(0, loop.time(), tries)

    async def _send(self, ctl: str, what: str, raw: bytes) -> Answer | None:
        answer = None
        for _ in range(3):
            ip, _, port = ctl.partition(":")
            self._say(f"{self.name} -> {self._names(ip)}: {what}")
            answer = await ask((ip, int(port)), raw)
            if answer is None:
                self._say(f"{self._names(ip)} -> {self.name}: no answer")
                return None
            text = f"{answer.status}"
            if answer.status == 307:
                ctl = answer.headers["location"].removeprefix("http://").partition("/")[0]
                text += f", ask {self._names(ctl.partition(':')[0])}"
            elif answer.status >= 400:
                text += f" {json.loads(answer.body)['error']}"
            elif "etag" in answer.headers:
                text += f" version {answer.headers['etag']}"
            self._say(f"{self._names(ip)} -> {self.name}: {text}")
            if answer.status != 307:
                return answer
        return answer


class DataPlane:
    """Test double of `balancer.balancer.Balancer`: records the control side's calls and their times."""

    def __init__(self, settings: Settings, seed: int, listener: Any = None) -> None:
        self.settings = settings
        self.configured: list[tuple[float, Configuration]] = []
        self.listed: list[tuple[float, tuple[Upstream, ...]]] = []
        self.counted: list[tuple[float, int]] = []
        self.is_allowed = False
        self.current_loads: dict[str, tuple[int, int]] = {}
        self.other_loads: Callable[[str], tuple[int, int]] = lambda upstream: (0, 0)
        self.notify_load: Callable[[], None] = lambda: None
        self.notify_prefix: Callable[[bytes, str], None] = lambda prefix, upstream: None
        self.cached_prefixes: list[tuple[bytes, str]] = []  # prefixes reported by other balancers, in order
        self.request_handler: Any = None
        self.own_failures: dict[tuple[str, str], tuple[int, int]] = {}
        self.fleet_failures: dict[tuple[str, str], tuple[int, int]] = {}
        self.notify_failures: Callable[[], None] = lambda: None
        self.place: Place | None = None
        self.drain_s = 0.0
        self.is_draining = False

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def start(self) -> None:
        return None

    async def stop(self) -> None:
        return None

    async def drain(self) -> None:
        self.is_draining = True
        await asyncio.sleep(self.drain_s)

    def configure(self, configuration: Configuration) -> None:
        self.configured.append((self._now(), configuration))

    def list_upstreams(self, entries: tuple[Upstream, ...]) -> None:
        self.listed.append((self._now(), entries))

    def count_balancers(self, n: int) -> None:
        self.counted.append((self._now(), n))

    def set_place(self, place: Place | None) -> None:
        self.place = place

    def allow_ready(self, allowed: bool) -> None:
        self.is_allowed = allowed

    def loads(self) -> dict[str, tuple[int, int]]:
        return dict(self.current_loads)

    def set_other_loads(self, load: Callable[[str], tuple[int, int]]) -> None:
        self.other_loads = load

    def watch_loads(self, on_change: Callable[[], None]) -> None:
        self.notify_load = on_change

    def on_failures_changed(self, on_change: Callable[[], None]) -> None:
        self.notify_failures = on_change

    def failure_counts(self) -> dict[tuple[str, str], tuple[int, int]]:
        return dict(self.own_failures)

    def apply_failure_counts(self, totals: dict[tuple[str, str], tuple[int, int]]) -> None:
        self.fleet_failures = totals

    def watch_cached_prefixes(self, callback: Callable[[bytes, str], None]) -> None:
        self.notify_prefix = callback

    def add_cached_prefix(self, prefix: bytes, upstream: str) -> None:
        self.cached_prefixes.append((prefix, upstream))

    def counts(self) -> dict[str, Any]:
        return {}

    def put_load(self, **loads: tuple[int, int]) -> None:
        """Change the reported loads."""
        self.current_loads = loads
        self.notify_load()

    @property
    def ver(self) -> int:
        """The version in force, 0 without one."""
        return self.configured[-1][1].ver if self.configured else 0

    @property
    def ids(self) -> list[str]:
        """The ids of the latest list."""
        return [entry.id for entry in self.listed[-1][1]] if self.listed else []


def raw_end(transport: Any) -> End:
    """Return the simulated network's end of a transport."""
    assert isinstance(transport, End)
    return transport
