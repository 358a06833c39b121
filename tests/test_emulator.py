from __future__ import annotations

import math
from dataclasses import replace
from typing import Any, cast

import pytest

from mastturn.emulator import troubles
from mastturn.emulator.baselines import BASELINES, baseline
from mastturn.emulator.chance import Stream
from mastturn.emulator.choke import Choke
from mastturn.emulator.clients import RateWindow, draw_arrivals
from mastturn.emulator.cold import ColdBudget, warmth
from mastturn.emulator.contract import installed
from mastturn.emulator.day import ChokeParameters, Machine, TierParameters
from mastturn.emulator.events import Events
from mastturn.emulator.judge import is_served
from mastturn.emulator.machine import Box
from mastturn.emulator.visit import Visit
from tests.worlds import FLEET, Scripted, a_day, played, version
from umberworks import interface

TIER = TierParameters("front", 0.3, 1.0, 500.0, 100.0, 0.0, 1.0, 1.0, 15_000.0, 150.0, 0.0, None)
MACHINE = Machine("m", 0, "z", 0, "k", 1, 1.0, 100, 2, 0.0, 1e9, 0.5, 4_000.0, 1e9, 0.0, 0.0, 1_000)


class Job:
    """A request that only uses the cores."""

    def __init__(self, box: Box, events: Events, work_ms: float) -> None:
        self.box, self.events, self.work_ms = box, events, work_ms
        self.arrived_ms, self.done_ms = events.now, math.nan

    def begin(self) -> None:
        self.box.work(cast(Visit, self), self.work_ms)

    def on_work_done(self) -> None:
        self.done_ms = self.events.now
        self.box.leave(cast(Visit, self))


class MachineFixture:
    def __init__(self, **changes: Any) -> None:
        self.events = Events()
        self.box = Box(replace(MACHINE, **changes), TIER, self.events, 1)
        self.start = self.events.now

    def put(self, work_ms: float) -> Job:
        job = Job(self.box, self.events, work_ms)
        job.admitted = self.box.admit(cast(Visit, job))  # type: ignore[attr-defined]
        return job

    def run(self, ms: float) -> None:
        self.events.run(self.events.now + ms)


def test_requests_on_one_core_share_it() -> None:
    fixture = MachineFixture()
    short, long = fixture.put(10.0), fixture.put(30.0)
    fixture.run(100.0)
    assert short.done_ms - fixture.start == pytest.approx(20.0)
    assert long.done_ms - fixture.start == pytest.approx(40.0)


def test_two_cores_of_half_the_speed_take_a_request_each() -> None:
    fixture = MachineFixture(cores=2, speed=0.5)
    jobs = [fixture.put(10.0), fixture.put(10.0)]
    fixture.run(100.0)
    assert [job.done_ms - fixture.start for job in jobs] == pytest.approx([20.0, 20.0])


def test_full_slots_fill_the_waiting_room_and_then_turn_away() -> None:
    fixture = MachineFixture(slots=1, queue=2)
    jobs = [fixture.put(10.0) for _ in range(4)]
    assert [job.admitted for job in jobs] == [True, True, True, False]  # type: ignore[attr-defined]
    fixture.run(100.0)
    assert [round(job.done_ms - fixture.start) for job in jobs[:3]] == [10, 20, 30]


def test_a_cold_box_is_slow_and_warms_up() -> None:
    fixture = MachineFixture()
    fixture.box.stop(silent=False)
    fixture.box.start(2.5, 2_000.0)
    assert fixture.box.power() == pytest.approx(0.5)
    fixture.run(2_000.0)
    assert fixture.box.power() == pytest.approx(0.75)
    fixture.run(3_000.0)
    assert fixture.box.power() == pytest.approx(1.0)
    assert fixture.box.budget is None
    assert warmth(0.0, 0.33, 8_600.0) == 0.33


def test_a_cold_box_falls_over_by_work_sent_within_a_window_not_by_the_same_work_over_longer() -> None:
    quick, slow = ColdBudget(2.5, 2_000.0), ColdBudget(2.5, 2_000.0)
    fell = [quick.add_work(600.0, True, 1.0, 100.0 * i) for i in range(20)]
    assert any(fell)
    assert quick.informed_share() == 1.0
    assert not any(slow.add_work(600.0, True, 1.0, 300.0 * i) for i in range(20))


def test_crowding_slows_a_box_and_a_pause_stops_it() -> None:
    fixture = MachineFixture(thrash=0.5, thrash_at=1.0)
    jobs = [fixture.put(10.0), fixture.put(10.0)]
    fixture.run(100.0)
    assert jobs[0].done_ms - fixture.start > 20.0
    still = MachineFixture(pause_ms=50.0, pause_every_ms=10.0)
    still.box.plan_pause()
    job = still.put(1_000.0)
    still.run(1_100.0)
    assert math.isnan(job.done_ms)


