"""Orders of a new primary: measured from its first moment on, given as soon as its lease allows."""

from __future__ import annotations

import asyncio

import pytest

import control.phase_controller
from config.configuration import Upstream
from control.orders import Outcome, Rejected, Taken, Unclear
from control.phase_controller import LEASE_SPARE, MOVING_S, UNHEARD, PhaseController
from control.platform import pack
from tests.loopback import run

LEASE_S = 3.0
Given = list[tuple[str, str, int]]


def entry(name: str, phase: str) -> dict[str, object]:
    return {"id": name, "svc": "llm", "addr": f"10.0.0.{name[-1]}:80", "zone": "a", "state": "up",
            "capacity": 64, "phase": phase, "ver": "v1"}  # fmt: skip


@pytest.fixture
def given(monkeypatch: pytest.MonkeyPatch) -> Given:
    orders: Given = []

    async def change(upstream: Upstream, phase: str, owner: str, fence: int) -> Outcome:
        orders.append((upstream.id, phase, fence))
        return Taken()

    async def is_there(upstream: Upstream) -> bool:
        return True

    monkeypatch.setattr(control.phase_controller, "change_phase", change)
    monkeypatch.setattr(control.phase_controller, "is_there", is_there)
    monkeypatch.setattr(control.phase_controller, "TOLD_S", 0.0)
    return orders


async def epoch() -> int:
    return 7


async def settle() -> None:
    """Until all that was begun is done."""
    mine = asyncio.current_task()
    while others := asyncio.all_tasks() - {mine}:
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


def crowded() -> tuple[list[dict[str, object]], PhaseController]:
    """Three that read, the first without work, and one that makes answers and has more calls than places."""
    entries = [*(entry(name, "prefill") for name in ("r1", "r2", "r3")), entry("a1", "decode")]
    return entries, controller_of(*entries, loads={"r2": (2, 900), "r3": (3, 900), "a1": (90, 0)})


async def look(controller: PhaseController, first: float, last: float) -> None:
    for tick in range(round(first * 10), round(last * 10)):
        controller.tick(tick / 10)
        await settle()


def test_an_order_that_had_to_wait_for_the_lease_is_given_at_its_end(given: Given) -> None:
    """Found in a day without an upstream to answer: what was due and not allowed used up its pause."""

    async def scene() -> None:
        controller = controller_of(entry("r1", "prefill"), entry("r2", "prefill"), entry("r3", "prefill"))
        await look(controller, 0.0, LEASE_SPARE * LEASE_S)
        assert given == []
        await look(controller, LEASE_SPARE * LEASE_S, LEASE_SPARE * LEASE_S + 0.2)
        assert given == [("r1", "decode", 7), ("r2", "decode", 7)]

    run(scene())


def test_nothing_more_is_ordered_while_upstreams_move(given: Given) -> None:
    async def scene() -> None:
        controller = controller_of(entry("r1", "prefill"), entry("r2", "prefill"), entry("r3", "prefill"))
        await look(controller, 0.0, 8.0)
        assert len(given) == 2
        page = controller.mark_moving([entry(f"r{n}", "prefill") for n in (1, 2, 3)], 8.0)
        assert [e["phase"] for e in page] == ["moving", "moving", "prefill"]
        controller.mark_moving([entry("r1", "decode"), entry("r2", "decode"), entry("r3", "prefill")], 8.5)
        controller.set_list(pack([entry("r3", "prefill")]))  # both are gone again
        await look(controller, 8.5, 9.0)
        assert given[2:] == [("r3", "decode", 7)]

    run(scene())


