"""Patches of a configuration: their result, what is rejected, and that retries are recognised."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from config.checking import ConfigurationReader, check
from config.errors import InvalidConfigurationError
from config.patching import apply_patch, parse_patch
from tests.fabric_callers import ask, call, configuration
from tests.fabric_scenes import start_fleet, wait_in_force
from tests.fabric_world import CTL_PORT, World, play


def route(name: str, **changes: Any) -> dict[str, Any]:
    return {"name": name, "host": "h", "path_prefix": f"/{name}/", "deadline_ms": 100, "svc": "s"} | changes


def service(name: str, **changes: Any) -> dict[str, Any]:
    return {"name": name, "max_conns": 5} | changes


def whole(ver: int, routes: list[Any], svcs: list[Any]) -> bytes:
    return json.dumps({"ver": ver, "routes": routes, "svcs": svcs, "extra": {"kept": True}}).encode()


FIRST = whole(1, [route("a"), route("b")], [service("s")])


def patched(change: Any, body: bytes = FIRST) -> dict[str, Any]:
    raw = change if isinstance(change, bytes) else json.dumps(change).encode()
    found: dict[str, Any] = json.loads(apply_patch(body, parse_patch(raw), ConfigurationReader()).body)
    return found


def test_what_is_replaced_keeps_its_place_and_what_is_new_comes_last() -> None:
    found = patched(
        {"ver": 3, "upsert": {"routes": [route("c"), route("a", tries=2)], "svcs": [service("t")]}}
    )
    assert found == json.loads(
        whole(3, [route("a", tries=2), route("b"), route("c")], [service("s"), service("t")])
    )


def test_removed_items_are_gone_and_the_rest_stays() -> None:
    assert patched({"ver": 2, "remove": {"routes": ["a"]}}) == json.loads(
        whole(2, [route("b")], [service("s")])
    )
    assert patched({"ver": 9})["routes"] == [route("a"), route("b")]


@pytest.mark.parametrize(
    ("change", "message"),
    [
        (b"{", "not complete JSON"),
        (b"[]", "not an object"),
        ({"upsert": {}}, "ver is missing"),
        ({"ver": True}, "ver is true"),
        ({"ver": "2"}, 'ver is "2"'),
        ({"ver": 2, "limits": {}}, 'no field "limits"'),
        ({"ver": 2, "upsert": []}, "upsert is a list"),
        ({"ver": 2, "upsert": {"zones": []}}, 'the unknown list "zones"'),
        ({"ver": 2, "remove": {"limits": []}}, 'the unknown list "limits"'),
        ({"ver": 2, "upsert": {"routes": {}}}, "upsert.routes is an object"),
        ({"ver": 2, "upsert": {"routes": ["a"]}}, r"upsert.routes\[0\] has no name"),
        ({"ver": 2, "upsert": {"routes": [{"host": "h"}]}}, r"upsert.routes\[0\] has no name"),
        ({"ver": 2, "upsert": {"routes": [route("c"), route("c")]}}, 'names "c" twice'),
        ({"ver": 2, "remove": {"routes": ["a", "a"]}}, 'names "a" twice'),
        ({"ver": 2, "remove": {"routes": [1]}}, r"remove.routes\[0\] is a number"),
        ({"ver": 2, "remove": {"routes": ["z"]}}, 'no "z" in routes to remove'),
        ({"ver": 2, "upsert": {"routes": [route("a")]}, "remove": {"routes": ["a"]}}, "in upsert and in rem"),
        ({"ver": 2, "upsert": {"routes": [route("c", svc="zz")]}}, 'unknown service "zz"'),
        ({"ver": 2, "upsert": {"routes": [route("c", path_prefix="/a/")]}}, "the same host and path_prefix"),
        ({"ver": 2, "upsert": {"routes": [route("c", deadline_ms=0)]}}, "deadline_ms"),
        ({"ver": 2, "remove": {"svcs": ["s"]}}, 'unknown service "s"'),
        ({"ver": 0}, "ver is 0"),
    ],
)
def test_what_can_not_be_taken_is_refused_with_what_is_wrong(change: Any, message: str) -> None:
    with pytest.raises(InvalidConfigurationError, match=message):
        patched(change)


NAMES = st.sampled_from("abcdef")
STEP = st.tuples(
    st.dictionaries(NAMES, st.integers(1, 9), max_size=4), st.sets(NAMES, max_size=3), st.booleans()
)


@settings(max_examples=150, deadline=None)
@given(steps=st.lists(STEP, min_size=1, max_size=6))
def test_any_series_of_patches_gives_what_the_whole_document_would(steps: list[Any]) -> None:
    """All patches go through one reader, as in a process: its cache of items must not affect the results."""
    reader, body = ConfigurationReader(), FIRST
    routes = {r["name"]: r for r in json.loads(FIRST)["routes"]}
    for ver, (upsert, remove, is_upper) in enumerate(steps, start=2):
        host = "H" if is_upper else "h"
        items = [route(name, tries=tries, host=host) for name, tries in upsert.items()]
        gone = sorted((remove & routes.keys()) - upsert.keys())
        change = {"ver": ver, "upsert": {"routes": items}, "remove": {"routes": gone}}
        checked = apply_patch(body, parse_patch(json.dumps(change).encode()), reader)
        routes = {n: r for n, r in routes.items() if n not in gone} | {r["name"]: r for r in items}
        expected = whole(ver, list(routes.values()), [service("s")])
        assert json.loads(checked.body) == json.loads(expected)
        assert checked.configuration == check(expected).configuration
        body = checked.body


# ---- through the operators' HTTP interface


def stored_bodies(world: World) -> set[bytes]:
    """Returns the distinct bodies stored by the replicas that hold the data."""
    replicas = [world.node(m.name)._replica for m in world.cores() if world.running(m)]
    return {r.durable_state.document.body for r in replicas if r is not None and r.durable_state.is_holder()}


def change(ver: int, *names: str, **more: Any) -> dict[str, Any]:
    routes = [json.loads(configuration(5))["routes"][0] | {"name": n, "path_prefix": f"/{n}/"} for n in names]
    return {"ver": ver, "upsert": {"routes": routes}} | more


def test_a_patch_is_acknowledged_in_force_and_the_same_on_every_holder() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        operator = world.operator()
        assert (await operator.patch(change(7, "new"), 5)).status == 200
        await wait_in_force(world, 7)
        read = json.loads((await operator.get()).body)
        assert read["ver"] == 7 and "new" in [r["name"] for r in read["routes"]]
        assert read["svcs"] == json.loads(configuration(5))["svcs"]
        await world.wait(0.5)
        assert len(stored_bodies(world)) == 1

    play(scene, edges=2)


def test_a_repeat_is_acknowledged_also_after_later_changes_and_others_get_412_or_400() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        operator = world.operator()
        first = change(6, "one")
        for base, sent, status in [
            (5, first, 200),
            (5, first, 200),
            (5, change(6, "two"), 412),
            (6, change(6, "two"), 400),
            (6, change(4, "two"), 400),
            (9, change(10, "two"), 412),
            (6, change(8, "two"), 200),
            (5, first, 200),
            (6, change(8, "two"), 200),
            (8, change(9, remove={"routes": ["nobody"]}), 400),
        ]:
            assert (await operator.patch(sent, base)).status == status, (base, sent)
        assert json.loads((await operator.get()).body)["ver"] == 8

    play(scene, edges=1)


def test_of_patches_that_race_on_one_version_one_wins_and_nothing_of_the_other_is_kept() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        requests = [
            world.operator(f"operator-{n}", f"core-{n}").patch(change(5 + n, f"by-{n}"), 5) for n in (1, 2, 3)
        ]
        answers = [await world.loop.create_task(request) for request in requests]
        assert sorted(a.status for a in answers) == [200, 412, 412]
        names = [r["name"] for r in json.loads((await world.operator().get()).body)["routes"]]
        assert sum(name.startswith("by-") for name in names) == 1

    play(scene, edges=1)


def test_a_patch_whose_primary_is_lost_is_taken_once() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        first = world.primary()
        others = [m.name for m in world.cores() if m.name != first]
        request = world.loop.create_task(
            world.operator("operator", first, *others).patch(change(6, "one"), 5)
        )
        await world.wait(0.004)
        world.kill(first)
        assert (await request).status == 200
        names = [r["name"] for r in json.loads((await world.operator("o", *others).get()).body)["routes"]]
        assert names.count("one") == 1

    play(scene, edges=1)


def test_a_patch_of_many_routes_is_taken_and_one_without_a_version_to_build_on_is_refused() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        big = change(6, *(f"r{n}" for n in range(1_400)))
        assert (await world.operator().patch(big, 5)).status == 200
        await wait_in_force(world, 6)
        primary = world.machines[world.primary()]
        raw = call("PATCH", "/api/config", json.dumps(change(7)).encode())
        answer = await ask((primary.ip, CTL_PORT), raw)
        assert answer is not None and answer.status == 400 and b"If-Match" in answer.body

    play(scene, edges=1)
