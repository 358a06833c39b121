"""Load steps: both sides agree, the largest errors go first, bandwidth is bounded, gaps are repaired."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from config.errors import GapError
from control.node import KINDS
from control.publisher import Publisher
from dissemination.latest_updates import LatestUpdates
from dissemination.load_steps import (
    BURST_S,
    BYTES_S,
    MAX_INDEXES,
    MAX_INT32,
    Figures,
    Loads,
    LoadStepEncoder,
    LoadTable,
)
from dissemination.loads import LoadSum, PeerLoads
from dissemination.messages import (
    Attach,
    Hello,
    LeaderHeartbeat,
    LoadReport,
    LoadReportStep,
    LoadStep,
    LoadUpdate,
    UpstreamChange,
    UpstreamListUpdate,
    UpstreamLoad,
)
from tests.fabric_callers import upstream
from tests.fabric_scenes import start_fleet
from tests.fabric_world import Machine, World, play
from tests.test_dissemination_loads import SUM_TIMEOUT_S, describe_loads, set_loads, sums_are_right
from tests.test_dissemination_news import wait_settled
from tests.test_transport_strangers import connect, port_of


async def publish_list(world: World, entries: list[dict[str, Any]]) -> None:
    """Set the platform's list and wait until all balancers have it."""
    world.platform.entries = entries
    names = sorted(e["id"] for e in entries)
    await world.wait_until(lambda: all(sorted(m.plane.ids) == names for m in world.edges()), 2.5, "the list")


def clean(loads: Loads) -> Loads:
    return {u: load for u, load in loads.items() if load != (0, 0)}


@pytest.mark.parametrize("bytes_s", [2_000, BYTES_S, 1e9])
def test_the_other_side_follows_and_is_right_once_there_is_time(bytes_s: float) -> None:
    rng, loads = random.Random(1), {f"u{n}": (n % 3, n % 5 * 100) for n in range(120)}
    encoder, table, now, number = LoadStepEncoder(bytes_s), LoadTable(), 10.0, 1
    assert table.take(1, 0, *encoder.whole(loads)) is not None
    assert clean(table.loads) == clean(loads)
    for _ in range(500):
        for name in rng.sample(sorted(loads), 20):
            loads[name] = (rng.randint(0, 4), rng.randint(0, 3) * 1_000)
            encoder.mark_changed([name])
        now += 0.04
        if (found := encoder.step(loads, now)) is not None:
            before = table.take(number + 1, number, *found)
            assert before is not None
            number += 1
    while encoder.pending():
        now += 0.04
        found = encoder.step(loads, now)
        if found is not None:
            assert table.take(number + 1, number, *found) is not None
            number += 1
    assert clean(table.loads) == clean(loads)


def test_steps_stay_within_their_bytes_whatever_changes() -> None:
    """Sending all loads by name would exceed a balancer's bandwidth 77 times."""
    rng, names = random.Random(2), [f"i-{n:08x}" for n in range(2_800)]
    loads = dict.fromkeys(names, (9, 9_000))
    encoder, now, sent, number = LoadStepEncoder(), 0.0, 0, 1
    encoder.whole(loads)
    for _ in range(250):
        now += 0.04
        for name in rng.choices(names, k=384):  # 9,600 changes a second
            loads[name] = (rng.randint(0, 40), rng.randint(0, 4) * 12_000)
            encoder.mark_changed([name])
        if (found := encoder.step(loads, now)) is not None:
            sent += len(KINDS.encode(LoadStep(7, number + 1, number, *found)))
            number += 1
    assert 0.7 * BYTES_S < sent / now < 1.2 * BYTES_S + BURST_S * BYTES_S / now


def test_what_is_most_wrong_goes_first() -> None:
    loads = {f"u{n:03d}": (20, 0) for n in range(400)}
    encoder = LoadStepEncoder()
    encoder.whole(loads)
    for name in loads:
        loads[name] = (21, 0)
    loads["u399"] = loads["u200"] = (0, 0)
    loads["u300"] = (20, 40_000)
    encoder.mark_changed(loads)
    found = encoder.step(loads, 1.0)
    assert found is not None
    indexes = found[1][::3]
    assert {200, 300, 399} <= set(indexes) and len(indexes) < 250


