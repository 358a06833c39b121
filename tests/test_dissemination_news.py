"""Updates reach every balancer in time, whatever happens to relays and control processes."""

from __future__ import annotations

import asyncio
import itertools
from typing import Any

import pytest

from control.node import KINDS
from dissemination.messages import (
    Attach,
    LeaderHeartbeat,
    MembershipUpdate,
    PresentBalancer,
    Redirect,
    UpstreamListUpdate,
)
from dissemination.relay_tree import heads_of, parent_of
from mastturnd.alone import MIN_READ_INTERVAL_S, MISSED_READS, schedule_reads
from tests.fabric import Process
from tests.fabric_callers import PLATFORM, configuration, upstream
from tests.fabric_scenes import APPLY_S, start_fleet, wait_in_force
from tests.fabric_world import BALANCER_PORT, World, assert_approved, play
from transport.endpoint import Endpoint
from transport.links import Links


def relay_parents(world: World) -> dict[str, str]:
    """Return the relay from which each balancer currently receives updates."""
    names = {m.ip: m.name for m in world.edges()}
    parents = {m.name: m.role._follower.parent() for m in world.edges() if world.running(m)}
    return {
        name: names[parent.ip]
        for name, parent in parents.items()
        if parent is not None and parent.ip in names and parent.port == BALANCER_PORT
    }


async def wait_settled(world: World) -> str:
    """Wait until every balancer has its assigned parent; returns the relay with the most children."""

    def is_settled() -> bool:
        known = relay_parents(world)
        members = [m.role._follower._me for m in world.edges()]
        wanted = {m.node: parent_of(m.node, m.zone, members) for m in members}
        return known == {node: parent.node for node, parent in wanted.items() if parent is not None}

    await world.wait_until(is_settled, 10.0, "every balancer has its parent")
    known = list(relay_parents(world).values())
    return max(known, key=known.count) if known else ""


def test_the_tree_of_relays_forms_and_news_go_down_it() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        await wait_settled(world)
        direct = [m for m in world.edges() if m.name not in relay_parents(world)]
        assert len(direct) == 1
        await world.operator().put(configuration(6), 5)
        await wait_in_force(world, 6, 0.1)

    play(scene, edges=12, zones=1)


@pytest.mark.parametrize("trouble", ["freeze", "kill", "power", "cut"])
@pytest.mark.parametrize("phase", [0.0, 0.1, 0.2])
def test_a_relay_in_trouble_holds_no_news_up(trouble: str, phase: float) -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        relay = await wait_settled(world)
        await world.wait(phase)
        match trouble:
            case "freeze":
                world.freeze(relay)
            case "kill":
                world.kill(relay)
            case "power":
                world.power_off(relay)
            case _:
                world.cut([relay], [name for name in world.machines if name != relay])
        ended = await world.operator().put(configuration(6), 5)
        assert ended.status == 200
        planes = [m.plane for m in world.edges() if m.name != relay]
        await world.wait_until(lambda: all(p.ver == 6 for p in planes), APPLY_S, "all but the relay")

    play(scene, edges=12, zones=1)


def test_a_relay_that_freezes() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        relay = await wait_settled(world)
        world.transcript.lines.clear()
        world.freeze(relay)
        await world.operator().put(configuration(6), 5)
        planes = [m.plane for m in world.edges() if m.name != relay]
        await world.wait_until(lambda: all(p.ver == 6 for p in planes), APPLY_S, "all but the relay")
        await world.wait(3.0)
        world.thaw(relay)
        await wait_in_force(world, 6)
        await world.wait(3.0)
        await wait_settled(world)

    world = play(scene, edges=4, zones=1)
    assert_approved("news-relay-freezes", world.transcript.text())


@pytest.mark.parametrize("edges", [3, 12])
def test_the_gap_when_the_primary_is_told_to_stop(edges: int) -> None:
    """With a named successor, commands and updates continue long before the primary would count as lost."""

    async def scene(world: World) -> None:
        await start_fleet(world)
        await wait_settled(world)
        primary = world.primary()
        since = world.now()
        await world.terminate(primary)
        assert world.now() - since < 200
        assert [
            entry for entry in world.transcript.messages(Redirect) if entry[0] > since and entry[1] == primary
        ]
        others = [m.name for m in world.cores() if m.name != primary]
        assert (await world.operator("operator", *others).put(configuration(6), 5)).status == 200
        assert world.now() - since < 300
        await world.wait_until(lambda: all(m.role._follower.is_fresh(0.35) for m in world.edges()), 1.0)
        await wait_in_force(world, 6, 0.5)
        gaps = [world.loop.time() - m.role._follower._pulsed_at for m in world.edges()]
        assert max(gaps) < 0.9
        pulse_times = [
            at for at, _, to, _ in world.transcript.messages(LeaderHeartbeat) if to.startswith("edge")
        ]
        assert max(b - a for a, b in itertools.pairwise(pulse_times)) < 600

    play(scene, edges=edges, zones=1)


