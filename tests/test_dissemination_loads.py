"""The sums of all balancers' work are right, with relays in between and after they have moved."""

from __future__ import annotations

import asyncio

import pytest

from dissemination.load_steps import Loads
from dissemination.loads import BYTES_S, ENTRY_BYTES, LoadSum, PeerLoads, add, pack, unpack
from dissemination.messages import Attach, LoadNews, LoadReport, LoadStep, UpstreamLoad
from tests.fabric_scenes import start_fleet
from tests.fabric_world import Machine, World, play
from tests.test_dissemination_news import settled

UP_S = 0.5  # a change is known everywhere within this


def work(world: World, each: int = 1) -> dict[str, tuple[int, int]]:
    """Each balancer has its number of calls out at one upstream; what all have out."""
    for number, machine in enumerate(world.edges(), 1):
        machine.plane.put_load(**{"i-1": (number * each, 100 * number * each)})
    count = len(world.edges())
    total = count * (count + 1) // 2 * each
    return {"i-1": (total, 100 * total)}


def is_right(world: World, among: list[Machine] | None = None) -> bool:
    """Every balancer that runs knows exactly what the others that run have out."""
    running = among or [m for m in world.edges() if world.running(m)]
    calls = sum(m.plane.work.get("i-1", (0, 0))[0] for m in running)
    return all(m.plane.others("i-1")[0] == calls - m.plane.work.get("i-1", (0, 0))[0] for m in running)


def seen(world: World) -> str:
    return ", ".join(f"{m.name} {m.plane.work} others {m.plane.others('i-1')}" for m in world.edges())


@pytest.mark.parametrize("edges", [3, 12])
def test_sums_are_right_through_relays(edges: int) -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        await settled(world)
        work(world)
        await world.wait_until(lambda: is_right(world), UP_S, seen(world))
        work(world, 3)
        await world.wait_until(lambda: is_right(world), UP_S, seen(world))
        for machine in world.edges():
            machine.plane.put_load()
        await world.wait_until(lambda: is_right(world), UP_S, seen(world))
        assert all(m.plane.others("i-1") == (0, 0) for m in world.edges())

    play(scene, edges=edges, zones=1)


@pytest.mark.parametrize("trouble", ["kill", "power", "freeze", "cut", "restart"])
@pytest.mark.parametrize("whom", ["relay", "leaf", "primary"])
def test_sums_are_right_again_after_a_trouble(trouble: str, whom: str) -> None:
    """Nobody's work is counted twice, or after it has gone, for longer than it takes to be noticed."""

    async def scene(world: World) -> None:
        await start_fleet(world)
        relay = await settled(world)
        work(world)
        await world.wait_until(lambda: is_right(world), UP_S)
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
            alone.work = {}  # nobody is to count what it has out
            others = [m for m in world.edges() if m.name != name]
            await world.wait_until(lambda: is_right(world, others), 5.0, "without the one that is cut off")
            await calm(world)
            assert is_right(world, others), seen(world)
            assert alone.others("i-1") == (0, 0)  # what it knew is no use any more
            world.heal()
        await world.wait_until(lambda: is_right(world), 5.0, "all that run")
        await calm(world)
        assert is_right(world), seen(world)
        if trouble == "freeze":
            world.thaw(name)
            await world.wait_until(lambda: is_right(world), 3.0, "after it has woken")
            await calm(world)
            assert is_right(world), seen(world)

    play(scene, edges=12, zones=1)


async def calm(world: World) -> None:
    """Until nobody has attached anew for 3 s."""

    def is_calm() -> bool:
        attached = world.transcript.messages(Attach)
        return not attached or world.now() - attached[-1][0] > 3000

    await world.wait_until(is_calm, 12.0, "nobody attaches any more")


@pytest.mark.parametrize("edges", [4, 12])
def test_sums_hardly_dip_while_the_tree_changes(edges: int) -> None:
    """Most balancers move to other relays: what is known of all work is never far off for long."""

    async def scene(world: World) -> None:
        await start_fleet(world)
        relay = await settled(world)
        work(world)
        await world.wait_until(lambda: is_right(world), UP_S)
        world.kill(relay)
        await world.wait(0.5)
        world.boot(relay)
        await world.wait(0.5)
        far = dict.fromkeys(world.machines, 0)  # ms, without a break
        for _ in range(1000):
            await world.wait(0.01)
            running = [m for m in world.edges() if m.name != relay]
            calls = sum(m.plane.work["i-1"][0] for m in running)
            for machine in running:
                known = machine.plane.others("i-1")[0] + machine.plane.work["i-1"][0]
                far[machine.name] = far[machine.name] + 10 if not 0.5 <= known / calls <= 1.5 else 0
                assert far[machine.name] <= 250, f"{machine.name} knows of {known} of {calls}"

    play(scene, edges=edges, zones=1)


