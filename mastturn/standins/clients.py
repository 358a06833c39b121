"""Simulates open-loop clients on loopback sockets: each request has its send time, independent of responses.

Latency counts from that intended time, so that a delayed client does not hide it (no coordinated omission).
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
from mastturn.standins.plan import Plan, RequestClass

RESPONSE_GRACE_S = 0.5  # beyond its deadline, after which an unanswered request is lost (FLEET)
_ids = count(1)


class Clients:
    """Sends all requests and counts their outcomes: served, refused, failed, lost."""

    def __init__(
        self,
        plan: Plan,
        balancers: list[str],
        names: list[str] | None = None,
        on_event: Callable[..., None] | None = None,
    ) -> None:
        """`names`: balancer names used in request ids; `on_event`: called at each try's start and end."""
        self._plan, self._balancers = plan, balancers
        self._on_event: Callable[..., None] = on_event or (lambda what, **more: None)
        self._names = names or [str(i) for i in range(len(balancers))]
        # Recorded tries use one connection each, so that the HTTP client does not resend any of them.
        self._closes_connections = on_event is not None
        self._rng = Stream(plan.seed, "clients on sockets")
        self.outcomes: Counter[str] = Counter()
        self.by_class: dict[str, Counter[str]] = {
            request_class.name: Counter() for request_class in plan.classes
        }
        self.request_count = 0
        self.latencies = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        self.in_flight = 0

    def _draw_class(self) -> RequestClass:
        kinds = self._plan.classes
        at = self._rng.uniform() * sum(request_class.portion for request_class in kinds)
        for request_class in kinds:
            at -= request_class.portion
            if at < 0:
                return request_class
        return kinds[-1]

    async def play(self, stop: asyncio.Event) -> None:
        """Send requests until the time is over or `stop` is set, then wait for the responses."""
        end = time.monotonic() + self._plan.seconds
        due_s = time.monotonic()
        connector = (
            TCPConnector(limit=0, force_close=True) if self._closes_connections else TCPConnector(limit=0)
        )
        async with ClientSession(connector=connector) as session, asyncio.TaskGroup() as tasks:
            while due_s < end and not stop.is_set():
                await asyncio.sleep(max(due_s - time.monotonic(), 0.0))
                tasks.create_task(self._run_request(session, self._draw_class(), due_s))
                due_s -= math.log(1.0 - self._rng.uniform()) / self._plan.requests_per_s

    async def _run_request(self, session: ClientSession, request_class: RequestClass, due_s: float) -> None:
        self.request_count += 1
        self.in_flight += 1
        try:
            end = await self._send_with_failover(session, request_class, due_s)
        finally:
            self.in_flight -= 1
        self.outcomes[end] += 1
        self.by_class[request_class.name][end] += 1
        if end == "served":
            self.latencies.record_value(max(LOWEST_US, int((time.monotonic() - due_s) * 1e6)))

    async def _send_with_failover(
        self, session: ClientSession, request_class: RequestClass, due_s: float
    ) -> str:
        """Return the outcome of a request; it goes to another balancer only after a failed connection."""
        request_id = f"demo-{next(_ids)}"
        first = self._rng.below(len(self._balancers))
        for attempt in range(len(self._balancers)):
            remaining = request_class.deadline_ms / 1000 - (time.monotonic() - due_s)
            if remaining <= 0:
                return "lost"
            index = (first + attempt) % len(self._balancers)
            address, txn = self._balancers[index], f"{request_id}-{attempt}.{self._names[index]}"
            self._on_event(
                "asked", txn=txn, kind=request_class.name, at=self._names[index], within_s=remaining
            )
            end, why = await self._send_once(session, request_class, address, txn, remaining)
            self._on_event("ended", txn=txn, how=end, why=why)
            if end != "unreached":
                return end
        return "failed"

    async def _send_once(
        self, session: ClientSession, request_class: RequestClass, address: str, txn: str, remaining: float
    ) -> tuple[str, str]:
        """Send one try to one balancer; return its outcome and the reason."""
        headers = {"X-Txn": txn, "X-Remaining": f"{remaining:.3f}", "X-Org": "demo"}
        method = "POST" if request_class.effect == "once" else "GET"
        try:
            async with session.request(
                method,
                f"http://{address}/{request_class.name}",
                headers=headers,
                timeout=ClientTimeout(total=remaining + RESPONSE_GRACE_S),
            ) as answer:
                return _classify_response(answer.status, await answer.text(), txn), f"status {answer.status}"
        except TimeoutError:
            return "lost", "no answer in time"
        except ClientConnectorError as error:  # no part of the request was sent
            return "unreached", str(error)
        except ClientError as error:
            return "lost", f"{type(error).__name__}: {error}"


def _classify_response(status: int, body: str, request_id: str) -> str:
    if status == 200:
        return "served" if body == request_id else "lost"
    return "refused" if status in (429, 503) else "failed"