def test_whoever_leads_no_longer_sends_the_balancers_on_at_once() -> None:
    """The old primary keeps running after a handover: balancers are redirected without a timeout."""

    async def scene(world: World) -> None:
        await start_fleet(world)
        first = world.primary()
        world.machines[first].disk.is_full = True
        ended = await world.operator().put(configuration(6), 5)
        assert ended.status == 200 and world.primary() != first
        world.machines[first].disk.is_full = False
        until = world.loop.time() + 5.0
        while world.loop.time() < until:
            await world.wait(0.01)
            assert all(m.role._follower.is_fresh(0.65) for m in world.edges())
        assert all(m.plane.ver == 6 for m in world.edges())

    play(scene, edges=4, zones=1)


def test_who_is_below_a_relay_that_waited_for_a_primary_is_known_at_once() -> None:
    """A relay reports its members while there is no primary, and does not repeat that for a second."""

    async def scene(world: World) -> None:
        await start_fleet(world)
        await wait_settled(world)
        world.kill("core-1", "core-2", "core-3")
        await world.wait(0.1)
        world.boot("core-1", "core-2", "core-3")
        since = world.now()
        await world.wait_until(lambda: world.primary(), 2.0, "a primary")
        await world.wait(0.7)
        members = [
            m
            for at, here, _, m in world.transcript.messages(MembershipUpdate)
            if at > since and here in world.primary()
        ]
        assert len(members[-1].balancers) == 12

    play(scene, edges=12, zones=1)


def test_a_relay_that_is_behind_itself_takes_nobody_in() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        world.cut(["edge-1"], ["core-1", "core-2", "core-3"])
        await world.wait(1.5)
        process = Process(world.network, "edge-9", "10.1.1.9")
        received: list[Any] = []

        async def attach() -> None:
            links = Links(
                KINDS,
                Endpoint("10.1.1.9", BALANCER_PORT),
                lambda link, m: received.append(m),
                lambda link: None,
            )
            link = await links.dial(Endpoint(world.machines["edge-1"].ip, BALANCER_PORT))
            assert link is not None
            link.send(Attach("edge-9", "10.1.1.9", "hall-a", 0, 0, 0))
            await asyncio.sleep(0.5)

        await world.loop.create_task(attach(), context=process.context)
        assert [type(m) for m in received] == [Redirect]

    play(scene, edges=2)


def test_a_balancer_that_starts_while_the_control_state_is_away() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        world.core("none", "10.9.0.1", "hall-a")
        del world.machines["none"]
        world.power_off("core-1", "core-2", "core-3")
        late = world.edge("edge-late", "10.1.1.99", "hall-a")
        world.boot("edge-late")
        await world.wait(5.0)
        assert not late.plane.is_allowed and not late.plane.configured
        assert all(ip != late.ip for _, ip in world.platform.calls)
        world.boot("core-1", "core-2", "core-3")
        await world.wait_until(lambda: late.plane.is_allowed, 3.0, "the late one is ready")
        assert late.plane.ver == 5 and late.plane.ids == ["i-1", "i-2"]

    play(scene, edges=2)


def test_a_machine_without_power_among_the_seeds_holds_no_balancer_up() -> None:
    """All machines lose power and one control process stays down: the others accept the balancers."""

    async def scene(world: World) -> None:
        await start_fleet(world)
        await wait_settled(world)
        primary = world.primary()
        names = [m.name for m in world.machines.values()]
        world.power_off(*names)
        await world.wait(1.0)
        world.boot(*(name for name in names if name != primary))
        await world.wait_until(lambda: world.primary() not in ("", primary), 3.0, "another leads")
        await world.wait_until(lambda: all(m.plane.is_allowed for m in world.edges()), 0.3, "all are ready")

    play(scene, edges=8, zones=1)


