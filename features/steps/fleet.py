"""Steps about the fleet: what is there, what happens to it, and what all balancers do."""

from __future__ import annotations

import asyncio
from typing import Any

from dissemination.relay_tree import parent_of
from tests.fabric_callers import configuration, upstream
from tests.fabric_story import given, then, when
from tests.fabric_world import BALANCER_PORT, Machine, World
from transport.endpoint import Endpoint

IN_FORCE_S = 2.0


def world_of(context: Any) -> World:
    """The world of the scenario."""
    world: World = context.stories.world
    return world


def running(world: World) -> list[Machine]:
    """The balancers that run."""
    return [m for m in world.edges() if world.running(m)]


async def _in_force(world: World, ver: int, within_s: float) -> None:
    await world.wait_until(
        lambda: all(m.plane.ver == ver for m in running(world)), within_s, f"version {ver}"
    )


@given("a fleet of {cores:d} control machines and {edges:d} balancers")
def start_fleet(context: Any, cores: int, edges: int) -> None:
    """All start together, in three zones."""
    context.stories.begin(cores, edges, 3)


@given("a fleet of {cores:d} control machines and {edges:d} balancers in one zone")
def start_in_one_zone(context: Any, cores: int, edges: int) -> None:
    """All start together, in one zone."""
    context.stories.begin(cores, edges, 1)


@given("version {ver:d} is in force")
def put_first(context: Any, ver: int) -> None:
    """An operator has put it, and all is calm."""
    world = world_of(context)

    async def step() -> None:
        world.platform.entries = world.platform.entries or [upstream("i-1"), upstream("i-2")]
        await world.wait_served()
        base = max((m.plane.ver for m in world.edges()), default=0)
        ended = await world.operator().put(configuration(ver), base)
        assert ended.status == 200
        await _in_force(world, ver, IN_FORCE_S)
        await world.wait(4.0)

    context.stories.play(step())


@given("all control machines are without power")
def core_without_power(context: Any) -> None:
    """Nobody hears of it."""
    world = world_of(context)
    world.power_off(*(m.name for m in world.cores()))


@when("the primary {is_lost}")
def lose_primary(context: Any, is_lost: str) -> None:
    """Something happens to whoever leads."""
    world = world_of(context)
    name = context.lost = world.primary()
    match is_lost:
        case "is killed":
            world.kill(name)
        case "loses power":
            world.power_off(name)
        case "freezes":
            world.freeze(name)
        case "is cut off":
            world.cut([name], [n for n in world.machines if n != name])
        case "has a disk that is full":
            world.machines[name].disk.is_full = True
        case "has a disk that hangs":
            world.machines[name].disk.hang(True)
        case "is told to stop":
            context.stories.play(world.terminate(name))
        case "loses its disk and comes back without it":
            context.stories.play(_wipe(world, name))
        case "is replaced by an empty machine at another address":
            context.stories.play(_replace(world, name))
        case _:
            raise ValueError(is_lost)


async def _wipe(world: World, name: str) -> None:
    world.power_off(name)
    world.machines[name].disk.wipe()
    await world.wait(1.0)
    world.boot(name)


async def _replace(world: World, name: str) -> None:
    gone = world.machines[name]
    world.power_off(name)
    del world.machines[name]
    world.core("core-9", gone.ip.rpartition(".")[0] + ".9", gone.zone)
    await world.wait(1.0)
    world.boot("core-9")


@when("{seconds:d} seconds later any other control machine loses power")
def lose_another(context: Any, seconds: int) -> None:
    """Whoever leads now, or another one if that is the one that was lost before."""
    world = world_of(context)

    async def step() -> None:
        await world.wait(seconds)
        others = [m.name for m in world.cores() if m.name != context.lost and world.running(m)]
        name = world.primary() if world.primary() in others else others[0]
        world.power_off(name)

    context.stories.play(step())


@when("everything is killed at once and starts again")
def kill_all(context: Any) -> None:
    """All processes, of control and of balancers."""
    world = world_of(context)

    async def step() -> None:
        world.kill(*world.machines)
        await world.wait(0.7)
        world.boot(*world.machines)

    context.stories.play(step())