def test_an_order_without_an_answer_goes_to_another_upstream_at_once(
    given: Given, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Found in a day in which the first to be asked was gone, and the next was asked eight seconds later."""

    async def refused(upstream: Upstream, phase: str, owner: str, fence: int) -> Outcome:
        given.append((upstream.id, phase, fence))
        return Unclear("refused") if upstream.id == "r1" else Taken()

    monkeypatch.setattr(control.phase_controller, "change_phase", refused)

    async def scene() -> None:
        entries, controller = crowded()
        lease = LEASE_SPARE * LEASE_S
        await look(controller, 0.0, lease + 0.2)
        assert [name for name, _, _ in given] == ["r1", "r2"]
        page = controller.mark_moving(entries, lease + 0.2)
        assert [e["phase"] for e in page] == ["moving", "moving", "prefill", "decode"]
        controller.set_list(pack(page))
        await look(controller, lease + 0.2, lease + 7.0)
        assert len(given) == 2  # the second one moves

    run(scene())


def test_a_primary_that_reaches_no_upstream_takes_few_of_them_from_service(
    given: Given, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Found by the hollow fleet: order followed order without an answer, and all counted as moving."""
    answers: list[Outcome] = []

    async def unheard(upstream: Upstream, phase: str, owner: str, fence: int) -> Outcome:
        given.append((upstream.id, phase, fence))
        return answers.pop(0) if answers else Unclear("nobody answers")

    monkeypatch.setattr(control.phase_controller, "change_phase", unheard)

    async def scene() -> None:
        entries = [entry(f"r{n}", "prefill") for n in range(1, 8)] + [entry("a1", "decode")]
        loads = {f"r{n}": (1, 0) for n in range(1, 8)} | {"a1": (90, 0)}
        controller = controller_of(*entries, loads=loads)
        lease = LEASE_SPARE * LEASE_S
        await look(controller, 0.0, lease + 5.0)
        assert len(given) == UNHEARD
        await look(controller, lease + 5.0, lease + MOVING_S + 1.0)
        assert len(given) == UNHEARD + 1  # one more, when the first ones are given up
        answers.append(Rejected(409))
        await look(controller, lease + MOVING_S + 1.0, lease + 3 * MOVING_S)
        assert len(given) > UNHEARD + 2  # one has answered: the way is there

    run(scene())


def test_a_primary_that_changes_the_view_and_goes_on_waits_for_no_lease_anew(given: Given) -> None:
    """Found in days with a lost backup: no orders for 3.6 s, and what moved was offered work again."""

    async def scene() -> None:
        entries = [entry("r1", "prefill"), entry("r2", "prefill"), entry("r3", "prefill")]
        controller = controller_of(*entries)
        lease = LEASE_SPARE * LEASE_S
        await look(controller, 0.0, lease + 0.2)
        assert given == [("r1", "decode", 7), ("r2", "decode", 7)]
        controller.set_leading(False, lease + 3.0)
        await look(controller, lease + 3.0, lease + 3.2)
        controller.set_leading(True, lease + 3.2, is_continued=True)
        page = controller.mark_moving(entries, lease + 3.2)
        assert [e["phase"] for e in page] == ["moving", "moving", "prefill"]
        controller.mark_moving(
            [entry("r1", "decode"), entry("r2", "decode"), entry("r3", "prefill")], lease + 3.3
        )
        controller.set_list(pack([entry("r3", "prefill")]))  # both are gone again
        await look(controller, lease + 3.3, lease + 4.3)  # only the pause after the first two is waited for
        assert given[2:] == [("r3", "decode", 7)]

    run(scene())


def test_a_primary_that_comes_back_after_another_waits_for_the_lease(given: Given) -> None:
    async def scene() -> None:
        controller = controller_of(entry("r1", "prefill"), entry("r2", "prefill"), entry("r3", "prefill"))
        lease = LEASE_SPARE * LEASE_S
        await look(controller, 0.0, lease + 0.2)
        assert len(given) == 2
        controller.set_leading(False, lease + 0.2)
        controller.set_leading(True, 20.0)
        page = controller.mark_moving([entry("r1", "prefill")], 20.0)
        assert [e["phase"] for e in page] == ["prefill"]
        await look(controller, 20.0, 20.0 + lease)
        assert len(given) == 2
        await look(controller, 20.0 + lease, 20.2 + lease)
        assert len(given) == 4

    run(scene())


def test_orders_that_could_not_be_proved_are_given_in_the_next_term_at_once(given: Given) -> None:
    """The view changes in the 0.15 s between the telling and the order: nothing was ordered yet."""

    async def scene() -> None:
        epochs = [0, 8]

        async def prove() -> int:
            return epochs.pop(0)

        controller = PhaseController("core-1", LEASE_S, prove, lambda: {}, lambda: None, lambda epoch: None)
        controller.set_leading(True, 0.0)
        controller.set_list(pack([entry("r1", "prefill"), entry("r2", "prefill"), entry("r3", "prefill")]))
        lease = LEASE_SPARE * LEASE_S
        await look(controller, 0.0, lease + 0.1)
        assert given == [] and epochs == [8]
        controller.set_leading(False, lease + 0.1)
        controller.set_leading(True, lease + 0.2, is_continued=True)
        await look(controller, lease + 0.2, lease + 0.4)
        assert [fence for _, _, fence in given] == [8, 8]


def test_one_that_is_gone_before_its_move_is_over_holds_up_no_order(
    given: Given, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Day drawn-0006 (every kind) of magnolia-shelf: it took its order and was gone, for eight seconds."""
    asked: list[str] = []

    async def is_there(upstream: Upstream) -> bool:
        asked.append(upstream.id)
        return upstream.id != "r1"

    monkeypatch.setattr(control.phase_controller, "is_there", is_there)

    async def scene() -> None:
        entries, controller = crowded()
        lease = LEASE_SPARE * LEASE_S
        await look(controller, 0.0, lease + 0.9)
        assert [name for name, _, _ in given] == ["r1"] and not asked
        await look(controller, lease + 0.9, lease + 1.5)
        assert asked == ["r1"]
        assert [name for name, _, _ in given] == ["r1", "r2"]
        page = controller.mark_moving(entries, lease + 1.5)
        assert [e["phase"] for e in page] == ["moving", "moving", "prefill", "decode"]
        await look(controller, lease + 1.5, lease + 6.9)
        assert set(asked) == {"r1", "r2"} and len(asked) <= 7  # one look a second, none at what is lost
        assert len(given) == 2  # the second one is there and moves

    run(scene())


def test_who_leads_no_longer_orders_nothing(given: Given) -> None:
    async def scene() -> None:
        controller = controller_of(entry("r1", "prefill"), entry("r2", "prefill"))
        await look(controller, 0.0, 3.0)
        controller.set_leading(False, 3.0)
        await look(controller, 3.0, 20.0)
        assert given == []

    run(scene())


def test_a_fence_that_was_refused_is_not_used_again_and_the_next_epoch_is_above_it(
    given: Given, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A core that was begun anew counts from 1; an upstream has seen the fences of the one before."""
    epochs, outrun = [7], list[int]()

    async def fenced(upstream: Upstream, phase: str, owner: str, fence: int) -> Outcome:
        given.append((upstream.id, phase, fence))
        return Taken() if fence > 10 else Rejected(412)

    async def prove() -> int:
        return epochs[-1]

    async def scene() -> None:
        monkeypatch.setattr(control.phase_controller, "change_phase", fenced)
        controller = PhaseController("core-1", LEASE_S, prove, lambda: {}, lambda: None, outrun.append)
        controller.set_leading(True, 0.0)
        controller.set_list(pack([entry(name, "prefill") for name in ("r1", "r2", "r3")]))
        for first in range(0, 60, 3):
            await look(controller, float(first), first + 3.0)
            if outrun and outrun[-1] >= epochs[-1]:
                epochs.append(outrun[-1] + 1)
                controller.set_leading(True, float(first), is_continued=True)

    run(scene())
    fences = [fence for _, _, fence in given]
    assert fences == [7, 7, 9, 9, 12, 12]  # two upstreams are ordered at once each time
    assert outrun == [8, 11]