def test_nothing_waits_for_ever_while_more_changes_than_may_be_told() -> None:
    """Frequent small changes, of one call each, must not keep all other changes from being sent."""
    rng, busy, calm = random.Random(3), [f"r{n}" for n in range(1_200)], [f"d{n}" for n in range(1_600)]
    loads = dict.fromkeys(calm, (20, 0)) | dict.fromkeys(busy, (0, 0))
    encoder, table, now, number = LoadStepEncoder(), LoadTable(), 0.0, 1
    table.take(1, 0, *encoder.whole({}))
    encoder.mark_changed(loads)
    while now < 4.0:
        now += 0.04
        for name in rng.choices(busy, k=190):  # 4,800 changes a second
            loads[name] = (1 - loads[name][0], 12_000 * (1 - loads[name][0]))
            encoder.mark_changed([name])
        if (found := encoder.step(loads, now)) is not None:
            assert table.take(number + 1, number, *found) is not None
            number += 1
    assert all(table.loads.get(name) == (20, 0) for name in calm)
    assert sum(table.loads.get(name, (0, 0)) == loads[name] for name in busy) > 0.55 * len(busy)


def test_a_name_crosses_once_and_places_of_what_is_gone_begin_anew() -> None:
    encoder, loads = LoadStepEncoder(1e9), {"a": (1, 1)}
    assert encoder.whole(loads) == (("a",), (0, 1, 1))
    loads |= {"a": (2, 1), "b": (5, 0)}
    encoder.mark_changed(["a", "b"])
    assert encoder.step(loads, 1.0) == (("b",), (0, 2, 1, 1, 5, 0))
    encoder.mark_changed(["a", "b"])
    assert encoder.step(loads, 2.0) is None  # unchanged
    assert not encoder.needs_restart(2)
    for n in range(3_000):
        loads = {f"n{n}": (1, 0)}
        encoder.mark_changed(loads)
        encoder.step(loads, 3.0 + n)
    assert encoder.needs_restart(1)
    encoder.whole(loads)
    assert not encoder.needs_restart(1)


@pytest.mark.parametrize(
    ("number", "base", "names", "figures"),
    [
        (9, 5, [], []),  # unknown base
        (9, 1, [], [0, 1]),
        (9, 1, [], [1, 1, 1]),  # unknown index
        (9, 1, [], [-1, 1, 1]),
        (9, 0, ["x"] * (MAX_INDEXES + 1), []),
    ],
)
def test_what_does_not_follow_changes_nothing(number: int, base: int, names: Any, figures: Any) -> None:
    table = LoadTable()
    table.take(1, 0, ["a"], [0, 3, 4])
    assert table.take(number, base, names, figures) is None
    assert table.loads == {"a": (3, 4)} and table.number == 1
    assert table.take(2, 1, ["b"], [1, -7, 2**62]) == {"b": (0, 0)}
    assert table.loads == {"a": (3, 4), "b": (0, MAX_INT32)}


def test_the_bulletin_keeps_steps_and_tells_both_editions() -> None:
    latest = LatestUpdates()
    assert latest.apply_step(LoadStep(2, 5, 0, ("a", "b"), (0, 1, 10, 1, 2, 20))) == {
        "a": (0, 0),
        "b": (0, 0),
    }
    assert latest.apply_step(LoadStep(2, 6, 5, ("c",), (0, 0, 0, 2, 4, 0))) == {"a": (1, 10), "c": (0, 0)}
    whole = LoadUpdate(2, 6, (UpstreamLoad("b", 2, 20), UpstreamLoad("c", 4, 0)))
    assert latest.full_loads() == whole
    assert latest.updates_since(0, (0, 0)) == [whole]
    newcomer = LatestUpdates()
    (step,) = latest.updates_since(0, (0, 0), steps=True)
    assert isinstance(step, LoadStep) and newcomer.apply_step(step) is not None
    later = LoadStep(2, 9, 6, (), (1, 7, 7))
    assert newcomer.apply_step(later) == latest.apply_step(later) == {"b": (2, 20)}
    assert newcomer.current_loads() == clean(latest.current_loads())
    with pytest.raises(GapError, match="attach again"):
        latest.apply_step(LoadStep(2, 11, 10, (), ()))
    assert latest.apply_step(LoadStep(1, 99, 0, ("z",), (0, 1, 1))) is None  # of an earlier term
    assert latest.store(LoadUpdate(3, 1, ())) and latest.current_loads() == {}
    with pytest.raises(GapError):
        latest.apply_step(LoadStep(3, 2, 1, (), ()))


