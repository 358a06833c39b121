"""Orders of a new primary: loads are measured from the start, and orders sent once the lease has expired."""

from __future__ import annotations

import asyncio

import pytest

import control.phase_controller
from config.configuration import Upstream
from control.orders import Outcome, Rejected, Taken, Unclear
from control.phase_controller import LEASE_FACTOR, MAX_UNANSWERED_ORDERS, MOVE_TIMEOUT_S, PhaseController
from control.platform import pack
from tests.loopback import run

LEASE_S = 3.0
SentOrders = list[tuple[str, str, int]]


def entry(name: str, phase: str) -> dict[str, object]:
    return {"id": name, "svc": "llm", "addr": f"10.0.0.{name[-1]}:80", "zone": "a", "state": "up",
            "capacity": 64, "phase": phase, "ver": "v1"}  # fmt: skip


@pytest.fixture
def sent_orders(monkeypatch: pytest.MonkeyPatch) -> SentOrders:
    orders: SentOrders = []

    async def change(upstream: Upstream, phase: str, owner: str, fence: int) -> Outcome:
        orders.append((upstream.id, phase, fence))
        return Taken()

    async def is_reachable(upstream: Upstream) -> bool:
        return True

    monkeypatch.setattr(control.phase_controller, "change_phase", change)
    monkeypatch.setattr(control.phase_controller, "is_reachable", is_reachable)
    monkeypatch.setattr(control.phase_controller, "PROPAGATION_S", 0.0)
    return orders


async def epoch() -> int:
    return 7


async def wait_for_tasks() -> None:
    """Wait for all other tasks."""
    current = asyncio.current_task()
    while others := asyncio.all_tasks() - {current}:
        await asyncio.gather(*others)


def controller_of(
    *entries: dict[str, object], loads: dict[str, tuple[int, int]] | None = None
) -> PhaseController:
    controller = PhaseController(
        "core-1", LEASE_S, epoch, lambda: loads or {}, lambda: None, lambda epoch: None
    )
    controller.set_leading(True, 0.0)
    controller.set_list(pack(list(entries)))
    return controller


def crowded_decode_tier() -> tuple[list[dict[str, object]], PhaseController]:
    """Three prefill upstreams, the first idle, and a decode upstream with more calls than capacity."""
    entries = [*(entry(name, "prefill") for name in ("r1", "r2", "r3")), entry("a1", "decode")]
    return entries, controller_of(*entries, loads={"r2": (2, 900), "r3": (3, 900), "a1": (90, 0)})


async def tick_between(controller: PhaseController, first: float, last: float) -> None:
    for tick in range(round(first * 10), round(last * 10)):
        controller.tick(tick / 10)
        await wait_for_tasks()


def test_an_order_that_had_to_wait_for_the_lease_is_given_at_its_end(sent_orders: SentOrders) -> None:
    """An order that was due but not allowed counted as sent, so the next one waited for the interval."""

    async def scene() -> None:
        controller = controller_of(entry("r1", "prefill"), entry("r2", "prefill"), entry("r3", "prefill"))
        await tick_between(controller, 0.0, LEASE_FACTOR * LEASE_S)
        assert sent_orders == []
        await tick_between(controller, LEASE_FACTOR * LEASE_S, LEASE_FACTOR * LEASE_S + 0.2)
        assert sent_orders == [("r1", "decode", 7), ("r2", "decode", 7)]

    run(scene())


def test_nothing_more_is_ordered_while_upstreams_move(sent_orders: SentOrders) -> None:
    async def scene() -> None:
        controller = controller_of(entry("r1", "prefill"), entry("r2", "prefill"), entry("r3", "prefill"))
        await tick_between(controller, 0.0, 8.0)
        assert len(sent_orders) == 2
        page = controller.mark_moving([entry(f"r{n}", "prefill") for n in (1, 2, 3)], 8.0)
        assert [e["phase"] for e in page] == ["moving", "moving", "prefill"]
        controller.mark_moving([entry("r1", "decode"), entry("r2", "decode"), entry("r3", "prefill")], 8.5)
        controller.set_list(pack([entry("r3", "prefill")]))  # both are gone
        await tick_between(controller, 8.5, 9.0)
        assert sent_orders[2:] == [("r3", "decode", 7)]

    run(scene())


