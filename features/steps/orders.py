"""Steps about operators and their orders."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from tests.fabric import OUTSIDE
from tests.fabric_callers import Ended, configuration
from tests.fabric_story import given, then, when
from tests.fabric_world import World

ROUTE = {"name": "r", "host": "a.example", "path_prefix": "/run/", "deadline_ms": 8000, "svc": "pool"}
INVALID = {
    "that ends in the middle": configuration(7)[:40],
    "with a route to an unknown service": configuration(7, routes=[ROUTE | {"svc": "nobody"}]),
    "with a deadline of 0": configuration(7, routes=[ROUTE | {"deadline_ms": 0}]),
    "with two routes at one place": configuration(7, routes=[ROUTE, ROUTE | {"name": "s"}]),
    "with weights that sum to 0": configuration(7, routes=[ROUTE | {"split": [{"svc": "pool", "wt": 0}]}]),
    "with a version that is not above 5": configuration(3),
}


def _put(context: Any, body: bytes, base: int, name: str = "operator") -> Ended:
    world: World = context.stories.world

    async def step() -> Ended:
        since = world.loop.time()
        ended = await world.operator(name).put(body, base)
        context.took_s = world.loop.time() - since
        return ended

    ended: Ended = context.stories.play(step())
    return ended


@given("the operator does not hear the answer")
def answer_lost(context: Any) -> None:
    """The link to the operator fails right after his order got through, for a second."""
    world: World = context.stories.world

    async def fail() -> None:
        await world.wait(0.0015)
        world.network.cut([m.ip for m in world.cores()], [OUTSIDE], both_ways=False)
        await world.wait(1.1)
        world.network.heal()

    context.fails = world.loop.create_task(fail())


@when("an operator puts version {ver:d} on top of version {base:d}")
@when("he puts version {ver:d} on top of version {base:d}, again and again")
def put(context: Any, ver: int, base: int) -> None:
    """He sends it until he gets a clear answer."""
    context.ver = ver
    context.ended = _put(context, configuration(ver), base)


@when("two operators put versions {one:d} and {two:d} on top of version {base:d} at the same time")
def put_two(context: Any, one: int, two: int, base: int) -> None:
    """Each asks another control machine first."""
    world: World = context.stories.world

    async def step() -> list[Ended]:
        first = world.operator("one", "core-1", "core-2").put(configuration(one), base)
        second = world.operator("two", "core-2", "core-3").put(configuration(two), base)
        return list(await asyncio.gather(first, second))

    context.ends = dict(zip((one, two), context.stories.play(step()), strict=True))


@when("an operator puts a configuration {that_is_wrong} on top of version {base:d}")
def put_invalid(context: Any, that_is_wrong: str, base: int) -> None:
    """He gets a clear answer at once."""
    context.ended = _put(context, INVALID[that_is_wrong], base)


@then("it is acknowledged within {seconds:d} seconds")
def acknowledged(context: Any, seconds: int) -> None:
    """The operator has heard 200."""
    assert context.ended.status == 200
    assert context.took_s < seconds


@then("version {ver:d} was taken once")
def taken_once(context: Any, ver: int) -> None:
    """The holders have written it once, however often it came."""
    world: World = context.stories.world
    durable_state = world.node(world.primary())._keeper.durable_state
    assert [t.ver for t in durable_state.document.taken].count(ver) == 1
    assert context.ended.tries > 1


@then("reading the configuration back gives version {ver:d} as it was sent")
def read_back(context: Any, ver: int) -> None:
    """Byte by byte."""
    world: World = context.stories.world
    ended: Ended = context.stories.play(world.operator("reader").get())
    assert ended.status == 200 and ended.body == configuration(ver)


@then("one of them is acknowledged, and the other hears that another version is in place")
def one_wins(context: Any) -> None:
    """200 and 412."""
    assert sorted(ended.status for ended in context.ends.values()) == [200, 412]
    context.ver = next(ver for ver, ended in context.ends.items() if ended.status == 200)


@then("all balancers serve the acknowledged one within {seconds:d} seconds")
def all_serve_it(context: Any, seconds: int) -> None:
    """And not the other."""
    world: World = context.stories.world
    everywhere = world.wait_until(
        lambda: all(m.plane.ver == context.ver for m in world.edges()), float(seconds)
    )
    context.stories.play(everywhere)
    assert all(c.ver in (5, context.ver) for m in world.edges() for _, c in m.plane.configured)


@then("it is turned away with a status of {status:d} and {remedy}")
def turned_away(context: Any, status: int, remedy: str) -> None:
    """At once, in a line that says what to do."""
    assert context.ended.status == status and context.ended.tries == 1
    assert remedy in json.loads(context.ended.body)["error"]


@then("he hears that version {ver:d} is in place")
def is_in_place(context: Any, ver: int) -> None:
    """412, and the version to build on."""
    assert context.ended.status == 412
    assert f"version {ver} is in place" in json.loads(context.ended.body)["error"]