@pytest.mark.parametrize(("edges", "rate", "upstreams"), [(7, 42.0, 5), (9, 4.0, 9), (30, 10.0, 120)])
def test_balancers_alone_read_the_list_themselves_and_stay_within_the_rate(
    edges: int, rate: float, upstreams: int
) -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        world.platform.entries = [upstream(f"i-{n}") for n in range(upstreams)]
        await world.wait(2.5)
        assert all(len(m.plane.ids) == upstreams for m in world.edges())
        world.platform.calls.clear()
        since = world.loop.time()
        world.power_off("core-1", "core-2", "core-3")
        world.platform.entries[0]["state"] = "draining"
        await world.wait(40.0)
        assert world.platform.calls[0][0] - since < 4.0
        seen_at = [next(t for t, e in m.plane.listed if e[0].state == "draining") for m in world.edges()]
        assert max(seen_at) - since <= 12.0  # in large fleets one balancer reads for its zone
        assert all(m.plane.listed[-1][1][0].state == "draining" for m in world.edges())
        assert len(world.platform.calls) / 40.0 <= rate / 4 * 1.1
        assert world.platform.busiest_second() <= rate / 2
        # With the control plane back, only the primary reads the list.
        world.boot("core-1", "core-2", "core-3")
        await world.wait_served()
        await world.wait(1.0)
        world.platform.calls.clear()
        await world.wait(5.0)
        assert {world.name_of(ip) for _, ip in world.platform.calls} == {world.primary()}

    def starts(world: World) -> None:
        world.rate_per_s = rate

    play(scene, edges=edges, before=starts)


@pytest.mark.parametrize(("count", "zones"), [(1, 1), (7, 3), (30, 3), (80, 4), (350, 10), (400, 1)])
@pytest.mark.parametrize(("pages", "calls_s"), [(1, 10.5), (3, 2.5), (56, 12.5)])
def test_the_turns_of_all_that_are_alone_stay_within_their_share(
    count: int, zones: int, pages: int, calls_s: float
) -> None:
    members = [
        PresentBalancer(f"edge-{n}", f"10.0.{n // 200}.{n % 200}", f"z{n % zones}") for n in range(count)
    ]
    if count <= 80:
        first = {m.zone: m for m in members if parent_of(m.node, m.zone, members) is None}
        assert heads_of(members) == first
    schedules = {m.node: schedule_reads(m, members, pages, calls_s) for m in members}
    asked_s = sum(pages / schedule.period_s for schedule in schedules.values())
    assert asked_s <= calls_s * 1.001 or all(t.period_s == MIN_READ_INTERVAL_S for t in schedules.values())
    readers = {schedule.reader_ip for schedule in schedules.values()} - {""}
    receivers = [ip for schedule in schedules.values() for ip in schedule.recipients]
    spared = [m.ip for m in members if schedules[m.node].reader_ip]
    assert sorted(receivers) == sorted(spared)  # every balancer with a reader is sent the list by exactly one
    for ip in readers:
        reader = next(m for m in members if m.ip == ip)
        assert schedules[reader.node].recipients and not schedules[reader.node].reader_ip
        assert schedules[reader.node].period_s * MISSED_READS <= min(
            t.suppressed_s for t in schedules.values() if t.reader_ip == ip
        )


def test_without_its_zones_reader_a_balancer_reads_the_list_itself() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        world.platform.entries = [upstream(f"i-{n}") for n in range(120)]
        await world.wait(2.5)
        members = [m.role._follower._me for m in world.edges()]
        heads = [m.node for m in members if parent_of(m.node, m.zone, members) is None]
        assert len(heads) == 1
        world.power_off("core-1", "core-2", "core-3", heads[0])
        world.platform.entries[0]["state"] = "draining"
        await world.wait(120.0)
        lasts = [m.plane.listed[-1][1][0].state for m in world.edges() if world.running(m)]
        assert lasts == ["draining"] * 23
        assert len(world.platform.calls) / 120.0 <= 10.0 / 4 * 1.1

    def starts(world: World) -> None:
        world.rate_per_s = 10.0

    play(scene, edges=24, zones=1, before=starts)


