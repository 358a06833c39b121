"""Clients on loopback sockets, open-loop: each request has its moment, whether or not others were answered.

Latency counts from that moment, so that a client which is held up hides nothing (no coordinated omission).
"""

from __future__ import annotations

import asyncio
import math
import time
from collections import Counter
from itertools import count

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector
from hdrh.histogram import HdrHistogram

from mastturn.emulator.chance import Stream
from mastturn.lab.outcome import DIGITS, HIGHEST_US, LOWEST_US
from mastturn.standins.plan import Kind, Plan

GRACE_S = 0.5  # beyond its time, after which a request without an answer is lost (FLEET)
_ids = count(1)


class Clients:
    """Everything that asks, and what came of it: served, refused, failed, lost."""

    def __init__(self, plan: Plan, balancers: list[str]) -> None:
        self._plan, self._balancers = plan, balancers
        self._chance = Stream(plan.seed, "clients on sockets")
        self.ended: Counter[str] = Counter()
        self.by_class: dict[str, Counter[str]] = {kind.name: Counter() for kind in plan.classes}
        self.asked = 0
        self.latencies = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        self.open = 0

    def _kind(self) -> Kind:
        kinds = self._plan.classes
        at = self._chance.uniform() * sum(kind.portion for kind in kinds)
        for kind in kinds:
            at -= kind.portion
            if at < 0:
                return kind
        return kinds[-1]

    async def play(self, stop: asyncio.Event) -> None:
        """Ask until the play's time is over or `stop` is set, and wait for the answers."""
        end = time.monotonic() + self._plan.seconds
        due = time.monotonic()
        connector = TCPConnector(limit=0, keepalive_timeout=30)
        async with ClientSession(connector=connector) as session, asyncio.TaskGroup() as asking:
            while due < end and not stop.is_set():
                await asyncio.sleep(max(due - time.monotonic(), 0.0))
                asking.create_task(self._ask(session, self._kind(), due))
                due -= math.log(1.0 - self._chance.uniform()) / self._plan.requests_per_s

    async def _ask(self, session: ClientSession, kind: Kind, due: float) -> None:
        self.asked += 1
        self.open += 1
        try:
            end = await self._answer(session, kind, due)
        finally:
            self.open -= 1
        self.ended[end] += 1
        self.by_class[kind.name][end] += 1
        if end == "served":
            self.latencies.record_value(max(LOWEST_US, int((time.monotonic() - due) * 1e6)))

    async def _answer(self, session: ClientSession, kind: Kind, due: float) -> str:
        """How one request ends; it is sent once more only if its balancer could not be reached."""
        number = f"demo-{next(_ids)}"
        first = self._chance.below(len(self._balancers))
        for turn in range(len(self._balancers)):
            remaining = kind.deadline_ms / 1000 - (time.monotonic() - due)
            if remaining <= 0:
                return "lost"
            address = self._balancers[(first + turn) % len(self._balancers)]
            headers = {"X-Txn": f"{number}-{turn}", "X-Remaining": f"{remaining:.3f}", "X-Org": "demo"}
            method = "POST" if kind.effect == "once" else "GET"
            try:
                async with session.request(
                    method,
                    f"http://{address}/{kind.name}",
                    headers=headers,
                    timeout=ClientTimeout(total=remaining + GRACE_S),
                ) as answer:
                    return _end(answer.status, await answer.text(), headers["X-Txn"])
            except TimeoutError:
                return "lost"
            except ClientError as error:
                if not _is_unreached(error):
                    return "lost"
        return "failed"


def _is_unreached(error: ClientError) -> bool:
    """Whether nothing of the request can have been taken."""
    from aiohttp import ClientConnectorError

    return isinstance(error, ClientConnectorError)


def _end(status: int, body: str, number: str) -> str:
    if status == 200:
        return "served" if body == number else "lost"
    return "refused" if status in (429, 503) else "failed"
