"""Required versions of models' weights: which upstreams get requests."""

from __future__ import annotations

import json
import random
from collections.abc import Iterable

import pytest

from balancer.prompt import Prompt
from balancer.tiers import DECODE, PREFILL, Tiers
from balancer.versions import wanted_versions
from config.checking import check
from config.configuration import LoadedModel, Upstream
from config.errors import InvalidConfigurationError
from tests.fabric_callers import configuration
from tests.fabric_scenes import start_fleet, wait_in_force
from tests.fabric_world import World, play

PROMPT = Prompt(0, 0, b"")


def upstream(name: str, phase: str, ver: int, state: str = "up") -> Upstream:
    place = f"10.0.0.{sum(name.encode()) % 250}:80"
    return Upstream(name, "pool", place, "a", state=state, phase=phase, models=(LoadedModel("m", ver),))


def body(ver: object) -> bytes:
    """Return a configuration that requires a version of a model's weights."""
    service = {"name": "pool", "backend": {"models": [{"name": "m", "ver": ver}]}}
    return json.dumps({"ver": 7, "routes": [], "svcs": [service]}).encode()


def drawn(tiers: Tiers) -> tuple[set[str], set[str]]:
    """Return the prefill and decode upstreams that are selected in many draws."""
    readers = [tiers.pick_prefill("pool", PROMPT, (), 0.0) for _ in range(60)]
    runners = [tiers.pick_decode("pool", None, "a", (), 0.0) for _ in range(60)]
    return {p.entry.id for p in readers if p is not None}, {p.entry.id for p in runners if p is not None}


def tiers_of(entries: Iterable[Upstream], ver: int) -> Tiers:
    tiers = Tiers(random.Random(1), lambda name: True)
    tiers.update(tuple(entries), 0.0)
    tiers.set_wanted_versions(wanted_versions(check(body(ver)).configuration), 0.0)
    return tiers


OLD = [upstream(n, PREFILL, 1) for n in ("r1", "r2")] + [upstream(n, DECODE, 1) for n in ("d1", "d2")]
NEW = [upstream("r3", PREFILL, 2), upstream("d3", DECODE, 2), upstream("d4", DECODE, 3)]


def test_only_upstreams_of_the_version_that_is_named_or_a_later_one_get_requests() -> None:
    assert drawn(tiers_of(OLD + NEW, 2)) == ({"r3"}, {"d3", "d4"})


def test_without_a_version_all_get_requests() -> None:
    assert drawn(tiers_of(OLD + NEW, 0)) == ({"r1", "r2", "r3"}, {"d1", "d2", "d3", "d4"})


def test_as_long_as_one_part_lacks_the_version_all_go_on() -> None:
    assert drawn(tiers_of(OLD + NEW[:1], 2)) == ({"r1", "r2", "r3"}, {"d1", "d2"})
    gone = [upstream("r3", PREFILL, 2, "draining"), *NEW[1:]]
    assert drawn(tiers_of(OLD + gone, 2)) == ({"r1", "r2"}, {"d1", "d2", "d3", "d4"})


def test_the_list_decides_anew_as_upstreams_come() -> None:
    tiers = tiers_of(OLD, 2)
    assert drawn(tiers) == ({"r1", "r2"}, {"d1", "d2"})
    tiers.update(tuple(OLD + NEW), 1.0)
    assert drawn(tiers) == ({"r3"}, {"d3", "d4"})


@pytest.mark.parametrize("ver", ["2", 2.5, True, [2]])
def test_a_version_that_is_no_whole_number_is_refused(ver: object) -> None:
    with pytest.raises(InvalidConfigurationError, match="ver"):
        check(body(ver))


def test_such_a_configuration_is_acknowledged_in_time_and_in_force() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        sent = world.loop.time()
        changed_configuration = json.loads(configuration(6))
        for service in changed_configuration["svcs"]:
            service["backend"] = {"models": [{"name": "m", "ver": 2}]}
        ended = await world.operator().put(json.dumps(changed_configuration).encode(), 5)
        assert ended.status == 200 and ended.at - sent < 0.5
        await wait_in_force(world, 6, 1.5)
        held = [m.plane.configured[-1][1] for m in world.edges()]
        assert all(wanted_versions(configured) for configured in held)

    play(scene, edges=2)