def test_sums_of_steps_and_whole_reports_are_the_same() -> None:
    async def scene(world: World) -> None:
        steps: list[tuple[Figures, bool]] = []
        total = LoadSum(lambda: {"a": (1, 1)}, lambda packed: None, lambda f, whole: steps.append((f, whole)))
        total.report("x", LoadReport((UpstreamLoad("a", 4, 4), UpstreamLoad("b", 1, 0))))
        assert total.report_step("y", LoadReportStep(1, 0, ("b",), (0, 2, 2)))
        assert total.total() == {"a": (5, 5), "b": (3, 2)}
        assert total.report_step("y", LoadReportStep(2, 1, ("c",), (0, 0, 0, 1, 9, 9)))
        assert total.total() == {"a": (5, 5), "b": (1, 0), "c": (9, 9)}
        assert not total.report_step("y", LoadReportStep(9, 8, (), ()))
        assert not total.report_step("z", LoadReportStep(2, 1, (), ()))
        total.remove_child("x")
        total.remove_child("y")
        assert total.total() == {"a": (1, 1)}
        await world.wait(0.1)
        assert steps == [((("a",), (0, 1, 1)), False)]
        total.resend_steps()
        assert steps[1:] == [((("a",), (0, 1, 1)), True)]

    play(scene, starts=False)


def test_others_follow_steps_and_our_own_reports() -> None:
    others = PeerLoads()
    others.step({"a": (5, 50), "b": (1, 1)}, ["a", "b"], {"a": (2, 60)})
    assert others.of("a") == (3, 0) and others.of("b") == (1, 1)
    # one of this balancer's calls ended and another balancer's began
    others.step({"a": (5, 50), "b": (1, 1)}, [], {"b": (1, 1)})
    assert others.of("a") == (5, 50) and others.of("b") == (0, 0)


# ---- gaps


def test_a_step_that_is_missing_is_noticed_and_mended() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        await wait_settled(world)
        set_loads(world)
        await world.wait_until(lambda: sums_are_right(world), SUM_TIMEOUT_S)
        for machine in world.edges():
            machine.role._latest.load_table.number -= 1  # as if a step had been lost
        set_loads(world, 2)
        await world.wait_until(lambda: sums_are_right(world), 2.0, describe_loads(world))
        assert any("event=gap" in line for line in world.transcript.logs)
        assert len(world.transcript.messages(Attach)) < 40

    play(scene, edges=4, zones=1)


def test_a_change_of_another_list_is_noticed_and_mended() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        relay = await wait_settled(world)
        await publish_list(world, [upstream(f"i-{n}") for n in range(20)])
        victim = next(m for m in world.edges() if m.name != relay).role
        known = victim._latest.upstreams
        victim._latest.upstreams = UpstreamListUpdate(known.epoch, known.number, b'{"upstreams":[]}')
        since = world.now()
        await publish_list(world, [upstream(f"i-{n}") for n in range(1, 20)])
        whole = [entry for entry in world.transcript.messages(UpstreamListUpdate) if entry[0] > since]
        changes = [entry for entry in world.transcript.messages(UpstreamChange) if entry[0] > since]
        assert len(whole) == 1 and len(changes) == 4

    play(scene, edges=4, zones=1)


