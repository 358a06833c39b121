"""The duty of moving upstreams between reading and answering: the primary's, with its epoch as fence."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from loguru import logger

from config.checking import parse_upstreams
from config.configuration import Upstream
from control.orders import Rejected, Taken, change_phase, is_there
from control.phases import Order, PhasePlan

CONTROL_INTERVAL_S = 0.1
LEASE_SPARE = 1.2  # the holder before us may have ordered something just now: so many leases are waited
TOLD_S = 0.15  # balancers have heard by then that an upstream moves
MOVING_S = 8.0  # after so long a move that does not show in the list is given up
UNHEARD = 2  # orders in a row without any answer are enough: it may be our own link that is at fault
WATCH_S = 1.0  # what moves is looked in on so often: one that goes meanwhile must not hold up other orders
MOVING = "moving"  # the part that an upstream plays meanwhile, so that nobody sends to it

FENCED = 412  # an upstream has seen a higher fence
MOST_STEP = 2**40

Prove = Callable[[], Awaitable[int]]
Outrun = Callable[[int], None]


class PhaseController:
    """Decides and gives the orders of one primary."""

    def __init__(
        self,
        owner: str,
        lease_s: float,
        prove: Prove,
        loads: Callable[[], Mapping[str, tuple[int, int]]],
        changed: Callable[[], None],
        outrun: Outrun,
    ) -> None:
        """`prove`: our epoch, once it is sure that nobody has taken our place; else 0.

        `outrun`: we are to lead in a later epoch than this one.
        """
        self._outrun = outrun
        self._refused_fence = 0  # the highest that an upstream has refused for a higher one: not used again
        self._step = 1  # by which the next fence is to be above it at least
        self._owner, self._lease_s, self._prove = owner, lease_s, prove
        self._loads, self._changed = loads, changed
        self._plan = PhasePlan()
        self._entries: tuple[Upstream, ...] = ()
        self._moving: dict[str, tuple[str, float]] = {}  # id: the part to come, given up at
        self._unclear: set[str] = set()  # of those, the ones that may never have heard of it
        self._leads = False
        self._since = 0.0  # we have held the duty without another in between since then
        self._busy: asyncio.Task[None] | None = None
        self._watched: dict[str, float] = {}  # ids of those that move: when they were last looked in on
        self._watches: set[asyncio.Task[None]] = set()
        self._unheard, self._unheard_at = 0, 0.0  # orders in a row without an answer, and since when
        self._looked_at = 0.0

    def set_leading(self, leads: bool, now: float, is_continued: bool = False) -> None:
        """We lead, or no longer; `is_continued`: nobody else has led since we did, so all that we know stands."""
        if leads and not self._leads and not is_continued:
            self._since = now
            self._moving.clear()
            self._unclear.clear()
            self._plan.reset()
        self._leads = leads

    def mark_moving(self, entries: list[dict[str, Any]], now: float) -> list[dict[str, Any]]:
        """The platform's list as balancers are to see it: what moves plays no part."""
        for entry in entries:
            move = self._moving.get(str(entry.get("id")))
            if move is not None and entry.get("phase") == move[0]:
                del self._moving[str(entry["id"])]
                logger.info("event=moved upstream={} phase={}", entry["id"], move[0])
        self._moving = {i: m for i, m in self._moving.items() if now < m[1]}
        self._unclear &= self._moving.keys()
        return [{**e, "phase": MOVING} if str(e.get("id")) in self._moving else e for e in entries]

    def set_list(self, page: bytes) -> None:
        """The list as it stands."""
        self._entries = parse_upstreams(page)[0]

    def tick(self, now: float) -> None:
        """See whether an order is due; called every tenth of a second while we lead."""
        self._looked_at = now
        if not self._leads or not self._entries:
            return
        waited = now - self._since >= LEASE_SPARE * self._lease_s
        heard = self._unheard < UNHEARD or now - self._unheard_at >= MOVING_S
        free = waited and heard and self._busy is None and self._moving.keys() <= self._unclear
        self._watch(now)
        staying = [e for e in self._entries if e.id not in self._moving]
        orders = self._plan.look(staying, self._loads(), now, free)
        if orders:
            self._busy = asyncio.get_running_loop().create_task(self._carry_out(orders))
            self._busy.add_done_callback(self._over)

    def _watch(self, now: float) -> None:
        """Look in on those that move."""
        self._watched = {i: self._watched.get(i, now) for i in self._moving.keys() - self._unclear}
        for entry in self._entries:
            if entry.id in self._watched and now - self._watched[entry.id] >= WATCH_S:
                self._watched[entry.id] = now
                watch = asyncio.get_running_loop().create_task(self._look_in(entry))
                self._watches.add(watch)
                watch.add_done_callback(self._watches.discard)

    async def _look_in(self, upstream: Upstream) -> None:
        move = self._moving.get(upstream.id)
        there = await is_there(upstream)
        if not there and move is not None and self._moving.get(upstream.id) is move:
            logger.warning("event=move_lost upstream={} phase={}", upstream.id, move[0])
            self._ask_another(upstream)

    def _ask_another(self, upstream: Upstream) -> None:
        """It may move, or be gone: nobody sends there, and the next order need not wait for it."""
        self._unclear.add(upstream.id)
        self._plan.ask_another(upstream.svc)

    def _over(self, task: asyncio.Task[None]) -> None:
        self._busy = None
        if not task.cancelled() and (error := task.exception()) is not None:
            logger.error("event=order_failed error={!r}", str(error))

    async def _carry_out(self, orders: list[Order]) -> None:
        loop = asyncio.get_running_loop()
        for order in orders:
            self._moving[order.upstream.id] = (order.phase, loop.time() + MOVING_S)
        self._changed()
        await asyncio.sleep(TOLD_S)
        epoch = await self._prove()
        if epoch > self._refused_fence:
            answered = await asyncio.gather(*(self._give(order, epoch) for order in orders))
            self._unheard = 0 if any(answered) else self._unheard + 1
            self._unheard_at = self._looked_at
        else:
            for order in orders:  # none was given: the next need not wait
                self._moving.pop(order.upstream.id, None)
                self._plan.ask_another(order.upstream.svc)
        self._changed()

    async def _give(self, order: Order, epoch: int) -> bool:
        """Give one order; whether it had an answer."""
        name = order.upstream.id
        outcome = await change_phase(order.upstream, order.phase, self._owner, epoch)
        logger.info(
            "event=ordered upstream={} phase={} fence={} outcome={}", name, order.phase, epoch, outcome
        )
        if isinstance(outcome, Rejected):
            self._moving.pop(name, None)
            if outcome.status == FENCED:
                self._fence_refused(epoch)
        elif not isinstance(outcome, Taken):
            self._ask_another(order.upstream)
            return False
        else:
            self._step = 1
        return True

    def _fence_refused(self, fence: int) -> None:
        """A holder before us, of a core that is no more, has used a higher one, and nobody tells how high.

        So the next epoch is above it by a step that doubles with each refusal in a row.
        """
        if fence <= self._refused_fence:
            return  # another upstream refuses the same
        self._refused_fence = fence
        self._outrun(fence + self._step)
        self._step = min(2 * self._step, MOST_STEP)
