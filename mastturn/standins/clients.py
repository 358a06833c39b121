"""Clients on loopback sockets, open-loop: each request has its moment, whether or not others were answered.

Latency counts from that moment, so that a client which is held up hides nothing (no coordinated omission).
"""

from __future__ import annotations

import asyncio
import math
import time
from collections import Counter
from collections.abc import Callable
from itertools import count

from aiohttp import ClientConnectorError, ClientError, ClientSession, ClientTimeout, TCPConnector
from hdrh.histogram import HdrHistogram

from mastturn.emulator.chance import Stream
from mastturn.lab.outcome import DIGITS, HIGHEST_US, LOWEST_US
from mastturn.standins.plan import Kind, Plan

GRACE_S = 0.5  # beyond its time, after which a request without an answer is lost (FLEET)
_ids = count(1)


class Clients:
    """Everything that asks, and what came of it: served, refused, failed, lost."""

    def __init__(
        self,
        plan: Plan,
        balancers: list[str],
        names: list[str] | None = None,
        heard: Callable[..., None] | None = None,
    ) -> None:
        """`names` of the balancers stand in the ids of requests; `heard` is told of each try and its end."""
        self._plan, self._balancers = plan, balancers
        self._heard: Callable[..., None] = heard or (lambda what, **more: None)
        self._names = names or [str(i) for i in range(len(balancers))]
        # Where each try is written down it has a connection of its own: the client sends none of them anew.
        self._close = heard is not None
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
        connector = TCPConnector(limit=0, force_close=True) if self._close else TCPConnector(limit=0)
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
            place = (first + turn) % len(self._balancers)
            address, txn = self._balancers[place], f"{number}-{turn}.{self._names[place]}"
            self._heard("asked", txn=txn, kind=kind.name, at=self._names[place], within_s=remaining)
            end, why = await self._try(session, kind, address, txn, remaining)
            self._heard("ended", txn=txn, how=end, why=why)
            if end != "unreached":
                return end
        return "failed"

    async def _try(
        self, session: ClientSession, kind: Kind, address: str, txn: str, remaining: float
    ) -> tuple[str, str]:
        """One try at one balancer: how it ended, and why it was lost."""
        headers = {"X-Txn": txn, "X-Remaining": f"{remaining:.3f}", "X-Org": "demo"}
        method = "POST" if kind.effect == "once" else "GET"
        try:
            async with session.request(
                method,
                f"http://{address}/{kind.name}",
                headers=headers,
                timeout=ClientTimeout(total=remaining + GRACE_S),
            ) as answer:
                return _end(answer.status, await answer.text(), txn), f"status {answer.status}"
        except TimeoutError:
            return "lost", "no answer in time"
        except ClientConnectorError as error:  # nothing of the request can have been taken
            return "unreached", str(error)
        except ClientError as error:
            return "lost", f"{type(error).__name__}: {error}"


def _end(status: int, body: str, number: str) -> str:
    if status == 200:
        return "served" if body == number else "lost"
    return "refused" if status in (429, 503) else "failed"
