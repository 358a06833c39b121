"""Stand-ins for the clients, who ask for streams all the while, and for the operator."""

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

TRIES = 3
PER_S = 20.0
LOOK_S = 0.5  # how often a balancer's readiness is asked for
ROUTES = {"ask": (1_400, 20), "tag": (500, 3)}  # tokens of the prompt, and the most out


class Clients:
    """Requests at an even pace, to balancers that call themselves ready; a refused one comes again."""

    def __init__(self, ready: Callable[[], list[str]], per_s: float = PER_S) -> None:
        """`ready`: the addresses that take clients now."""
        self.ended: Counter[str] = Counter()  # served, refused, failed, cut
        self.first_ms: list[float] = []  # from the first try to the first event
        self.open = 0
        self.last = ""  # the id of the latest request that was served
        self._ready, self._per_s, self._dice = ready, per_s, random.Random(1)
        self._tasks: set[asyncio.Task[None]] = set()

    async def play(self, stop: asyncio.Event) -> None:
        """Ask until told to stop, and wait for what is open."""
        async with ClientSession(timeout=ClientTimeout(total=10.0)) as session:
            begin = time.monotonic()
            for number in itertools.count():
                pause = max(begin + number / self._per_s - time.monotonic(), 0.0)
                try:
                    async with asyncio.timeout(pause):
                        await stop.wait()
                    break
                except TimeoutError:
                    pass
                task = asyncio.create_task(self._ask(session))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _ask(self, session: ClientSession) -> None:
        route = self._dice.choice(list(ROUTES))
        self.open += 1
        begin, end = time.monotonic(), "failed"
        try:
            for _ in range(TRIES):
                end, wait = await self._try(session, route, begin)
                if end != "refused":
                    break
                await asyncio.sleep(wait)
        finally:
            self.open -= 1
            self.ended[end] += 1

    async def _try(self, session: ClientSession, route: str, begin: float) -> tuple[str, float]:
        """How one try ends, and for how long to wait before the next."""
        places = self._ready()
        if not places:
            return "refused", 0.2
        tokens, out = ROUTES[route]
        headers = {
            "Host": "llm.example",
            "Mastturn-Request-Id": secrets.token_hex(8),
            "Mastturn-Deadline-Ms": "8000",
            "Mastturn-Model": "m",
            "Mastturn-Token-Count": f"{tokens},{out}",
            "Mastturn-Prompt-Prefix": f"c0ffee:{tokens // 2},{secrets.token_hex(4)}:{tokens // 2}",
        }
        url = f"http://{self._dice.choice(places)}/{route}/1"
        try:
            async with session.post(url, data=b"prompt", headers=headers) as answer:
                if answer.status in (408, 421, 429, 503):
                    return "refused", min(float(answer.headers.get("Retry-After", "0.2")), 2.0)
                if answer.status != 200:
                    return "failed", 0.0
                whole = await self._events(answer, begin) == out
        except (ClientError, OSError, TimeoutError):
            return "cut", 0.0
        if whole:
            self.last = headers["Mastturn-Request-Id"]
        return "served" if whole else "cut", 0.0

    async def _events(self, answer: ClientResponse, begin: float) -> int:
        """How many events come, counted while their ids rise by one."""
        count = 0
        async for line in answer.content:
            if line.startswith(b"id: "):
                if int(line[4:]) != count + 1:
                    return -1
                count += 1
                if count == 1:
                    self.first_ms.append((time.monotonic() - begin) * 1000)
        return count


async def put(ctl: list[str], configuration: dict[str, Any], base: int, within_s: float) -> bool:
    """Have a configuration taken, as an operator does: again and elsewhere until the answer is clear."""
    until, body = time.monotonic() + within_s, json.dumps(configuration).encode()
    async with ClientSession(timeout=ClientTimeout(total=1.0)) as session:
        for place in itertools.cycle(ctl):
            if time.monotonic() >= until:
                return False
            try:
                async with session.put(
                    f"http://{place}/api/config", data=body, headers={"If-Match": str(base)}
                ) as answer:
                    if answer.status == 200:
                        return True
                    if answer.status in (400, 409, 412, 413, 422):
                        return False
            except (ClientError, OSError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
    return False


async def ask(address: str, target: str) -> dict[str, Any] | None:
    """The object that a process answers with; None without one."""
    try:
        async with (
            ClientSession(timeout=ClientTimeout(total=1.0)) as session,
            session.get(f"http://{address}{target}") as answer,
        ):
            found = await answer.json() if answer.status == 200 else None
    except (ClientError, OSError, TimeoutError, ValueError):
        return None
    return found if isinstance(found, dict) else None