def test_a_strangers_list_is_not_taken() -> None:
    """Only the zone's reader is accepted, and only without contact to the control plane."""

    async def scene(world: World) -> None:
        await start_fleet(world)
        other, reader = Process(world.network, "x", "10.77.0.1"), world.machines["edge-1"]
        plane = world.machines["edge-2"].plane

        async def send_list() -> None:
            own = Endpoint(other.ip, BALANCER_PORT)
            links = Links(KINDS, own, lambda link, message: None, lambda link: None)
            links.send(
                Endpoint(world.machines["edge-2"].ip, BALANCER_PORT),
                UpstreamListUpdate(9, 9, b'{"upstreams":[]}'),
            )
            await asyncio.sleep(0.2)

        await world.loop.create_task(send_list(), context=other.context)
        assert plane.ids == ["i-1", "i-2"]
        world.power_off("core-1", "core-2", "core-3")
        await world.wait(2.5)
        await world.loop.create_task(send_list(), context=other.context)
        assert plane.ids == ["i-1", "i-2"] and reader is not None

    play(scene, edges=2, zones=1)


def test_a_lone_balancers_list_gives_way_to_the_control_states() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        world.cut(["edge-1"], ["core-1", "core-2", "core-3"])
        world.platform.entries = [upstream("i-3")]
        await world.wait_until(
            lambda: world.machines["edge-1"].plane.ids == ["i-3"], 6.0, "it has read the list"
        )
        world.platform.entries = [upstream("i-4")]
        world.heal()
        await world.wait_until(
            lambda: world.machines["edge-1"].plane.ids == ["i-4"], 2.5, "it receives the list"
        )
        world.platform.entries = [upstream("i-5")]
        await world.wait_until(
            lambda: all(m.plane.ids == ["i-5"] for m in world.edges()), 1.5, "all receive the list"
        )

    play(scene, edges=2)


def test_a_list_that_is_as_it_was_in_an_earlier_term_is_told_again() -> None:
    """A primary leads again and reads its own last list, while another list was published in between."""

    async def scene(world: World) -> None:
        await start_fleet(world)
        first, second, third = world.primary(), world.backup(), world.witness()
        world.cut([first], [name for name in world.machines if name != first])
        world.network.cut([world.machines[first].ip], [PLATFORM[0]])
        world.platform.entries = [upstream("i-3")]
        await world.wait_until(
            lambda: all(m.plane.ids == ["i-3"] for m in world.edges()), 5.0, "the new list"
        )
        world.heal()
        world.kill(third)
        await world.wait_until(
            lambda: world.primary() == second and world.backup() == first, 3.0, "the first one holds the data"
        )
        world.boot(third)
        await world.wait(2.0)
        world.platform.entries = [upstream("i-1"), upstream("i-2")]
        world.kill(second)
        await world.wait_until(lambda: world.primary() == first, 3.0, "the first one leads again")
        await world.wait_until(
            lambda: all(m.plane.ids == ["i-1", "i-2"] for m in world.edges()), 4.0, "the list"
        )

    play(scene, edges=2)


def test_number_of_balancers_is_never_below_the_truth() -> None:
    """A balancer counts for 20 s after it has gone, also across a change of primary."""

    async def scene(world: World) -> None:
        await start_fleet(world)
        await world.wait(3.0)
        assert {m.plane.counted[-1][1] for m in world.edges()} == {6}
        world.kill("edge-1", "edge-2")
        await world.wait(6.0)
        assert {m.plane.counted[-1][1] for m in world.edges() if world.running(m)} == {6}
        world.kill(world.primary())
        since = world.loop.time()
        await world.wait(8.0)
        for machine in world.edges():
            if world.running(machine):
                assert min((n for at, n in machine.plane.counted if at > since), default=6) == 6, machine.name
        await world.wait(25.0)
        assert {m.plane.counted[-1][1] for m in world.edges() if world.running(m)} == {4}

    play(scene, edges=6)


def test_one_balancer_on_a_new_machine_counts_at_once() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        world.edge("edge-new", "10.1.1.77", "hall-a")
        world.boot("edge-new")
        await world.wait_until(
            lambda: all(m.plane.counted[-1:] and m.plane.counted[-1][1] == 4 for m in world.edges()), 2.5
        )

    play(scene, edges=3)


def test_nobody_is_told_a_number_before_all_can_be_there() -> None:
    async def scene(world: World) -> None:
        await world.wait_served()
        await world.wait(5.0)
        assert {n for m in world.edges() for _, n in m.plane.counted} == {12}

    play(scene, edges=12, zones=1)


def test_a_balancer_attaches_again_only_where_it_has_to() -> None:
    """Without changes in the fleet no balancer attaches again."""

    async def scene(world: World) -> None:
        await start_fleet(world)
        await wait_settled(world)
        before = len(world.transcript.messages(Attach))
        await world.wait(30.0)
        assert len(world.transcript.messages(Attach)) == before

    play(scene, edges=12, zones=1)
