"""A leader that other members reach and some balancers don't: a member relays its updates.

Balancers of three zones out of four kept an outdated version for 5 s after a change of leader. The new
leader's zone refused new connections and kept established ones, so members reached it and balancers did not.
"""

from __future__ import annotations

from typing import Any

import pytest

from control.update_relay import RETURN_WINDOW_S, Redirects
from dissemination.follower import STALE_AFTER_S
from tests.fabric_callers import configuration
from tests.fabric_scenes import start_fleet, wait_in_force
from tests.fabric_world import World, play
from transport.endpoint import Endpoint

WITHIN_S = 5.0  # `contact_ms` and `apply_ms`, and the time of a takeover
CONTACT_S = 4.0


def refuse_connections(world: World, node: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Refuse all new connections of balancers to a machine."""
    ip = world.machines[node].ip
    for machine in world.edges():
        links: Any = machine.role._links
        real = links.dial

        async def dial(endpoint: Endpoint, real: Any = real) -> Any:
            return None if endpoint.ip == ip else await real(endpoint)

        monkeypatch.setattr(links, "dial", dial)


def test_balancers_hear_a_leader_that_only_other_members_reach(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        first, successor = world.primary(), world.backup()
        refuse_connections(world, successor, monkeypatch)
        world.kill(first)
        await world.wait_until(lambda: world.primary() == successor, 3.0, "the backup leads")
        assert (await world.operator("operator", successor).put(configuration(6), 5)).status == 200
        await wait_in_force(world, 6, WITHIN_S)

    play(scene, edges=3)


def balancers_known_to_leader(world: World) -> set[str]:
    """Return the balancers that the leader reports as present."""
    return {balancer.node for balancer in world.node(world.primary()).components()[1].reported_state()[0]}


def test_balancers_of_a_zone_without_a_path_to_the_leader_go_on() -> None:
    """Two zones have no path to each other and a third reaches both; the relay ends when the path is back."""

    async def scene(world: World) -> None:
        await start_fleet(world)
        leader = world.primary()
        near = {m.name for m in world.edges() if m.zone == world.machines[leader].zone}
        far = sorted({m.name for m in world.edges()} - near)
        world.cut([leader], far)
        await world.wait(CONTACT_S)
        assert (await world.operator("operator", leader).put(configuration(6), 5)).status == 200
        await wait_in_force(world, 6)
        assert balancers_known_to_leader(world) == {m.name for m in world.edges()}
        world.heal()
        relays = [world.node(m.name).components()[1].relay for m in world.cores()]
        await world.wait_until(lambda: not any(r.is_running() for r in relays), 20.0, "no relay is running")
        await world.wait_served()
        assert balancers_known_to_leader(world) == {m.name for m in world.edges()}

    play(scene, edges=6)


def test_the_leaders_news_come_from_its_heir_once_it_is_gone() -> None:
    """The relaying member becomes the leader, and the balancers attached to it stay."""

    async def scene(world: World) -> None:
        await start_fleet(world)
        leader = world.primary()
        world.cut([leader], [m.name for m in world.edges()])
        await world.wait(CONTACT_S)
        world.kill(leader)
        await world.wait_until(lambda: world.primary() not in ("", leader), 3.0, "another leads")
        assert (await world.operator("operator", world.primary()).put(configuration(6), 5)).status == 200
        await wait_in_force(world, 6, WITHIN_S)

    play(scene, edges=4)


def test_the_news_go_on_while_the_last_balancer_is_on_its_way_back() -> None:
    """No pulse came for 0.9 s and more, as the member had reported to the leader that none was left."""

    async def scene(world: World) -> None:
        await start_fleet(world)
        leader, follower = world.primary(), world.edges()[0].role._follower
        world.cut([leader, world.backup()], ["edge-1"])
        await world.wait(CONTACT_S)
        follower._close_link()
        for _ in range(30):
            await world.wait(0.1)
            assert follower.is_fresh(STALE_AFTER_S)

    play(scene, edges=1)


def test_only_who_comes_back_soon_has_not_reached_the_leader() -> None:
    redirects = Redirects()
    assert not redirects.has_come_back("edge-1", "10.1.0.1", 0.0)
    redirects.add("edge-1", "10.1.0.1", 0.0)
    assert redirects.has_come_back("edge-1", "10.1.0.1", RETURN_WINDOW_S)
    assert not redirects.has_come_back("edge-1", "10.1.0.1", RETURN_WINDOW_S + 0.1)
    assert not redirects.has_come_back("edge-1", "10.2.0.1", 1.0)
    assert not redirects.has_come_back("edge-2", "10.1.0.1", 1.0)
