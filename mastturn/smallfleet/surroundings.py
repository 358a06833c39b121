"""Stand-ins for the platform's list and for upstreams that read prompts or make tokens, on real sockets."""

from __future__ import annotations

import asyncio
import json
import secrets
import time
from typing import Any

from aiohttp import ClientSession, ClientTimeout, web

NOT_RUN = {"Mastturn-Not-Run": "1"}
READ_S = 1 / 48_200  # for each token of a prompt
STEP_S = 0.012  # for each token of an answer
ITSELF = 2.0  # times as long a decode upstream takes to read
FETCH_S = 0.002
KEPT_S = 5.0  # a handle nobody fetches lapses after this
SWAP_S = 0.5


class Upstream:
    """One upstream: `phase` is prefill or decode, an order may change it."""

    def __init__(self, name: str, address: str, zone: str, phase: str, capacity: int = 16) -> None:
        self.name, self.address, self.zone, self.phase, self.capacity = name, address, zone, phase, capacity
        self.ran: dict[str, int] = {}  # how often each request was run here
        self._active, self._seq, self._fence = 0, 0, 0
        self._handles: dict[str, float] = {}
        self._reading = asyncio.Lock()
        self._runner: web.AppRunner | None = None
        self._session: ClientSession | None = None

    def entry(self) -> dict[str, Any]:
        """Its entry in the platform's list."""
        return {
            "id": self.name,
            "svc": "llm",
            "addr": self.address,
            "zone": self.zone,
            "ver": "v1",
            "capacity": self.capacity,
            "state": "up",
            "cold_left_ms": 0,
            "phase": self.phase,
            "models": [{"name": "m", "ver": 1, "loras": []}],
        }

    async def start(self) -> None:
        """Listen."""
        app = web.Application()
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/api/report", self._report)
        app.router.add_post("/api/order", self._order)
        app.router.add_get("/api/kv/{handle}", self._give)
        app.router.add_delete("/api/kv-handle/{handle}", self._free)
        app.router.add_route("*", "/{path:.*}", self._take)
        self._runner = await _serve(app, self.address)
        self._session = ClientSession(timeout=ClientTimeout(total=2.0))

    async def stop(self) -> None:
        """End."""
        if self._session is not None:
            await self._session.close()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(headers={"Mastturn-Upstream-Id": self.name})

    async def _report(self, request: web.Request) -> web.Response:
        told = {"phase": self.phase, "models": [], "util": False, "seq": self._seq, "active": self._active}
        return web.json_response(told)

    async def _order(self, request: web.Request) -> web.Response:
        order = await request.json()
        if order.get("op") != "phase" or order.get("fence", 0) < self._fence:
            return web.Response(status=400 if order.get("op") != "phase" else 412)
        self._fence, phase = order["fence"], order["phase"]
        if phase == self.phase:
            return web.Response()
        self._seq += 1

        def change() -> None:
            self.phase = phase

        asyncio.get_running_loop().call_later(SWAP_S, change)
        return web.Response(status=202)

    async def _give(self, request: web.Request) -> web.Response:
        """Another upstream fetches the memory behind a handle: that works once."""
        born = self._handles.pop(request.match_info["handle"], None)
        return web.Response(status=200 if born is not None and time.monotonic() - born < KEPT_S else 404)

    async def _free(self, request: web.Request) -> web.Response:
        self._handles.pop(request.match_info["handle"], None)
        return web.Response()

    async def _take(self, request: web.Request) -> web.StreamResponse:
        number = request.headers.get("Mastturn-Request-Id", "")
        told = {"Mastturn-Request-Id": number}
        await request.read()
        if not number:
            return web.Response(status=400, headers=NOT_RUN)
        if request.headers.get("Mastturn-Target-Upstream", self.name) != self.name:
            return web.Response(status=421, headers=told)
        if self._active >= self.capacity:
            return web.Response(status=503, headers=told | NOT_RUN)
        reads = request.headers.get("Mastturn-Stage") == "prefill"
        if reads != (self.phase == "prefill"):
            return web.Response(status=421, headers=told)
        self._active += 1
        try:
            return await (self._read if reads else self._run)(request, told)
        finally:
            self._active -= 1

    async def _read(self, request: web.Request, told: dict[str, str]) -> web.Response:
        tokens = _tokens(request)[0]
        async with self._reading:
            await asyncio.sleep(tokens * READ_S)
        handle = secrets.token_hex(6)
        now = time.monotonic()
        self._handles = {h: born for h, born in self._handles.items() if now - born < KEPT_S}
        self._handles[handle] = now
        return web.json_response({"kv_ref": handle, "ntokens": tokens, "ver": 1}, headers=told)

    async def _run(self, request: web.Request, told: dict[str, str]) -> web.StreamResponse:
        tokens, out = _tokens(request)
        source = request.headers.get("Kv-From")
        if source is not None and not await self._fetch(source):
            return web.Response(status=503, headers=told | NOT_RUN)
        number = told["Mastturn-Request-Id"]
        self.ran[number] = self.ran.get(number, 0) + 1
        if source is None:
            await asyncio.sleep(tokens * READ_S * ITSELF)
        seal = {"Mastturn-Server-Seal": f"{self.name}.{secrets.token_hex(4)}", "Versions": "1"}
        answer = web.StreamResponse(headers=told | seal | {"Content-Type": "text/event-stream"})
        await answer.prepare(request)
        after = int(request.headers.get("Last-Event-Id", "0"))
        for event in range(after + 1, out + 1):
            await asyncio.sleep(STEP_S)
            await answer.write(f"id: {event}\ndata: token {event} of {out}\n\n".encode())
        await answer.write_eof()
        return answer

    async def _fetch(self, source: str) -> bool:
        place, _, handle = source.partition("/")
        assert self._session is not None
        await asyncio.sleep(FETCH_S)
        try:
            async with self._session.get(f"http://{place}/api/kv/{handle}") as answer:
                return answer.status == 200
        except (OSError, TimeoutError):
            return False


def _tokens(request: web.Request) -> tuple[int, int]:
    """Tokens of the prompt, and the most out."""
    count = request.headers.get("Mastturn-Token-Count", "0,1").split(",")
    return int(count[0]), int(count[1])


class Platform:
    """The list of upstreams, in pages."""

    def __init__(self, address: str, upstreams: list[Upstream]) -> None:
        self.calls = 0
        self._address, self._upstreams = address, upstreams
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen."""
        app = web.Application()
        app.router.add_get("/upstreams", self._list)
        self._runner = await _serve(app, self._address)

    async def stop(self) -> None:
        """End."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _list(self, request: web.Request) -> web.Response:
        self.calls += 1
        page = {"upstreams": [u.entry() for u in self._upstreams], "next_cursor": None}
        return web.Response(text=json.dumps(page), content_type="application/json")


async def _serve(app: web.Application, address: str) -> web.AppRunner:
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.2)
    await runner.setup()
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host, int(port), reuse_address=True).start()
    return runner
