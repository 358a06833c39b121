"""The load sums of all balancers are right through relays, and again after relays have changed."""

from __future__ import annotations

import asyncio

import pytest

from dissemination.load_steps import Loads
from dissemination.loads import BYTES_S, ENTRY_BYTES, LoadSum, PeerLoads, add, pack, unpack
from dissemination.messages import Attach, LoadReport, LoadStep, LoadUpdate, UpstreamLoad
from tests.fabric_scenes import start_fleet
from tests.fabric_world import Machine, World, play
from tests.test_dissemination_news import wait_settled

SUM_TIMEOUT_S = 0.5  # a change reaches every balancer within this


def set_loads(world: World, each: int = 1) -> dict[str, tuple[int, int]]:
    """Set outstanding calls at one upstream, different for each balancer; returns the total."""
    for number, machine in enumerate(world.edges(), 1):
        machine.plane.put_load(**{"i-1": (number * each, 100 * number * each)})
    count = len(world.edges())
    total = count * (count + 1) // 2 * each
    return {"i-1": (total, 100 * total)}


def sums_are_right(world: World, among: list[Machine] | None = None) -> bool:
    """Return whether every running balancer knows the exact load of the other running ones."""
    running = among or [m for m in world.edges() if world.running(m)]
    calls = sum(m.plane.current_loads.get("i-1", (0, 0))[0] for m in running)
    return all(
        m.plane.other_loads("i-1")[0] == calls - m.plane.current_loads.get("i-1", (0, 0))[0] for m in running
    )


def describe_loads(world: World) -> str:
    return ", ".join(
        f"{m.name} {m.plane.current_loads} others {m.plane.other_loads('i-1')}" for m in world.edges()
    )


@pytest.mark.parametrize("edges", [3, 12])
def test_sums_are_right_through_relays(edges: int) -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        await wait_settled(world)
        set_loads(world)
        await world.wait_until(lambda: sums_are_right(world), SUM_TIMEOUT_S, describe_loads(world))
        set_loads(world, 3)
        await world.wait_until(lambda: sums_are_right(world), SUM_TIMEOUT_S, describe_loads(world))
        for machine in world.edges():
            machine.plane.put_load()
        await world.wait_until(lambda: sums_are_right(world), SUM_TIMEOUT_S, describe_loads(world))
        assert all(m.plane.other_loads("i-1") == (0, 0) for m in world.edges())

    play(scene, edges=edges, zones=1)


@pytest.mark.parametrize("trouble", ["kill", "power", "freeze", "cut", "restart"])
@pytest.mark.parametrize("whom", ["relay", "leaf", "primary"])
def test_sums_are_right_again_after_a_trouble(trouble: str, whom: str) -> None:
    """No load counts twice, or after its balancer is gone, for longer than detecting that takes."""

    async def scene(world: World) -> None:
        await start_fleet(world)
        relay = await wait_settled(world)
        set_loads(world)
        await world.wait_until(lambda: sums_are_right(world), SUM_TIMEOUT_S)
        leaf = next(m.name for m in world.edges() if m.name != relay and world.running(m))
        name = {"relay": relay, "leaf": leaf, "primary": world.primary()}[whom]
        match trouble:
            case "kill":
                world.kill(name)
            case "power":
                world.power_off(name)
            case "freeze":
                world.freeze(name)
            case "cut":
                world.cut([name], [n for n in world.machines if n != name])
            case "restart":
                world.kill(name)
                await world.wait(0.5)
                world.boot(name)
        if trouble == "cut" and whom != "primary":
            alone = world.machines[name].plane
            alone.current_loads = {}  # the others must not count its load
            others = [m for m in world.edges() if m.name != name]
            await world.wait_until(
                lambda: sums_are_right(world, others), 5.0, "without the one that is cut off"
            )
            await wait_stable(world)
            assert sums_are_right(world, others), describe_loads(world)
            assert alone.other_loads("i-1") == (0, 0)  # its knowledge of the others has expired
            world.heal()
        await world.wait_until(lambda: sums_are_right(world), 5.0, "all that run")
        await wait_stable(world)
        assert sums_are_right(world), describe_loads(world)
        if trouble == "freeze":
            world.thaw(name)
            await world.wait_until(lambda: sums_are_right(world), 3.0, "after the thaw")
            await wait_stable(world)
            assert sums_are_right(world), describe_loads(world)

    play(scene, edges=12, zones=1)


async def wait_stable(world: World) -> None:
    """Wait until no balancer has attached for 3 s."""

    def is_stable() -> bool:
        attached = world.transcript.messages(Attach)
        return not attached or world.now() - attached[-1][0] > 3000

    await world.wait_until(is_stable, 12.0, "no balancer attaches again")


@pytest.mark.parametrize("edges", [4, 12])
def test_sums_hardly_dip_while_the_tree_changes(edges: int) -> None:
    """While most balancers change their relay, the known total is off by half for at most 250 ms."""

    async def scene(world: World) -> None:
        await start_fleet(world)
        relay = await wait_settled(world)
        set_loads(world)
        await world.wait_until(lambda: sums_are_right(world), SUM_TIMEOUT_S)
        world.kill(relay)
        await world.wait(0.5)
        world.boot(relay)
        await world.wait(0.5)
        wrong_ms = dict.fromkeys(world.machines, 0)  # ms without a break
        for _ in range(1000):
            await world.wait(0.01)
            running = [m for m in world.edges() if m.name != relay]
            calls = sum(m.plane.current_loads["i-1"][0] for m in running)
            for machine in running:
                known = machine.plane.other_loads("i-1")[0] + machine.plane.current_loads["i-1"][0]
                wrong_ms[machine.name] = wrong_ms[machine.name] + 10 if not 0.5 <= known / calls <= 1.5 else 0
                assert wrong_ms[machine.name] <= 250, f"{machine.name} knows of {known} of {calls}"

    play(scene, edges=edges, zones=1)