def test_a_crowd_that_stays_chokes_a_box_until_it_has_rested() -> None:
    choke = Choke(ChokeParameters(4.0, 2_000.0, 3.0, 3_000.0, 0.4, 22_000.0, 0.06))
    assert not choke.update(5, 1, 0.0)
    assert not choke.update(5, 1, 1_900.0)
    assert choke.update(5, 1, 2_000.0) and choke.factor() == 3.0
    assert not choke.update(0, 1, 3_000.0)
    assert choke.update(0, 1, 6_000.0) and choke.factor() == 1.0


@pytest.mark.parametrize(("cores", "load"), [(1, 0.5), (1, 0.7), (3, 0.7)])
def test_waiting_times_are_those_of_the_closed_forms(cores: int, load: float) -> None:
    """M/M/1 and M/M/c: the mean time follows the Erlang C formula, also under processor sharing."""
    fixture = MachineFixture(cores=cores, slots=10**9)
    rng, jobs = Stream(11, "waits", cores, int(load * 10)), list[Job]()
    mean, count = 10.0, 120_000

    def arrive(_: None) -> None:
        jobs.append(fixture.put(-mean * math.log(1.0 - rng.uniform())))
        if len(jobs) < count:
            fixture.events.after(-mean / (cores * load) * math.log(1.0 - rng.uniform()), arrive)

    fixture.events.after(0.0, arrive)
    fixture.run(count * mean / (cores * load) * 1.2)
    offered = cores * load
    below = sum(offered**k / math.factorial(k) for k in range(cores))
    top = offered**cores / math.factorial(cores) / (1 - load)
    expected = mean + top / (below + top) * mean / (cores * (1 - load))
    measured = math.fsum(job.done_ms - job.arrived_ms for job in jobs) / len(jobs)
    assert measured == pytest.approx(expected, rel=0.03)


def test_one_seed_is_one_day_and_another_seed_another() -> None:
    first, again, other = played(seed=3), played(seed=3), played(seed=4)
    assert first.digest == again.digest and first.parts == again.parts and first.events == again.events
    assert first.digest != other.digest
    assert first.fault is None and not sum(first.judge.rules.values())
    assert len(first.judge.client_requests) > 50 and first.parts.whole > 0.8


def test_a_trouble_leaves_the_draws_of_the_clients_alone() -> None:
    slow = troubles.Slow(at_s=2.0, for_s=4.0, part=0.5, slower=5.0)
    calm, rough = played(), played(slow)
    assert [(f.arrived_ms, f.work_ms, f.brand) for f in calm.judge.client_requests] == [
        (f.arrived_ms, f.work_ms, f.brand) for f in rough.judge.client_requests
    ]
    assert rough.digest != calm.digest


def test_a_burst_brings_more_clients_while_it_lasts() -> None:
    day = a_day()
    calm = draw_arrivals(day, [])
    burst = draw_arrivals(day, [RateWindow(2_000.0, 4_000.0, 4.0)])

    def inside(client_requests: list[Any]) -> int:
        return sum(102_000 <= f.arrived_ms < 104_000 for f in client_requests)

    assert inside(burst) > 2 * inside(calm)


def test_every_request_of_a_day_ends_and_a_served_one_counts() -> None:
    day = played()
    assert all(f.ended_ms > f.arrived_ms for f in day.judge.client_requests)
    for tier, ended in enumerate(day.judge.ended):
        assert sum(ended.values()) + day.judge.counts["left"] <= day.judge.calls[tier]
    assert 0 < sum(is_served(f) for f in day.judge.client_requests) <= len(day.judge.client_requests)
    assert day.parts.g < day.parts.whole
    assert day.parts.prices["handshake"] > 0 and day.parts.prices["cross_zone"] > 0


@pytest.mark.parametrize("name", sorted(BASELINES))
def test_baselines_serve_and_keep_the_rules(name: str) -> None:
    day = played(version=baseline(name))
    assert day.fault is None and not sum(day.judge.rules.values())
    assert day.parts.whole > 0.8


def test_an_oracle_serves_more_than_chance_where_boxes_differ() -> None:
    slow = troubles.Slow(at_s=0.0, for_s=20.0, part=0.4, slower=6.0)
    assert (
        played(slow, version=baseline("oracle")).parts.whole
        > played(slow, version=baseline("random")).parts.whole
    )


ALL_TROUBLES: list[troubles.Trouble] = [
    troubles.Errors(at_s=2.0, for_s=3.0, part=0.3, share=0.5),
    troubles.Pauses(at_s=2.0, for_s=3.0, part=0.5, pause_ms=300.0, every_s=0.5),
    troubles.Neighbour(at_s=2.0, for_s=3.0, part=0.5, taken_share=0.6, phase_s=1.0),
    troubles.Silent(at_s=2.0, for_s=3.0, part=0.3),
    troubles.SharedSlow(at_s=2.0, for_s=3.0, slower=2.0),
    troubles.LateReports(at_s=2.0, for_s=3.0, delay_s=2.0),
    troubles.LateList(at_s=2.0, for_s=3.0, delay_s=2.0),
    troubles.SilentDiscovery(at_s=2.0, for_s=4.0),
    troubles.LostAnswers(at_s=2.0, for_s=3.0, share=0.2),
    troubles.Resets(at_s=2.0, for_s=3.0, share=0.2),
    troubles.LeaveEarly(at_s=2.0, for_s=3.0, share=0.2),
    troubles.CutZone(at_s=2.0, for_s=3.0),
    troubles.LostZone(at_s=2.0, for_s=2.0),
    troubles.Release(at_s=1.0, part=0.5, steps=2, step_s=1.0, drain_s=2.5, down_s=0.3),
    troubles.Release(at_s=1.0, part=0.5, steps=2, step_s=1.0, drain_s=2.5, down_s=0.3, renamed=True),
    troubles.KillBalancers(at_s=3.0, part=0.5, down_s=1.0),
    troubles.RestartBalancers(at_s=1.0, step_part=0.5, step_s=1.0),
]


