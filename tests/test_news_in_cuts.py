"""Histories in which balancers lose their paths to some members, of every kind and again and again.

Held: a balancer with a path to one member hears the news, while that member and the leader hear each other.
"""

from __future__ import annotations

import random

import pytest

from tests.fabric_callers import configuration
from tests.fabric_scenes import start_fleet, wait_in_force
from tests.fabric_world import Machine, World, play

CONTACT_S = 4.0  # a cut is this old before anything is asked of a balancer
APPLY_S = 2.5
ROUNDS = 4
SEEDS = range(12)


def cut_some(world: World, draw: random.Random) -> dict[str, set[str]]:
    """Cut paths between balancers and members, in one direction or both; whom each balancer still reaches."""
    cores = [m.name for m in world.cores()]
    reached = {}
    for edge in world.edges():
        away = draw.sample(cores, draw.randint(0, len(cores)))
        for core in away:
            match draw.choice(("both", "up", "down")):
                case "both":
                    world.cut([edge.name], [core])
                case "up":
                    world.cut([edge.name], [core], both_ways=False)
                case "down":
                    world.cut([core], [edge.name], both_ways=False)
        reached[edge.name] = set(cores) - set(away)
    return reached


async def restart_some(world: World, draw: random.Random, reached: dict[str, set[str]]) -> None:
    """Kill and start the leader, a balancer, both or neither; a new balancer knows the seeds alone."""
    if draw.random() < 0.3:
        leader = world.primary()
        world.kill(leader)
        await world.wait_until(lambda: world.primary() not in ("", leader), 3.0, "another leads")
        world.boot(leader)
    if draw.random() < 0.3:
        edge = draw.choice(world.edges())
        world.kill(edge.name)
        world.boot(edge.name)
        reached[edge.name] &= {world.name_of(ip) for ip in edge.settings.seed_ips}


async def put_and_heard(world: World, version: int, served: list[Machine]) -> None:
    """A version that is acknowledged is in force at these balancers in time."""
    operator = world.operator("operator", world.primary())
    assert (await operator.put(configuration(version), version - 1)).status == 200
    planes = [machine.plane for machine in served]
    await world.wait_until(lambda: all(p.ver == version for p in planes), APPLY_S, f"version {version} there")


@pytest.mark.parametrize("seed", SEEDS)
def test_a_balancer_that_reaches_a_member_hears_the_leader(seed: int) -> None:
    draw = random.Random(seed)

    async def scene(world: World) -> None:
        await start_fleet(world)
        for version in range(6, 6 + ROUNDS):
            reached = cut_some(world, draw)
            await restart_some(world, draw, reached)
            await world.wait(CONTACT_S)
            await put_and_heard(world, version, [m for m in world.edges() if reached[m.name]])
            world.heal()
            await wait_in_force(world, version, CONTACT_S)
        relays = [world.node(m.name).components()[1].relay for m in world.cores()]
        await world.wait_until(lambda: not any(r.is_running() for r in relays), 20.0, "nothing is passed on")

    play(scene, cores=5, edges=6, faults=2, seed=seed + 1)
