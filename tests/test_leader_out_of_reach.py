"""A leader that the other members reach and some balancers do not: they hear its news from a member.

Seen: after the leader was killed, balancers of three zones of four kept a version that was 2.5 s and more
out of date until 5 s later, while the leader took new ones. How: the zone of the new leader refused new
connections from other zones and kept the established ones, so the other members heard its beats and every
balancer outside that had to dial it was refused. Cause: news came from the leader alone, and the other
members only said where it is. Proof: a balancer told so many times came back each time, and a member that
passes the leader's news on ends it (`control/news_relay.py`).
"""

from __future__ import annotations

from typing import Any

import pytest

from control.news_relay import RETURN_S, Referrals
from dissemination.follower import STALE_AFTER_S
from tests.fabric_callers import configuration
from tests.fabric_scenes import start_fleet, wait_in_force
from tests.fabric_world import World, play
from transport.endpoint import Endpoint

WITHIN_S = 5.0  # `contact_ms` and `apply_ms`, with what a takeover takes
CONTACT_S = 4.0


def refuse(world: World, node: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """No balancer gets a new connection to a machine."""
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
        first, heir = world.primary(), world.backup()
        refuse(world, heir, monkeypatch)
        world.kill(first)
        await world.wait_until(lambda: world.primary() == heir, 3.0, "the backup leads")
        assert (await world.operator("operator", heir).put(configuration(6), 5)).status == 200
        await wait_in_force(world, 6, WITHIN_S)

    play(scene, edges=3)


def heard_by_leader(world: World) -> set[str]:
    """The balancers that are present, as the leader tells it."""
    return {balancer.node for balancer in world.node(world.primary()).components()[1].reported_state()[0]}


def test_balancers_of_a_zone_without_a_path_to_the_leader_go_on() -> None:
    """Two zones that have no path while a third reaches both; and all is as before once they have one."""

    async def scene(world: World) -> None:
        await start_fleet(world)
        leader = world.primary()
        near = {m.name for m in world.edges() if m.zone == world.machines[leader].zone}
        far = sorted({m.name for m in world.edges()} - near)
        world.cut([leader], far)
        await world.wait(CONTACT_S)
        assert (await world.operator("operator", leader).put(configuration(6), 5)).status == 200
        await wait_in_force(world, 6)
        assert heard_by_leader(world) == {m.name for m in world.edges()}
        world.heal()
        passing_on = [world.node(m.name).components()[1].relay for m in world.cores()]
        await world.wait_until(
            lambda: not any(r.is_running() for r in passing_on), 20.0, "nothing is passed on"
        )
        await world.wait_served()
        assert heard_by_leader(world) == {m.name for m in world.edges()}

    play(scene, edges=6)


def test_the_leaders_news_come_from_its_heir_once_it_is_gone() -> None:
    """A member that passed them on leads; the balancers below it stay."""

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
    """Seen: no pulse for 0.9 s and more, as the member had told the leader that nobody is below it."""

    async def scene(world: World) -> None:
        await start_fleet(world)
        leader, follower = world.primary(), world.edges()[0].role._follower
        world.cut([leader, world.backup()], ["edge-1"])
        await world.wait(CONTACT_S)
        follower._leave()
        for _ in range(30):
            await world.wait(0.1)
            assert follower.is_fresh(STALE_AFTER_S)

    play(scene, edges=1)


def test_only_who_comes_back_soon_has_not_reached_the_leader() -> None:
    referrals = Referrals()
    assert not referrals.has_come_back("edge-1", "10.1.0.1", 0.0)
    referrals.add("edge-1", "10.1.0.1", 0.0)
    assert referrals.has_come_back("edge-1", "10.1.0.1", RETURN_S)
    assert not referrals.has_come_back("edge-1", "10.1.0.1", RETURN_S + 0.1)
    assert not referrals.has_come_back("edge-1", "10.2.0.1", 1.0)
    assert not referrals.has_come_back("edge-2", "10.1.0.1", 1.0)