@pytest.mark.parametrize("trouble", ALL_TROUBLES, ids=lambda t: type(t).__name__)
def test_each_trouble_plays_to_its_end_with_the_rules_kept(trouble: troubles.Trouble) -> None:
    calm, rough = played(), played(trouble)
    assert rough.fault is None
    assert not rough.judge.breaks
    if not isinstance(
        trouble, (troubles.LateReports, troubles.LateList)
    ):  # these two affect only the module's information
        assert rough.digest != calm.digest
    assert rough.parts.whole > 0.2


def test_requests_that_hang_at_silent_boxes_are_told_from_slow_ones() -> None:
    day = played(troubles.Silent(at_s=2.0, for_s=5.0, part=0.4))
    causes = {
        f.loss.cause.value for f in day.judge.client_requests if f.loss is not None and not is_served(f)
    }
    assert "hung at a silent box" in causes


class Raises(Scripted):
    def arrived(self, event: interface.RequestArrived, now: float) -> list[Any]:
        raise RuntimeError("no idea")


class Floods(Scripted):
    def arrived(self, event: interface.RequestArrived, now: float) -> list[Any]:
        return [interface.SetTimer(now + 1, "x")] * 5_000


class Invents(Scripted):
    def arrived(self, event: interface.RequestArrived, now: float) -> list[Any]:
        return [interface.Send(event.request, "nowhere", 1_000.0)]


class SaysNothing(Scripted):
    def arrived(self, event: interface.RequestArrived, now: float) -> list[Any]:
        return []


class SendsTwice(Scripted):
    def arrived(self, event: interface.RequestArrived, now: float) -> list[Any]:
        return [interface.Send(event.request, self.first, 1_000.0)] * 2


@pytest.mark.parametrize(
    ("kind", "words"), [(Raises, "no idea"), (Floods, "5000 actions"), (Invents, "has not named")]
)
def test_a_module_out_of_contract_is_a_fault_with_its_event(kind: type[Scripted], words: str) -> None:
    day = played(version=version(kind))
    assert day.fault is not None and words in day.fault and "RequestArrived" in day.fault
    assert day.parts.g == 0.0


@pytest.mark.parametrize(("kind", "rule"), [(SaysNothing, "lost"), (SendsTwice, "duplicate")])
def test_broken_rules_are_seen_and_make_the_day_nothing(kind: type[Scripted], rule: str) -> None:
    day = played(version=version(kind))
    assert day.judge.rules[rule] > 0 and day.judge.breaks[0].startswith(rule)
    assert day.parts.g == 0.0


def test_sends_to_a_drained_box_after_its_grace_break_the_rule_on_drains() -> None:
    release = troubles.Release(at_s=0.5, part=1.0, steps=1, step_s=1.0, drain_s=6.0, down_s=1.0)
    assert played(release, version=version(Scripted), fleet=replace(FLEET, length_ms=12_000.0)).judge.rules[
        "drain"
    ]


class ToTheNewest(Scripted):
    """Sends every request to the most recently started server in the list."""

    def handle(self, event: Any, now: float) -> list[Any]:
        if isinstance(event, interface.ListUpdate):
            ready = [m for m in event.members if m.readiness is interface.Readiness.READY]
            self.first = max(ready, key=lambda m: m.up_since_ms).server if ready else self.first
            return [interface.Subscribe()] if event.kind is interface.ListKind.SAVED else []
        return super().handle(event, now)


def test_a_cold_box_pushed_over_by_those_who_were_told_of_its_start_breaks_the_rule() -> None:
    release = troubles.Release(
        at_s=0.1, part=0.25, steps=1, step_s=1.0, drain_s=2.0, down_s=0.1, tiers=("front",)
    )
    busy = replace(FLEET, load_share=1.2, length_ms=10_000.0)
    result = played(release, version=version(ToTheNewest), fleet=busy)
    assert result.fallen and result.judge.rules["cold"]


def test_a_balancer_that_dies_leaves_its_callers_to_come_again() -> None:
    day = played(troubles.KillBalancers(at_s=3.0, part=1.0, down_s=0.5))
    assert day.judge.counts["unreached by clients"] > 0
    assert any(f.tries > 1 and is_served(f) for f in day.judge.client_requests)


def test_the_installed_module_is_met_through_its_contract_alone() -> None:
    one, two = installed(), installed()
    assert one.interface is not two.interface and one.interface.Send is not interface.Send
    assert played(version=one).digest == played(version=two).digest
