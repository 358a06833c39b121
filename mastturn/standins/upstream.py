"""Implements an upstream on a loopback socket (PROTOCOL, "Balancers to upstreams").

A request holds a core while it works and then calls the next tier through the local balancer. Each response
carries a load report. The upstream rejects requests while it drains and can be made to stop answering. A
restart gives it a new start time.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from itertools import count

from aiohttp import ClientError, ClientSession, ClientTimeout, web

from mastturn.standins.plan import RequestClass

SLOTS_PER_CORE = 16
REPORT_INTERVAL_S = 0.5  # refresh interval of the load report
_ids = count(1)


class Upstream:
    """An upstream server; it keeps its address across restarts."""

    def __init__(self, name: str, classes: dict[str, RequestClass], cores: int, work_share: float) -> None:
        self.name, self._classes, self._cores, self._work_share = name, classes, cores, work_share
        self.next_tier: str | None = None  # address of the local balancer for calls to the next tier
        self.port = 0
        self.up_since_ms = 0
        self.draining = self.silent = False
        self.non_repeatable_ids = list[str]()  # ids of requests that must not run twice, in start order
        self.on_request_begin: Callable[[str, str], None] = lambda request_id, request_class: (
            None
        )  # called when a request starts
        self._core_slots = asyncio.Semaphore(cores)
        self._in_flight = 0
        self._busy_s, self._report_taken_s, self._utilization = 0.0, time.monotonic(), 0.0
        self._session: ClientSession | None = None
        self._runner: web.AppRunner | None = None

    @property
    def address(self) -> str:
        """Listen address."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Start listening; the first time on a port assigned by the system."""
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._handle_request)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", self.port, reuse_address=True)
        await site.start()
        self.port = self._runner.addresses[0][1]
        self._session = ClientSession(auto_decompress=False)
        self.draining = self.silent = False

    async def stop(self) -> None:
        """Stop the server and close its connections."""
        if self._session is not None:
            await self._session.close()
        if self._runner is not None:
            await self._runner.cleanup()

    async def restart(self) -> None:
        """Restart the server with a new start time."""
        await self.stop()
        self.up_since_ms = int(time.time() * 1000)
        await self.start()

    async def _handle_request(self, request: web.Request) -> web.Response:
        request_id = request.headers.get("X-Txn")
        if request_id is None:
            return web.Response(status=404)
        if self.silent:
            await asyncio.sleep(3_600)
        if self.draining or self._in_flight >= SLOTS_PER_CORE * self._cores:
            return web.Response(status=503, headers={"X-Turned-Away": "1", **self._report()})
        request_class = self._classes.get(request.path.strip("/").partition("/")[0])
        if request_class is None:
            return web.Response(status=400)
        body = await request.read()
        self.on_request_begin(request_id, request_class.name)
        if request_class.effect == "once":
            self.non_repeatable_ids.append(request_id)
        self._in_flight += 1
        try:
            async with self._core_slots:
                await asyncio.sleep(request_class.work_ms / 1000 * self._work_share)
                self._busy_s += request_class.work_ms / 1000 * self._work_share
            if self.next_tier is not None and not await self._call_next_tier(request, request_id, body):
                return web.Response(status=500, headers=self._report())
        finally:
            self._in_flight -= 1
        return web.Response(text=request_id, headers=self._report())

    async def _call_next_tier(self, request: web.Request, request_id: str, body: bytes) -> bool:
        """Send a new request with the remaining time to the next tier; return whether it succeeded."""
        assert self._session is not None
        remaining = float(request.headers.get("X-Remaining", "1"))
        child_id = f"{request_id}.{next(_ids)}"
        headers = {
            "X-Txn": child_id,
            "X-Remaining": f"{remaining:.3f}",
            "X-Org": request.headers.get("X-Org", ""),
        }
        url = f"http://{self.next_tier}{request.path_qs}"
        try:
            timeout = ClientTimeout(total=remaining + 0.5)
            async with self._session.request(
                request.method, url, data=body, headers=headers, timeout=timeout
            ) as answer:
                return answer.status == 200 and await answer.text() == child_id
        except (ClientError, TimeoutError, OSError):
            return False

    def _report(self) -> dict[str, str]:
        now = time.monotonic()
        if now - self._report_taken_s >= REPORT_INTERVAL_S:
            self._utilization = min(self._busy_s / (self._cores * (now - self._report_taken_s)), 1.0)
            self._busy_s, self._report_taken_s = 0.0, now
        report = {"latency_ms": 0.0, "util": round(self._utilization, 4)}
        return {"X-Pressure": json.dumps(report)}