def test_an_order_without_an_answer_goes_to_another_upstream_at_once(
    sent_orders: SentOrders, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first upstream to be ordered was gone, and the next was ordered only eight seconds later."""

    async def refused(upstream: Upstream, phase: str, owner: str, fence: int) -> Outcome:
        sent_orders.append((upstream.id, phase, fence))
        return Unclear("refused") if upstream.id == "r1" else Taken()

    monkeypatch.setattr(control.phase_controller, "change_phase", refused)

    async def scene() -> None:
        entries, controller = crowded_decode_tier()
        lease = LEASE_FACTOR * LEASE_S
        await tick_between(controller, 0.0, lease + 0.2)
        assert [name for name, _, _ in sent_orders] == ["r1", "r2"]
        page = controller.mark_moving(entries, lease + 0.2)
        assert [e["phase"] for e in page] == ["moving", "moving", "prefill", "decode"]
        controller.set_list(pack(page))
        await tick_between(controller, lease + 0.2, lease + 7.0)
        assert len(sent_orders) == 2  # the second one is moving

    run(scene())


def test_a_primary_that_reaches_no_upstream_takes_few_of_them_from_service(
    sent_orders: SentOrders, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Order after order had no answer, and all these upstreams counted as moving."""
    answers: list[Outcome] = []

    async def unanswered(upstream: Upstream, phase: str, owner: str, fence: int) -> Outcome:
        sent_orders.append((upstream.id, phase, fence))
        return answers.pop(0) if answers else Unclear("nobody answers")

    monkeypatch.setattr(control.phase_controller, "change_phase", unanswered)

    async def scene() -> None:
        entries = [entry(f"r{n}", "prefill") for n in range(1, 8)] + [entry("a1", "decode")]
        loads = {f"r{n}": (1, 0) for n in range(1, 8)} | {"a1": (90, 0)}
        controller = controller_of(*entries, loads=loads)
        lease = LEASE_FACTOR * LEASE_S
        await tick_between(controller, 0.0, lease + 5.0)
        assert len(sent_orders) == MAX_UNANSWERED_ORDERS
        await tick_between(controller, lease + 5.0, lease + MOVE_TIMEOUT_S + 1.0)
        assert len(sent_orders) == MAX_UNANSWERED_ORDERS + 1  # one more, once the first ones are given up
        answers.append(Rejected(409))
        await tick_between(controller, lease + MOVE_TIMEOUT_S + 1.0, lease + 3 * MOVE_TIMEOUT_S)
        assert len(sent_orders) > MAX_UNANSWERED_ORDERS + 2  # one has answered, so the network is working

    run(scene())


def test_a_primary_that_changes_the_view_and_goes_on_waits_for_no_lease_anew(sent_orders: SentOrders) -> None:
    """After a lost backup no orders were sent for 3.6 s, and moving upstreams were given work again."""

    async def scene() -> None:
        entries = [entry("r1", "prefill"), entry("r2", "prefill"), entry("r3", "prefill")]
        controller = controller_of(*entries)
        lease = LEASE_FACTOR * LEASE_S
        await tick_between(controller, 0.0, lease + 0.2)
        assert sent_orders == [("r1", "decode", 7), ("r2", "decode", 7)]
        controller.set_leading(False, lease + 3.0)
        await tick_between(controller, lease + 3.0, lease + 3.2)
        controller.set_leading(True, lease + 3.2, is_continued=True)
        page = controller.mark_moving(entries, lease + 3.2)
        assert [e["phase"] for e in page] == ["moving", "moving", "prefill"]
        controller.mark_moving(
            [entry("r1", "decode"), entry("r2", "decode"), entry("r3", "prefill")], lease + 3.3
        )
        controller.set_list(pack([entry("r3", "prefill")]))  # both are gone
        # Only the interval after the first two orders is waited for.
        await tick_between(controller, lease + 3.3, lease + 4.3)
        assert sent_orders[2:] == [("r3", "decode", 7)]

    run(scene())


def test_a_primary_that_comes_back_after_another_waits_for_the_lease(sent_orders: SentOrders) -> None:
    async def scene() -> None:
        controller = controller_of(entry("r1", "prefill"), entry("r2", "prefill"), entry("r3", "prefill"))
        lease = LEASE_FACTOR * LEASE_S
        await tick_between(controller, 0.0, lease + 0.2)
        assert len(sent_orders) == 2
        controller.set_leading(False, lease + 0.2)
        controller.set_leading(True, 20.0)
        page = controller.mark_moving([entry("r1", "prefill")], 20.0)
        assert [e["phase"] for e in page] == ["prefill"]
        await tick_between(controller, 20.0, 20.0 + lease)
        assert len(sent_orders) == 2
        await tick_between(controller, 20.0 + lease, 20.2 + lease)
        assert len(sent_orders) == 4

    run(scene())


def test_orders_that_could_not_be_proved_are_given_in_the_next_term_at_once(sent_orders: SentOrders) -> None:
    """The view changes in the 0.15 s between publishing the move and sending the order."""

    async def scene() -> None:
        epochs = [0, 8]

        async def confirm_epoch() -> int:
            return epochs.pop(0)

        controller = PhaseController(
            "core-1", LEASE_S, confirm_epoch, lambda: {}, lambda: None, lambda epoch: None
        )
        controller.set_leading(True, 0.0)
        controller.set_list(pack([entry("r1", "prefill"), entry("r2", "prefill"), entry("r3", "prefill")]))
        lease = LEASE_FACTOR * LEASE_S
        await tick_between(controller, 0.0, lease + 0.1)
        assert sent_orders == [] and epochs == [8]
        controller.set_leading(False, lease + 0.1)
        controller.set_leading(True, lease + 0.2, is_continued=True)
        await tick_between(controller, lease + 0.2, lease + 0.4)
        assert [fence for _, _, fence in sent_orders] == [8, 8]


def test_one_that_is_gone_before_its_move_is_over_holds_up_no_order(
    sent_orders: SentOrders, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Day drawn-0006 (every kind) of magnolia-shelf: an ordered upstream vanished and blocked all for 8 s."""
    asked: list[str] = []

    async def is_reachable(upstream: Upstream) -> bool:
        asked.append(upstream.id)
        return upstream.id != "r1"

    monkeypatch.setattr(control.phase_controller, "is_reachable", is_reachable)

    async def scene() -> None:
        entries, controller = crowded_decode_tier()
        lease = LEASE_FACTOR * LEASE_S
        await tick_between(controller, 0.0, lease + 0.9)
        assert [name for name, _, _ in sent_orders] == ["r1"] and not asked
        await tick_between(controller, lease + 0.9, lease + 1.5)
        assert asked == ["r1"]
        assert [name for name, _, _ in sent_orders] == ["r1", "r2"]
        page = controller.mark_moving(entries, lease + 1.5)
        assert [e["phase"] for e in page] == ["moving", "moving", "prefill", "decode"]
        await tick_between(controller, lease + 1.5, lease + 6.9)
        assert set(asked) == {"r1", "r2"} and len(asked) <= 7  # one probe a second, none of a lost upstream
        assert len(sent_orders) == 2  # the second one is reachable and moving

    run(scene())


def test_who_leads_no_longer_orders_nothing(sent_orders: SentOrders) -> None:
    async def scene() -> None:
        controller = controller_of(entry("r1", "prefill"), entry("r2", "prefill"))
        await tick_between(controller, 0.0, 3.0)
        controller.set_leading(False, 3.0)
        await tick_between(controller, 3.0, 20.0)
        assert sent_orders == []

    run(scene())


def test_a_fence_that_was_refused_is_not_used_again_and_the_next_epoch_is_above_it(
    sent_orders: SentOrders, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A new core counts epochs from 1, while upstreams have seen higher tokens of the core before."""
    epochs, exceeded_epochs = [7], list[int]()

    async def fenced(upstream: Upstream, phase: str, owner: str, fence: int) -> Outcome:
        sent_orders.append((upstream.id, phase, fence))
        return Taken() if fence > 10 else Rejected(412)

    async def confirm_epoch() -> int:
        return epochs[-1]

    async def scene() -> None:
        monkeypatch.setattr(control.phase_controller, "change_phase", fenced)
        controller = PhaseController(
            "core-1", LEASE_S, confirm_epoch, lambda: {}, lambda: None, exceeded_epochs.append
        )
        controller.set_leading(True, 0.0)
        controller.set_list(pack([entry(name, "prefill") for name in ("r1", "r2", "r3")]))
        for first in range(0, 60, 3):
            await tick_between(controller, float(first), first + 3.0)
            if exceeded_epochs and exceeded_epochs[-1] >= epochs[-1]:
                epochs.append(exceeded_epochs[-1] + 1)
                controller.set_leading(True, float(first), is_continued=True)

    run(scene())
    fences = [fence for _, _, fence in sent_orders]
    assert fences == [7, 7, 9, 9, 12, 12]  # two upstreams are ordered at once each time
    assert exceeded_epochs == [8, 11]