def test_a_balancer_that_attaches_hears_the_sums_though_nothing_changes() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        await wait_settled(world)
        set_loads(world)
        await world.wait_until(lambda: sums_are_right(world), SUM_TIMEOUT_S)
        world.edge("edge-new", "10.1.1.77", "hall-a")
        world.boot("edge-new")
        await world.wait_until(lambda: world.machines["edge-new"].role is not None, 1.0)
        await world.wait_until(lambda: sums_are_right(world), 1.0, describe_loads(world))
        await world.wait(5.0)  # until it has moved to its relay
        assert sums_are_right(world), describe_loads(world)

    play(scene, edges=4, zones=1)


@pytest.mark.parametrize("away_s", [0.1, 0.6, 2.0])
def test_sums_reported_before_anybody_led_are_told_by_who_leads_then(away_s: float) -> None:
    """Sums reported while there is no primary are published by the next one, without another change."""

    async def scene(world: World) -> None:
        await start_fleet(world)
        await wait_settled(world)
        set_loads(world)
        await world.wait_until(lambda: sums_are_right(world), SUM_TIMEOUT_S)
        world.kill("core-1", "core-2", "core-3")
        for machine in world.edges():
            machine.role._peer_loads.clear()
        await world.wait(away_s)
        world.boot("core-1", "core-2", "core-3")
        await world.wait_until(lambda: world.primary(), 2.0, "a primary")
        await world.wait_until(lambda: sums_are_right(world), 2.5, "the sums are right")
        await wait_stable(world)
        assert sums_are_right(world), describe_loads(world)

    play(scene, edges=4, zones=1)


def test_the_news_are_not_told_more_often_than_they_may() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        await wait_settled(world)
        since = world.now()
        for number in range(1000):
            world.machines[f"edge-{number % 4 + 1}"].plane.put_load(**{"i-1": (number, 0)})
            await world.wait(0.001)
        steps = [entry for entry in world.transcript.messages(LoadStep) if entry[0] > since]
        by_link = {(here, there) for _, here, there, _ in steps}
        assert len(by_link) == 4 and len(steps) / len(by_link) <= 1000 / 40 + 2
        assert not [entry for entry in world.transcript.messages(LoadUpdate) if entry[0] > since]

    play(scene, edges=4, zones=1)


def test_sum_of_a_process_and_what_is_below_it() -> None:
    total = unpack((UpstreamLoad("a", 1, 10),))
    add(total, {"a": (2, 5), "b": (1, 0)})
    assert total == {"a": (3, 15), "b": (1, 0)}
    assert pack({"b": (1, 0), "a": (0, 0), "c": (0, 3)}) == (UpstreamLoad("b", 1, 0), UpstreamLoad("c", 0, 3))


def test_others_are_the_sum_without_our_own_part() -> None:
    others = PeerLoads()
    others.take(
        LoadUpdate(1, 1, (UpstreamLoad("a", 5, 50), UpstreamLoad("b", 1, 1))), {"a": (2, 60), "b": (1, 1)}
    )
    assert others.of("a") == (3, 0) and others.of("b") == (0, 0) and others.of("c") == (0, 0)
    others.clear()
    assert others.of("a") == (0, 0)


def test_a_child_that_has_gone_is_forgotten() -> None:
    async def scene(world: World) -> None:
        sums: list[tuple[UpstreamLoad, ...]] = []
        loads = LoadSum(lambda: {"a": (1, 1)}, sums.append)
        loads.report("x", LoadReport((UpstreamLoad("a", 4, 4),)))
        await world.wait(0.1)
        loads.report("x", LoadReport((UpstreamLoad("a", 2, 2),)))
        await world.wait(0.1)
        loads.remove_child("x")
        await world.wait(0.1)
        assert [t[0].calls for t in sums] == [5, 3, 1]

    play(scene, starts=False)


@pytest.mark.parametrize(("upstreams", "least_s", "most_s"), [(1, 0.0, 0.05), (2_800, 3.0, 4.0)])
def test_sums_of_many_upstreams_go_on_less_often(upstreams: int, least_s: float, most_s: float) -> None:
    """Complete sums of 2,800 upstreams, sent 25 times a second, would take 1.7 MB/s per receiver."""
    loads: Loads = {f"u{n}": (1, 1) for n in range(upstreams)}

    async def scene() -> None:
        loop = asyncio.get_running_loop()
        total = LoadSum(lambda: loads, lambda packed: None)
        total.resend()
        total.schedule()
        assert total._timer is not None
        wait = total._timer.when() - loop.time()
        total._timer.cancel()
        assert least_s < wait < most_s
        assert upstreams == 1 or ENTRY_BYTES * upstreams <= 1.01 * BYTES_S * wait

    asyncio.run(scene())