@when("the relay is told to stop")
def stop_relay(context: Any) -> None:
    """The balancer from which the others of the zone hear the news."""
    world = world_of(context)
    members = [m.role._follower._me for m in world.edges()]
    heads = [m.node for m in members if parent_of(m.node, m.zone, members) is None]
    assert any(
        m.role._follower.parent() == Endpoint(world.machines[heads[0]].ip, BALANCER_PORT)
        for m in world.edges()
    )
    context.stories.play(world.terminate(heads[0]))


@when("a balancer that has requests open is told to stop")
def stop_balancer(context: Any) -> None:
    """It needs 2 s to answer them."""
    world = world_of(context)
    name = context.stopped = "edge-2"
    plane = world.machines[name].plane
    plane.drain_s = 2.0

    async def step() -> None:
        since = world.loop.time()
        await world.terminate(name)
        context.drained_s = world.loop.time() - since

    assert not plane.is_draining
    context.stories.play(step())
    assert plane.is_draining


@when("the platform lists an upstream as draining")
def drain_upstream(context: Any) -> None:
    """The list shows it from now on."""
    world = world_of(context)
    world.platform.entries[0]["state"] = "draining"
    world.platform.calls.clear()


@then("all balancers serve version {ver:d} within {seconds:d} seconds")
def all_serve(context: Any, ver: int, seconds: int) -> None:
    """All that run have it in force."""
    context.stories.play(_in_force(world_of(context), ver, float(seconds)))


@then("all balancers still serve version {ver:d}")
def all_still_serve(context: Any, ver: int) -> None:
    """Nothing else came into force, also a while later."""
    world = world_of(context)
    context.stories.play(world.wait(3.0))
    assert all(m.plane.ver == ver for m in world.edges())


@then("another leads within {seconds:f} seconds")
def another_leads(context: Any, seconds: float) -> None:
    """Somebody else takes orders."""
    world = world_of(context)
    context.stories.play(
        world.wait_until(lambda: world.primary() not in ("", context.lost), seconds, "a primary")
    )


@then("no balancer has been without news for longer than {seconds:f} seconds")
def news_go_on(context: Any, seconds: float) -> None:
    """All hear the control state, from now on for a while."""
    world = world_of(context)

    async def step() -> None:
        until = world.loop.time() + 5.0
        while world.loop.time() < until:
            await asyncio.sleep(0.01)
            assert all(m.role._follower.is_fresh(seconds) for m in running(world))

    context.stories.play(step())


@then("it answers what it holds before it ends")
def has_drained(context: Any) -> None:
    """It took the time that it needed, and not much more."""
    assert 2.0 <= round(context.drained_s, 6) < 2.2  # the clock's sums of floats are off by 1e-12


@then("the others hear the news as before")
def others_hear(context: Any) -> None:
    """A new version reaches them."""
    world = world_of(context)

    async def step() -> None:
        ended = await world.operator().put(configuration(6), 5)
        assert ended.status == 200
        await _in_force(world, 6, IN_FORCE_S)

    context.stories.play(step())


@then("within {seconds:d} seconds nobody counts it as a member")
def not_a_member(context: Any, seconds: int) -> None:
    """The members that the others know do not hold it."""
    world = world_of(context)

    def is_gone() -> bool:
        known = [m.role._latest.members for m in running(world)]
        return all(context.stopped not in [p.node for p in news.balancers] for news in known)

    context.stories.play(world.wait_until(is_gone, float(seconds), "it is no member"))


@then("all balancers know of it within {seconds:d} seconds")
def all_know(context: Any, seconds: int) -> None:
    """Their newest list shows the upstream as draining."""
    world = world_of(context)

    def is_known() -> bool:
        return all(m.plane.listed[-1][1][0].state == "draining" for m in running(world))

    context.stories.play(world.wait_until(is_known, float(seconds), "the list is known"))


@then("they have asked the platform within a quarter of its rate")
def within_rate(context: Any) -> None:
    """All calls together, in any second."""
    world = world_of(context)
    assert world.platform.busiest_second() <= world.rate_per_s / 4
