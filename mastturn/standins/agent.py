"""A discovery agent on a loopback socket (PROTOCOL, "Discovery"): the whole list, and a watch for changes."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web

from mastturn.standins.upstream import Upstream

LONGEST_WAIT_MS = 60_000


class Agent:
    """One tier's list, for all of its balancers."""

    def __init__(self, upstreams: list[Upstream]) -> None:
        self._upstreams = upstreams
        self._revision = 1
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen on a port from the system."""
        app = web.Application()
        app.router.add_get("/registry/instances", self._answer)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self.address = f"127.0.0.1:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        """End; watches that are open close."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def changed(self) -> None:
        """Something is different: whoever watches is told the whole list."""
        async with self._changed:
            self._revision += 1
            self._changed.notify_all()

    def listing(self) -> dict[str, Any]:
        """The list as it is told."""
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

    async def _answer(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", "0"))
        wait = min(int(request.query.get("wait_ms", "0")), LONGEST_WAIT_MS) / 1000
        if after >= self._revision and wait > 0:
            try:
                async with asyncio.timeout(wait), self._changed:
                    await self._changed.wait_for(lambda: self._revision > after)
            except TimeoutError:
                return web.json_response({"revision": self._revision, "complete": False, "members": []})
        return web.json_response(self.listing())
