"""Stand-ins for the platform's list and for prefill and decode upstreams, on real sockets."""

from __future__ import annotations

import asyncio
import json
import secrets
import time
from typing import Any

from aiohttp import ClientSession, ClientTimeout, web

NOT_RUN = {"Mastturn-Not-Run": "1"}
PREFILL_TOKEN_S = 1 / 48_200  # per token of a prompt
DECODE_TOKEN_S = 0.012  # per token of a response
DECODE_PREFILL_FACTOR = 2.0  # factor by which a decode upstream prefills more slowly
FETCH_S = 0.002
HANDLE_LIFETIME_S = 5.0  # lifetime of a handle that is not fetched
PHASE_CHANGE_S = 0.5


class Upstream:
    """One upstream; `phase` is prefill or decode, and orders may change it."""

    def __init__(self, name: str, address: str, zone: str, phase: str, capacity: int = 16) -> None:
        self.name, self.address, self.zone, self.phase, self.capacity = name, address, zone, phase, capacity
        self.runs: dict[str, int] = {}  # number of runs by request id
        self._active, self._seq, self._fence = 0, 0, 0
        self._handles: dict[str, float] = {}
        self._prefill_lock = asyncio.Lock()
        self._runner: web.AppRunner | None = None
        self._session: ClientSession | None = None

    def entry(self) -> dict[str, Any]:
        """Return its entry in the platform's list."""
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
        """Start listening."""
        app = web.Application()
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/api/report", self._report)
        app.router.add_post("/api/order", self._order)
        app.router.add_get("/api/kv/{handle}", self._hand_over)
        app.router.add_delete("/api/kv-handle/{handle}", self._free)
        app.router.add_route("*", "/{path:.*}", self._handle_request)
        self._runner = await _serve(app, self.address)
        self._session = ClientSession(timeout=ClientTimeout(total=2.0))

    async def stop(self) -> None:
        """Stop listening."""
        if self._session is not None:
            await self._session.close()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(headers={"Mastturn-Upstream-Id": self.name})

    async def _report(self, request: web.Request) -> web.Response:
        report = {"phase": self.phase, "models": [], "util": False, "seq": self._seq, "active": self._active}
        return web.json_response(report)

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

        asyncio.get_running_loop().call_later(PHASE_CHANGE_S, change)
        return web.Response(status=202)

    async def _hand_over(self, request: web.Request) -> web.Response:
        """Hand over the KV cache behind a handle to another upstream; a handle works only once."""
        created_at = self._handles.pop(request.match_info["handle"], None)
        return web.Response(
            status=200
            if created_at is not None and time.monotonic() - created_at < HANDLE_LIFETIME_S
            else 404
        )

    async def _free(self, request: web.Request) -> web.Response:
        self._handles.pop(request.match_info["handle"], None)
        return web.Response()

    async def _handle_request(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get("Mastturn-Request-Id", "")
        id_header = {"Mastturn-Request-Id": request_id}
        await request.read()
        if not request_id:
            return web.Response(status=400, headers=NOT_RUN)
        if request.headers.get("Mastturn-Target-Upstream", self.name) != self.name:
            return web.Response(status=421, headers=id_header)
        if self._active >= self.capacity:
            return web.Response(status=503, headers=id_header | NOT_RUN)
        is_prefill = request.headers.get("Mastturn-Stage") == "prefill"
        if is_prefill != (self.phase == "prefill"):
            return web.Response(status=421, headers=id_header)
        self._active += 1
        try:
            return await (self._prefill if is_prefill else self._decode)(request, id_header)
        finally:
            self._active -= 1

    async def _prefill(self, request: web.Request, id_header: dict[str, str]) -> web.Response:
        tokens = _tokens(request)[0]
        async with self._prefill_lock:
            await asyncio.sleep(tokens * PREFILL_TOKEN_S)
        handle = secrets.token_hex(6)
        now = time.monotonic()
        self._handles = {
            h: created_at for h, created_at in self._handles.items() if now - created_at < HANDLE_LIFETIME_S
        }
        self._handles[handle] = now
        return web.json_response({"kv_ref": handle, "ntokens": tokens, "ver": 1}, headers=id_header)

    async def _decode(self, request: web.Request, id_header: dict[str, str]) -> web.StreamResponse:
        tokens, max_output = _tokens(request)
        source = request.headers.get("Kv-From")
        if source is not None and not await self._fetch(source):
            return web.Response(status=503, headers=id_header | NOT_RUN)
        request_id = id_header["Mastturn-Request-Id"]
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        if source is None:
            await asyncio.sleep(tokens * PREFILL_TOKEN_S * DECODE_PREFILL_FACTOR)
        seal = {"Mastturn-Server-Seal": f"{self.name}.{secrets.token_hex(4)}", "Versions": "1"}
        response = web.StreamResponse(headers=id_header | seal | {"Content-Type": "text/event-stream"})
        await response.prepare(request)
        last_event = int(request.headers.get("Last-Event-Id", "0"))
        for event in range(last_event + 1, max_output + 1):
            await asyncio.sleep(DECODE_TOKEN_S)
            await response.write(f"id: {event}\ndata: token {event} of {max_output}\n\n".encode())
        await response.write_eof()
        return response

    async def _fetch(self, source: str) -> bool:
        address, _, handle = source.partition("/")
        assert self._session is not None
        await asyncio.sleep(FETCH_S)
        try:
            async with self._session.get(f"http://{address}/api/kv/{handle}") as response:
                return response.status == 200
        except (OSError, TimeoutError):
            return False


def _tokens(request: web.Request) -> tuple[int, int]:
    """Return the number of prompt tokens, and the limit of output tokens."""
    count = request.headers.get("Mastturn-Token-Count", "0,1").split(",")
    return int(count[0]), int(count[1])


class Platform:
    """Serves the list of upstreams as one page."""

    def __init__(self, address: str, upstreams: list[Upstream]) -> None:
        self.calls = 0
        self._address, self._upstreams = address, upstreams
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Start listening."""
        app = web.Application()
        app.router.add_get("/upstreams", self._serve_list)
        self._runner = await _serve(app, self._address)

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _serve_list(self, request: web.Request) -> web.Response:
        self.calls += 1
        page = {"upstreams": [u.entry() for u in self._upstreams], "next_cursor": None}
        return web.Response(text=json.dumps(page), content_type="application/json")


async def _serve(app: web.Application, address: str) -> web.AppRunner:
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.2)
    await runner.setup()
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host, int(port), reuse_address=True).start()
    return runner
