"""Implements a discovery agent on a loopback socket (PROTOCOL, "Discovery"): list requests and watches."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web

from mastturn.standins.upstream import Upstream

MAX_WAIT_MS = 60_000


class Agent:
    """Serves one tier's server list to all of its balancers."""

    def __init__(self, upstreams: list[Upstream]) -> None:
        self._upstreams = upstreams
        self._revision = 1
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen on a port assigned by the system."""
        app = web.Application()
        app.router.add_get("/registry/instances", self._handle_list_request)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self.address = f"127.0.0.1:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Stop the server and close open watches."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def notify_change(self) -> None:
        """Publish a new revision: every watch is answered with the whole list."""
        async with self._changed:
            self._revision += 1
            self._changed.notify_all()

    def build_listing(self) -> dict[str, Any]:
        """Return the list in the form of the protocol."""
        members = [
            {
                "id": u.name,
                "host_port": u.address,
                "locality": "a",
                "flavor": "stand-in",
                "cell": 0,
                "phase": "leaving" if u.draining else "active",
                "size": 1.0,
                "up_since_ms": u.up_since_ms,
            }
            for u in self._upstreams
        ]
        return {"revision": self._revision, "complete": True, "members": members}

    async def _handle_list_request(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", "0"))
        wait_s = min(int(request.query.get("wait_ms", "0")), MAX_WAIT_MS) / 1000
        if after >= self._revision and wait_s > 0:
            try:
                async with asyncio.timeout(wait_s), self._changed:
                    await self._changed.wait_for(lambda: self._revision > after)
            except TimeoutError:
                return web.json_response({"revision": self._revision, "complete": False, "members": []})
        return web.json_response(self.build_listing())
