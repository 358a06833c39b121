"""Stand-ins for the clients, which continuously request streams, and for the operator."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import secrets
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from aiohttp import ClientError, ClientResponse, ClientSession, ClientTimeout

MAX_ATTEMPTS = 3
REQUESTS_PER_S = 20.0
READINESS_POLL_S = 0.5  # between two polls of the balancers' readiness
ROUTES = {"ask": (1_400, 20), "tag": (500, 3)}  # prompt tokens, and the limit of output tokens


class Clients:
    """Sends requests at a constant rate to ready balancers, and retries refused ones."""

    def __init__(self, ready: Callable[[], list[str]], requests_per_s: float = REQUESTS_PER_S) -> None:
        """`ready` returns the addresses of the balancers that are ready; `per_s`: requests per second."""
        self.end_counts: Counter[str] = Counter()  # served, refused, failed, cut
        self.first_ms: list[float] = []  # from the first attempt to the first event
        self.in_flight = 0
        self.last_served_id = ""  # id of the last request that was served
        self._ready, self._requests_per_s, self._rng = ready, requests_per_s, random.Random(1)
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, stop: asyncio.Event) -> None:
        """Send requests until `stop` is set, then wait for those in flight."""
        async with ClientSession(timeout=ClientTimeout(total=10.0)) as session:
            started_at = time.monotonic()
            for number in itertools.count():
                pause = max(started_at + number / self._requests_per_s - time.monotonic(), 0.0)
                try:
                    async with asyncio.timeout(pause):
                        await stop.wait()
                    break
                except TimeoutError:
                    pass
                task = asyncio.create_task(self._send_request(session))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _send_request(self, session: ClientSession) -> None:
        route = self._rng.choice(list(ROUTES))
        self.in_flight += 1
        started_at, end = time.monotonic(), "failed"
        try:
            for _ in range(MAX_ATTEMPTS):
                end, wait = await self._attempt(session, route, started_at)
                if end != "refused":
                    break
                await asyncio.sleep(wait)
        finally:
            self.in_flight -= 1
            self.end_counts[end] += 1

    async def _attempt(self, session: ClientSession, route: str, started_at: float) -> tuple[str, float]:
        """Send one attempt; return how it ended, and the seconds to wait before the next."""
        balancers = self._ready()
        if not balancers:
            return "refused", 0.2
        tokens, max_output = ROUTES[route]
        headers = {
            "Host": "llm.example",
            "Mastturn-Request-Id": secrets.token_hex(8),
            "Mastturn-Deadline-Ms": "8000",
            "Mastturn-Model": "m",
            "Mastturn-Token-Count": f"{tokens},{max_output}",
            "Mastturn-Prompt-Prefix": f"c0ffee:{tokens // 2},{secrets.token_hex(4)}:{tokens // 2}",
        }
        url = f"http://{self._rng.choice(balancers)}/{route}/1"
        try:
            async with session.post(url, data=b"prompt", headers=headers) as response:
                if response.status in (408, 421, 429, 503):
                    return "refused", min(float(response.headers.get("Retry-After", "0.2")), 2.0)
                if response.status != 200:
                    return "failed", 0.0
                is_complete = await self._count_events(response, started_at) == max_output
        except (ClientError, OSError, TimeoutError):
            return "cut", 0.0
        if is_complete:
            self.last_served_id = headers["Mastturn-Request-Id"]
        return "served" if is_complete else "cut", 0.0

    async def _count_events(self, response: ClientResponse, started_at: float) -> int:
        """Return the number of events received, or -1 if their ids are not consecutive."""
        count = 0
        async for line in response.content:
            if line.startswith(b"id: "):
                if int(line[4:]) != count + 1:
                    return -1
                count += 1
                if count == 1:
                    self.first_ms.append((time.monotonic() - started_at) * 1000)
        return count


async def put(ctl: list[str], configuration: dict[str, Any], base: int, timeout_s: float) -> bool:
    """Put a configuration, retrying at the other addresses until the response is conclusive."""
    deadline, body = time.monotonic() + timeout_s, json.dumps(configuration).encode()
    async with ClientSession(timeout=ClientTimeout(total=1.0)) as session:
        for address in itertools.cycle(ctl):
            if time.monotonic() >= deadline:
                return False
            try:
                async with session.put(
                    f"http://{address}/api/config", data=body, headers={"If-Match": str(base)}
                ) as response:
                    if response.status == 200:
                        return True
                    if response.status in (400, 409, 412, 413, 422):
                        return False
            except (ClientError, OSError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
    return False


async def get_json(address: str, target: str) -> dict[str, Any] | None:
    """Return the JSON object that a process responds with, None if there is none."""
    try:
        async with (
            ClientSession(timeout=ClientTimeout(total=1.0)) as session,
            session.get(f"http://{address}{target}") as response,
        ):
            value = await response.json() if response.status == 200 else None
    except (ClientError, OSError, TimeoutError, ValueError):
        return None
    return value if isinstance(value, dict) else None
