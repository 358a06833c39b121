"""Steps about the fleet: its setup, its faults, and the behavior of all balancers."""

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
    """Return the simulated world of the scenario."""
    world: World = context.scenario_runner.world
    return world


def running(world: World) -> list[Machine]:
    """Return the running balancers."""
    return [m for m in world.edges() if world.running(m)]


async def _wait_in_force(world: World, ver: int, within_s: float) -> None:
    await world.wait_until(
        lambda: all(m.plane.ver == ver for m in running(world)), within_s, f"version {ver}"
    )


@given("a fleet of {cores:d} control machines and {edges:d} balancers")
def start_fleet(context: Any, cores: int, edges: int) -> None:
    """Start a fleet in three zones."""
    context.scenario_runner.begin(cores, edges, 3)


@given("a fleet of {cores:d} control machines and {edges:d} balancers in one zone")
def start_in_one_zone(context: Any, cores: int, edges: int) -> None:
    """Start a fleet in one zone."""
    context.scenario_runner.begin(cores, edges, 1)


@given("version {ver:d} is in force")
def put_version(context: Any, ver: int) -> None:
    """Put the version as an operator, and wait until the fleet is steady."""
    world = world_of(context)

    async def step() -> None:
        world.platform.entries = world.platform.entries or [upstream("i-1"), upstream("i-2")]
        await world.wait_served()
        base = max((m.plane.ver for m in world.edges()), default=0)
        result = await world.operator().put(configuration(ver), base)
        assert result.status == 200
        await _wait_in_force(world, ver, IN_FORCE_S)
        await world.wait(4.0)

    context.scenario_runner.play(step())


@given("all control machines are without power")
def power_off_core(context: Any) -> None:
    """Power off all control machines."""
    world = world_of(context)
    world.power_off(*(m.name for m in world.cores()))


@when("the primary {is_lost}")
def break_primary(context: Any, is_lost: str) -> None:
    """Apply a fault to the current primary."""
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
            context.scenario_runner.play(world.terminate(name))
        case "loses its disk and comes back without it":
            context.scenario_runner.play(_wipe(world, name))
        case "is replaced by an empty machine at another address":
            context.scenario_runner.play(_replace(world, name))
        case _:
            raise ValueError(is_lost)


async def _wipe(world: World, name: str) -> None:
    world.power_off(name)
    world.machines[name].disk.wipe()
    await world.wait(1.0)
    world.boot(name)


async def _replace(world: World, name: str) -> None:
    replaced = world.machines[name]
    world.power_off(name)
    del world.machines[name]
    world.core("core-9", replaced.ip.rpartition(".")[0] + ".9", replaced.zone)
    await world.wait(1.0)
    world.boot("core-9")


@when("{seconds:d} seconds later any other control machine loses power")
def power_off_another(context: Any, seconds: int) -> None:
    """Power off the current primary, or another control machine if the lost one is still primary."""
    world = world_of(context)

    async def step() -> None:
        await world.wait(seconds)
        others = [m.name for m in world.cores() if m.name != context.lost and world.running(m)]
        name = world.primary() if world.primary() in others else others[0]
        world.power_off(name)

    context.scenario_runner.play(step())


@when("everything is killed at once and starts again")
def kill_all(context: Any) -> None:
    """Kill and restart all control processes and balancers."""
    world = world_of(context)

    async def step() -> None:
        world.kill(*world.machines)
        await world.wait(0.7)
        world.boot(*world.machines)

    context.scenario_runner.play(step())


@when("the relay is told to stop")
def stop_relay(context: Any) -> None:
    """Terminate the balancer that relays updates to the others of its zone."""
    world = world_of(context)
    members = [m.role._follower._me for m in world.edges()]
    relays = [m.node for m in members if parent_of(m.node, m.zone, members) is None]
    assert any(
        m.role._follower.parent() == Endpoint(world.machines[relays[0]].ip, BALANCER_PORT)
        for m in world.edges()
    )
    context.scenario_runner.play(world.terminate(relays[0]))


