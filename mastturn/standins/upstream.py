"""An upstream on a loopback socket (PROTOCOL, "Balancers to upstreams").

It holds a core while it works, calls the next tier through a balancer of its own, reports its load with
each answer, turns requests away while it drains, and can fall silent. Started again, it has a new start time.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from itertools import count

from aiohttp import ClientError, ClientSession, ClientTimeout, web

from mastturn.standins.plan import Kind

SLOTS_PER_CORE = 16
REPORT_S = 0.5  # how often its report is taken anew
_ids = count(1)


class Upstream:
    """One upstream; its address stays the same over its processes."""

    def __init__(self, name: str, kinds: dict[str, Kind], cores: int, share: float) -> None:
        self.name, self._kinds, self._cores, self._share = name, kinds, cores, share
        self.next_tier: str | None = None  # address of the balancer beside it
        self.port = 0
        self.up_since_ms = 0
        self.draining = self.silent = False
        self.begun_once_only = list[str]()  # ids of requests that must not run twice, as they were begun
        self.on_begin: Callable[[str, str], None] = lambda number, kind: None  # hears of each that begins
        self._free = asyncio.Semaphore(cores)
        self._held = 0
        self._busy_s, self._report_at, self._util = 0.0, time.monotonic(), 0.0
        self._session: ClientSession | None = None
        self._runner: web.AppRunner | None = None

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen; the first time on a port from the system."""
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._answer)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", self.port, reuse_address=True)
        await site.start()
        self.port = self._runner.addresses[0][1]
        self._session = ClientSession(auto_decompress=False)
        self.draining = self.silent = False

    async def stop(self) -> None:
        """End: its connections close."""
        if self._session is not None:
            await self._session.close()
        if self._runner is not None:
            await self._runner.cleanup()

    async def restart(self) -> None:
        """A new process in its place."""
        await self.stop()
        self.up_since_ms = int(time.time() * 1000)
        await self.start()

    async def _answer(self, request: web.Request) -> web.Response:
        number = request.headers.get("X-Txn")
        if number is None:
            return web.Response(status=404)
        if self.silent:
            await asyncio.sleep(3_600)
        if self.draining or self._held >= SLOTS_PER_CORE * self._cores:
            return web.Response(status=503, headers={"X-Turned-Away": "1", **self._report()})
        kind = self._kinds.get(request.path.strip("/").partition("/")[0])
        if kind is None:
            return web.Response(status=400)
        body = await request.read()
        self.on_begin(number, kind.name)
        if kind.effect == "once":
            self.begun_once_only.append(number)
        self._held += 1
        try:
            async with self._free:
                await asyncio.sleep(kind.work_ms / 1000 * self._share)
                self._busy_s += kind.work_ms / 1000 * self._share
            if self.next_tier is not None and not await self._call(request, number, body):
                return web.Response(status=500, headers=self._report())
        finally:
            self._held -= 1
        return web.Response(text=number, headers=self._report())

    async def _call(self, request: web.Request, number: str, body: bytes) -> bool:
        """Call the next tier; a new request with the time that remains."""
        assert self._session is not None
        remaining = float(request.headers.get("X-Remaining", "1"))
        mine = f"{number}.{next(_ids)}"
        headers = {
            "X-Txn": mine,
            "X-Remaining": f"{remaining:.3f}",
            "X-Org": request.headers.get("X-Org", ""),
        }
        url = f"http://{self.next_tier}{request.path_qs}"
        try:
            timeout = ClientTimeout(total=remaining + 0.5)
            async with self._session.request(
                request.method, url, data=body, headers=headers, timeout=timeout
            ) as answer:
                return answer.status == 200 and await answer.text() == mine
        except (ClientError, TimeoutError, OSError):
            return False

    def _report(self) -> dict[str, str]:
        now = time.monotonic()
        if now - self._report_at >= REPORT_S:
            self._util = min(self._busy_s / (self._cores * (now - self._report_at)), 1.0)
            self._busy_s, self._report_at = 0.0, now
        report = {"latency_ms": 0.0, "util": round(self._util, 4)}
        return {"X-Pressure": json.dumps(report)}