def test_a_balancer_that_attaches_hears_the_sums_though_nothing_changes() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        await settled(world)
        work(world)
        await world.wait_until(lambda: is_right(world), UP_S)
        world.edge("edge-new", "10.1.1.77", "hall-a")
        world.boot("edge-new")
        await world.wait_until(lambda: world.machines["edge-new"].role is not None, 1.0)
        await world.wait_until(lambda: is_right(world), 1.0, seen(world))
        await world.wait(5.0)  # it has moved to its relay
        assert is_right(world), seen(world)

    play(scene, edges=4, zones=1)


@pytest.mark.parametrize("away_s", [0.1, 0.6, 2.0])
def test_sums_reported_before_anybody_led_are_told_by_who_leads_then(away_s: float) -> None:
    """Balancers wait where they are while a core starts anew; nothing of their work changes meanwhile."""

    async def scene(world: World) -> None:
        await start_fleet(world)
        await settled(world)
        work(world)
        await world.wait_until(lambda: is_right(world), UP_S)
        world.kill("core-1", "core-2", "core-3")
        for machine in world.edges():
            machine.role._others.clear()
        await world.wait(away_s)
        world.boot("core-1", "core-2", "core-3")
        await world.wait_until(lambda: world.primary(), 2.0, "a primary")
        await world.wait_until(lambda: is_right(world), 2.5, "the sums are right")
        await calm(world)
        assert is_right(world), seen(world)

    play(scene, edges=4, zones=1)


def test_the_news_are_not_told_more_often_than_they_may() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        await settled(world)
        since = world.now()
        for number in range(1000):
            world.machines[f"edge-{number % 4 + 1}"].plane.put_load(**{"i-1": (number, 0)})
            await world.wait(0.001)
        told = [entry for entry in world.transcript.messages(LoadStep) if entry[0] > since]
        by_link = {(here, there) for _, here, there, _ in told}
        assert len(by_link) == 4 and len(told) / len(by_link) <= 1000 / 40 + 2
        assert not [entry for entry in world.transcript.messages(LoadNews) if entry[0] > since]

    play(scene, edges=4, zones=1)


def test_sum_of_a_process_and_what_is_below_it() -> None:
    total = unpack((UpstreamLoad("a", 1, 10),))
    add(total, {"a": (2, 5), "b": (1, 0)})
    assert total == {"a": (3, 15), "b": (1, 0)}
    assert pack({"b": (1, 0), "a": (0, 0), "c": (0, 3)}) == (UpstreamLoad("b", 1, 0), UpstreamLoad("c", 0, 3))


def test_others_are_the_sum_without_our_own_part() -> None:
    others = PeerLoads()
    others.take(
        LoadNews(1, 1, (UpstreamLoad("a", 5, 50), UpstreamLoad("b", 1, 1))), {"a": (2, 60), "b": (1, 1)}
    )
    assert others.of("a") == (3, 0) and others.of("b") == (0, 0) and others.of("c") == (0, 0)
    others.clear()
    assert others.of("a") == (0, 0)


def test_a_child_that_has_gone_is_forgotten() -> None:
    async def scene(world: World) -> None:
        told: list[tuple[UpstreamLoad, ...]] = []
        loads = LoadSum(lambda: {"a": (1, 1)}, told.append)
        loads.report("x", LoadReport((UpstreamLoad("a", 4, 4),)))
        await world.wait(0.1)
        loads.report("x", LoadReport((UpstreamLoad("a", 2, 2),)))
        await world.wait(0.1)
        loads.remove_child("x")
        await world.wait(0.1)
        assert [t[0].calls for t in told] == [5, 3, 1]

    play(scene, starts=False)


@pytest.mark.parametrize(("upstreams", "least_s", "most_s"), [(1, 0.0, 0.05), (2_800, 3.0, 4.0)])
def test_sums_of_many_upstreams_go_on_less_often(upstreams: int, least_s: float, most_s: float) -> None:
    """Found by the capacity page: 2,800 entries, 25 times a second, are 1.7 MB a second to each told."""
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