# ---- two editions side by side


def is_unknown_to_earlier_core(message: Any) -> bool:
    """Return whether a core of the earlier edition ignores this message."""
    return isinstance(message, Hello | LoadReportStep)


def test_balancers_of_this_edition_below_a_core_of_the_one_before(monkeypatch: pytest.MonkeyPatch) -> None:
    on_message = Publisher.on_message
    monkeypatch.setattr(
        Publisher,
        "on_message",
        lambda self, link, m: None if is_unknown_to_earlier_core(m) else on_message(self, link, m),
    )

    async def scene(world: World) -> None:
        await start_fleet(world)
        await wait_settled(world)
        await publish_list(world, [upstream(f"i-{n}") for n in range(20)])
        set_loads(world)
        await world.wait_until(lambda: sums_are_right(world), SUM_TIMEOUT_S, describe_loads(world))
        await publish_list(world, world.platform.entries[1:])
        set_loads(world, 3)
        await world.wait_until(lambda: sums_are_right(world), SUM_TIMEOUT_S, describe_loads(world))
        steps = world.transcript.messages(LoadStep)
        assert not [entry for entry in steps if entry[1].startswith("core")]
        assert world.transcript.messages(LoadUpdate)

    play(scene, edges=12, zones=1)


@pytest.mark.parametrize("below", ["core", "relay"])
def test_a_balancer_of_the_edition_before_hears_all_whole(below: str) -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        relay = await wait_settled(world)
        await publish_list(world, [upstream(f"i-{n}") for n in range(20)])
        name = world.primary() if below == "core" else relay
        old = await connect(world.machines[name].ip, port_of(world, name))
        old.transport.write(KINDS.encode(Attach("edge-old", "10.1.1.99", "hall-a", 0, 0, 0)))
        report = LoadReport((UpstreamLoad("i-1", 7, 700),))
        old.transport.write(KINDS.encode(report))
        set_loads(world)
        calls = sum(m.plane.current_loads["i-1"][0] for m in world.edges()) + 7

        def knows(machine: Machine) -> bool:
            return bool(machine.plane.other_loads("i-1")[0] + machine.plane.current_loads["i-1"][0] == calls)

        await world.wait_until(lambda: all(knows(m) for m in world.edges()), SUM_TIMEOUT_S, "its load counts")
        await world.wait(0.2)
        await publish_list(world, world.platform.entries[1:])
        await world.wait(0.1)
        got = [m for _, here, there, m in world.transcript.received if here == name and there == "stranger"]
        assert not [m for m in got if isinstance(m, UpstreamChange | LoadStep | Hello)]
        assert [m for m in got if isinstance(m, LeaderHeartbeat)]
        lists = [m for m in got if isinstance(m, UpstreamListUpdate)]
        assert len(lists) == 2 and lists[-1].page == world.edges()[0].role._latest.upstreams.page
        sums = [m for m in got if isinstance(m, LoadUpdate)][-1]
        assert {e.upstream: e.calls for e in sums.loads} == {"i-1": calls}
        old.transport.abort()
        await world.wait_until(lambda: sums_are_right(world), SUM_TIMEOUT_S, "it has gone")

    play(scene, edges=4, zones=1)


def test_steps_cross_the_wire_as_they_are() -> None:
    step = LoadStep(1, 2, 0, ("a",), (0, 1, 2))
    report = LoadReportStep(2, 1, (), (5, 0, 0))
    for message in (step, report, Hello(3, b"\0"), UpstreamChange(1, 2, b"a", b"b", b"[]", ("x",))):
        frame = KINDS.encode(message)
        assert KINDS.decode(int.from_bytes(frame[4:6], "big"), frame[6:]) == message


def test_the_first_message_of_a_connection_says_the_edition() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        received = [m for _, here, _, m in world.transcript.received if here.startswith("edge")]
        assert isinstance(received[0], Hello) and isinstance(received[1], Attach)
        await asyncio.sleep(0)

    play(scene, edges=1)
