"""Random histories in which balancers repeatedly lose their paths to some members.

A balancer with a path to one member receives the leader's updates while that member reaches the leader.
"""

from __future__ import annotations

import random

import pytest

from tests.fabric_callers import configuration
from tests.fabric_scenes import start_fleet, wait_in_force
from tests.fabric_world import Machine, World, play

CONTACT_S = 4.0  # time from a cut until updates must arrive
APPLY_S = 2.5
ROUNDS = 4
SEEDS = range(12)


def cut_some(world: World, rng: random.Random) -> dict[str, set[str]]:
    """Cut some paths to members, in one or both directions; returns the members each balancer reaches."""
    cores = [m.name for m in world.cores()]
    reached = {}
    for edge in world.edges():
        away = rng.sample(cores, rng.randint(0, len(cores)))
        for core in away:
            match rng.choice(("both", "up", "down")):
                case "both":
                    world.cut([edge.name], [core])
                case "up":
                    world.cut([edge.name], [core], both_ways=False)
                case "down":
                    world.cut([core], [edge.name], both_ways=False)
        reached[edge.name] = set(cores) - set(away)
    return reached


async def restart_some(world: World, rng: random.Random, reached: dict[str, set[str]]) -> None:
    """Restart the leader, a balancer, both or neither; a restarted balancer knows only the seeds."""
    if rng.random() < 0.3:
        leader = world.primary()
        world.kill(leader)
        await world.wait_until(lambda: world.primary() not in ("", leader), 3.0, "another leads")
        world.boot(leader)
    if rng.random() < 0.3:
        edge = rng.choice(world.edges())
        world.kill(edge.name)
        world.boot(edge.name)
        reached[edge.name] &= {world.name_of(ip) for ip in edge.settings.seed_ips}


async def put_and_wait(world: World, version: int, served: list[Machine]) -> None:
    """Put a version and wait until it takes effect at these balancers."""
    operator = world.operator("operator", world.primary())
    assert (await operator.put(configuration(version), version - 1)).status == 200
    planes = [machine.plane for machine in served]
    await world.wait_until(
        lambda: all(p.ver == version for p in planes), APPLY_S, f"version {version} in force"
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_a_balancer_that_reaches_a_member_hears_the_leader(seed: int) -> None:
    rng = random.Random(seed)

    async def scene(world: World) -> None:
        await start_fleet(world)
        for version in range(6, 6 + ROUNDS):
            reached = cut_some(world, rng)
            await restart_some(world, rng, reached)
            await world.wait(CONTACT_S)
            await put_and_wait(world, version, [m for m in world.edges() if reached[m.name]])
            world.heal()
            await wait_in_force(world, version, CONTACT_S)
        relays = [world.node(m.name).components()[1].relay for m in world.cores()]
        await world.wait_until(lambda: not any(r.is_running() for r in relays), 20.0, "no relay is running")

    play(scene, cores=5, edges=6, faults=2, seed=seed + 1)