@when("a balancer that has requests open is told to stop")
def stop_balancer(context: Any) -> None:
    """Terminate a balancer that needs 2 s to complete its requests."""
    world = world_of(context)
    name = context.stopped = "edge-2"
    plane = world.machines[name].plane
    plane.drain_s = 2.0

    async def step() -> None:
        started_at = world.loop.time()
        await world.terminate(name)
        context.drained_s = world.loop.time() - started_at

    assert not plane.is_draining
    context.scenario_runner.play(step())
    assert plane.is_draining


@when("the platform lists an upstream as draining")
def drain_upstream(context: Any) -> None:
    """Mark an upstream as draining in the platform's list."""
    world = world_of(context)
    world.platform.entries[0]["state"] = "draining"
    world.platform.calls.clear()


@then("all balancers serve version {ver:d} within {seconds:d} seconds")
def check_all_serve(context: Any, ver: int, seconds: int) -> None:
    """Check that every running balancer applies the version in time."""
    context.scenario_runner.play(_wait_in_force(world_of(context), ver, float(seconds)))


@then("all balancers still serve version {ver:d}")
def check_all_still_serve(context: Any, ver: int) -> None:
    """Check that no other version is in force 3 s later."""
    world = world_of(context)
    context.scenario_runner.play(world.wait(3.0))
    assert all(m.plane.ver == ver for m in world.edges())


@then("another leads within {seconds:f} seconds")
def check_another_leads(context: Any, seconds: float) -> None:
    """Check that another process becomes primary in time."""
    world = world_of(context)
    context.scenario_runner.play(
        world.wait_until(lambda: world.primary() not in ("", context.lost), seconds, "a primary")
    )


@then("no balancer has been without news for longer than {seconds:f} seconds")
def check_updates_continue(context: Any, seconds: float) -> None:
    """Check for 5 s that every running balancer's last update is recent."""
    world = world_of(context)

    async def step() -> None:
        until = world.loop.time() + 5.0
        while world.loop.time() < until:
            await asyncio.sleep(0.01)
            assert all(m.role._follower.is_fresh(seconds) for m in running(world))

    context.scenario_runner.play(step())


@then("it answers what it holds before it ends")
def check_drained(context: Any) -> None:
    """Check that the drain took the time of the requests, and not much more."""
    assert 2.0 <= round(context.drained_s, 6) < 2.2  # float sums of the clock are off by 1e-12


@then("the others hear the news as before")
def check_others_updated(context: Any) -> None:
    """Check that a new version reaches the others."""
    world = world_of(context)

    async def step() -> None:
        result = await world.operator().put(configuration(6), 5)
        assert result.status == 200
        await _wait_in_force(world, 6, IN_FORCE_S)

    context.scenario_runner.play(step())


@then("within {seconds:d} seconds nobody counts it as a member")
def check_not_a_member(context: Any, seconds: int) -> None:
    """Check that it disappears from the membership that the others know."""
    world = world_of(context)

    def is_gone() -> bool:
        memberships = [m.role._latest.members for m in running(world)]
        return all(
            context.stopped not in [p.node for p in membership.balancers] for membership in memberships
        )

    context.scenario_runner.play(world.wait_until(is_gone, float(seconds), "it is no member"))


@then("all balancers know of it within {seconds:d} seconds")
def check_all_know(context: Any, seconds: int) -> None:
    """Check that every balancer's newest list shows the upstream as draining."""
    world = world_of(context)

    def is_known() -> bool:
        return all(m.plane.listed[-1][1][0].state == "draining" for m in running(world))

    context.scenario_runner.play(world.wait_until(is_known, float(seconds), "the list is known"))


@then("they have asked the platform within a quarter of its rate")
def check_rate(context: Any) -> None:
    """Check the number of calls in the busiest second."""
    world = world_of(context)
    assert world.platform.busiest_second() <= world.rate_per_s / 4
