"""Moves upstreams between the prefill and decode phases, as the primary, with its epoch as fencing token."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from loguru import logger

from config.checking import parse_upstreams
from config.configuration import Upstream
from control.orders import Rejected, Taken, change_phase, is_reachable
from control.phases import Order, PhasePlan

CONTROL_INTERVAL_S = 0.1
# Lease durations to wait after a change of leader, as the predecessor may just have sent orders.
LEASE_FACTOR = 1.2
PROPAGATION_S = 0.15  # balancers know by then that an upstream moves
MOVE_TIMEOUT_S = 8.0  # a move that the list does not show by then is given up
MAX_UNANSWERED_ORDERS = 2  # in a row; then the fault may be in this process's own network
PROBE_INTERVAL_S = 1.0  # a moving upstream that disappears must not delay other orders
MOVING = "moving"  # phase shown to balancers during a move, so that they send nothing

FENCED_STATUS = 412  # the upstream has seen a higher fencing token
MAX_EPOCH_STEP = 2**40

ConfirmEpoch = Callable[[], Awaitable[int]]
OnNewerEpoch = Callable[[int], None]


class PhaseController:
    """Decides on and sends the orders of one primary."""

    def __init__(
        self,
        owner: str,
        lease_s: float,
        confirm_epoch: ConfirmEpoch,
        loads: Callable[[], Mapping[str, tuple[int, int]]],
        on_change: Callable[[], None],
        on_newer_epoch: OnNewerEpoch,
    ) -> None:
        """`confirm_epoch`: returns the epoch once a quorum confirms that this process leads, else 0.

        `on_newer_epoch`: called with an epoch that this process has to exceed.
        """
        self._on_newer_epoch = on_newer_epoch
        self._refused_fence = 0  # the highest token that an upstream has refused; not used again
        self._epoch_step = 1  # the next token has to exceed the refused one by at least this
        self._owner, self._lease_s, self._confirm_epoch = owner, lease_s, confirm_epoch
        self._loads, self._on_change = loads, on_change
        self._plan = PhasePlan()
        self._entries: tuple[Upstream, ...] = ()
        # By id: the target phase, and the time at which the move is given up.
        self._moving: dict[str, tuple[str, float]] = {}
        self._unconfirmed: set[str] = set()  # moving upstreams that may not have received their order
        self._leads = False
        self._leading_since = 0.0  # without another leader in between
        self._order_task: asyncio.Task[None] | None = None
        self._probed_at: dict[str, float] = {}  # by id of a moving upstream: time of the last probe
        self._probe_tasks: set[asyncio.Task[None]] = set()
        # Orders in a row without an answer, and the time of the last one.
        self._unanswered, self._unanswered_at = 0, 0.0
        self._ticked_at = 0.0

    def set_leading(self, leads: bool, now: float, is_continued: bool = False) -> None:
        """Start or stop leading.

        `is_continued`: nobody else has led since this process did, so its state is still valid.
        """
        if leads and not self._leads and not is_continued:
            self._leading_since = now
            self._moving.clear()
            self._unconfirmed.clear()
            self._plan.reset()
        self._leads = leads

    def mark_moving(self, entries: list[dict[str, Any]], now: float) -> list[dict[str, Any]]:
        """Return the platform's list with moving upstreams marked, so that balancers do not use them."""
        for entry in entries:
            move = self._moving.get(str(entry.get("id")))
            if move is not None and entry.get("phase") == move[0]:
                del self._moving[str(entry["id"])]
                logger.info("event=moved upstream={} phase={}", entry["id"], move[0])
        self._moving = {
            upstream_id: pending for upstream_id, pending in self._moving.items() if now < pending[1]
        }
        self._unconfirmed &= self._moving.keys()
        return [
            {**listed, "phase": MOVING} if str(listed.get("id")) in self._moving else listed
            for listed in entries
        ]

    def set_list(self, page: bytes) -> None:
        """Store the current list."""
        self._entries = parse_upstreams(page)[0]

    def tick(self, now: float) -> None:
        """Send orders that are due; called every 0.1 s while this process leads."""
        self._ticked_at = now
        if not self._leads or not self._entries:
            return
        lease_expired = now - self._leading_since >= LEASE_FACTOR * self._lease_s
        is_answered = self._unanswered < MAX_UNANSWERED_ORDERS or now - self._unanswered_at >= MOVE_TIMEOUT_S
        may_order = (
            lease_expired
            and is_answered
            and self._order_task is None
            and self._moving.keys() <= self._unconfirmed
        )
        self._probe_moving(now)
        staying = [entry for entry in self._entries if entry.id not in self._moving]
        orders = self._plan.due_orders(staying, self._loads(), now, may_order)
        if orders:
            self._order_task = asyncio.get_running_loop().create_task(self._send_orders(orders))
            self._order_task.add_done_callback(self._on_orders_done)

    def _probe_moving(self, now: float) -> None:
        """Probe the moving upstreams that are due."""
        self._probed_at = {
            upstream_id: self._probed_at.get(upstream_id, now)
            for upstream_id in self._moving.keys() - self._unconfirmed
        }
        for entry in self._entries:
            if entry.id in self._probed_at and now - self._probed_at[entry.id] >= PROBE_INTERVAL_S:
                self._probed_at[entry.id] = now
                task = asyncio.get_running_loop().create_task(self._probe(entry))
                self._probe_tasks.add(task)
                task.add_done_callback(self._probe_tasks.discard)

    async def _probe(self, upstream: Upstream) -> None:
        move = self._moving.get(upstream.id)
        is_up = await is_reachable(upstream)
        if not is_up and move is not None and self._moving.get(upstream.id) is move:
            logger.warning("event=move_lost upstream={} phase={}", upstream.id, move[0])
            self._mark_unconfirmed(upstream)

    def _mark_unconfirmed(self, upstream: Upstream) -> None:
        """Mark a move as unconfirmed: balancers avoid the upstream, and the next order need not wait."""
        self._unconfirmed.add(upstream.id)
        self._plan.allow_next_order(upstream.svc)

    def _on_orders_done(self, task: asyncio.Task[None]) -> None:
        self._order_task = None
        if not task.cancelled() and (error := task.exception()) is not None:
            logger.error("event=order_failed error={!r}", str(error))

    async def _send_orders(self, orders: list[Order]) -> None:
        loop = asyncio.get_running_loop()
        for order in orders:
            self._moving[order.upstream.id] = (order.phase, loop.time() + MOVE_TIMEOUT_S)
        self._on_change()
        await asyncio.sleep(PROPAGATION_S)
        epoch = await self._confirm_epoch()
        if epoch > self._refused_fence:
            answers = await asyncio.gather(*(self._send_order(order, epoch) for order in orders))
            self._unanswered = 0 if any(answers) else self._unanswered + 1
            self._unanswered_at = self._ticked_at
        else:
            for order in orders:  # none was sent, so the next need not wait
                self._moving.pop(order.upstream.id, None)
                self._plan.allow_next_order(order.upstream.svc)
        self._on_change()

    async def _send_order(self, order: Order, epoch: int) -> bool:
        """Send one order; returns whether it was answered."""
        name = order.upstream.id
        outcome = await change_phase(order.upstream, order.phase, self._owner, epoch)
        logger.info(
            "event=ordered upstream={} phase={} fence={} outcome={}", name, order.phase, epoch, outcome
        )
        if isinstance(outcome, Rejected):
            self._moving.pop(name, None)
            if outcome.status == FENCED_STATUS:
                self._on_fence_refused(epoch)
        elif not isinstance(outcome, Taken):
            self._mark_unconfirmed(order.upstream)
            return False
        else:
            self._epoch_step = 1
        return True

    def _on_fence_refused(self, fence: int) -> None:
        """Request a higher epoch after an upstream refused the fencing token.

        A primary of an earlier core, since replaced, has used a higher token, and the refusal does not tell
        how high. So the next epoch exceeds the refused one by a step that doubles with each refusal in a row.
        """
        if fence <= self._refused_fence:
            return  # another upstream has refused the same token
        self._refused_fence = fence
        self._on_newer_epoch(fence + self._epoch_step)
        self._epoch_step = min(2 * self._epoch_step, MAX_EPOCH_STEP)
