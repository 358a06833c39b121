"""Steps about operators and their changes of the configuration."""

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
    world: World = context.scenario_runner.world

    async def step() -> Ended:
        started_at = world.loop.time()
        result = await world.operator(name).put(body, base)
        context.duration_s = world.loop.time() - started_at
        return result

    result: Ended = context.scenario_runner.play(step())
    return result


@given("the operator does not hear the answer")
def cut_operator_link(context: Any) -> None:
    """Cut the link to the operator for about a second, right after the request has arrived."""
    world: World = context.scenario_runner.world

    async def fail() -> None:
        await world.wait(0.0015)
        world.network.cut([m.ip for m in world.cores()], [OUTSIDE], both_ways=False)
        await world.wait(1.1)
        world.network.heal()

    context.link_failure = world.loop.create_task(fail())


@when("an operator puts version {ver:d} on top of version {base:d}")
@when("he puts version {ver:d} on top of version {base:d}, again and again")
def put(context: Any, ver: int, base: int) -> None:
    """Put the version, retrying until the response is conclusive."""
    context.ver = ver
    context.result = _put(context, configuration(ver), base)


@when("two operators put versions {one:d} and {two:d} on top of version {base:d} at the same time")
def put_two(context: Any, one: int, two: int, base: int) -> None:
    """Put two versions concurrently, each at another control machine first."""
    world: World = context.scenario_runner.world

    async def step() -> list[Ended]:
        first = world.operator("one", "core-1", "core-2").put(configuration(one), base)
        second = world.operator("two", "core-2", "core-3").put(configuration(two), base)
        return list(await asyncio.gather(first, second))

    context.results = dict(zip((one, two), context.scenario_runner.play(step()), strict=True))


@when("an operator puts a configuration {that_is_wrong} on top of version {base:d}")
def put_invalid(context: Any, that_is_wrong: str, base: int) -> None:
    """Put an invalid configuration."""
    context.result = _put(context, INVALID[that_is_wrong], base)


@then("it is acknowledged within {seconds:d} seconds")
def check_acknowledged(context: Any, seconds: int) -> None:
    """Check that the operator received 200 in time."""
    assert context.result.status == 200
    assert context.duration_s < seconds


@then("version {ver:d} was taken once")
def check_applied_once(context: Any, ver: int) -> None:
    """Check that the version was applied once, although it was sent more than once."""
    world: World = context.scenario_runner.world
    durable_state = world.node(world.primary())._keeper.durable_state
    assert [t.ver for t in durable_state.document.taken].count(ver) == 1
    assert context.result.tries > 1


@then("reading the configuration back gives version {ver:d} as it was sent")
def check_read_back(context: Any, ver: int) -> None:
    """Check that the configuration is the same byte by byte."""
    world: World = context.scenario_runner.world
    result: Ended = context.scenario_runner.play(world.operator("reader").get())
    assert result.status == 200 and result.body == configuration(ver)


@then("one of them is acknowledged, and the other hears that another version is in place")
def check_one_wins(context: Any) -> None:
    """Check that one response is 200 and the other 412."""
    assert sorted(result.status for result in context.results.values()) == [200, 412]
    context.ver = next(ver for ver, result in context.results.items() if result.status == 200)


@then("all balancers serve the acknowledged one within {seconds:d} seconds")
def check_all_serve_acknowledged(context: Any, seconds: int) -> None:
    """Check that all balancers apply the acknowledged version and never the other."""
    world: World = context.scenario_runner.world
    all_applied = world.wait_until(
        lambda: all(m.plane.ver == context.ver for m in world.edges()), float(seconds)
    )
    context.scenario_runner.play(all_applied)
    assert all(c.ver in (5, context.ver) for m in world.edges() for _, c in m.plane.configured)


@then("it is turned away with a status of {status:d} and {remedy}")
def check_rejected(context: Any, status: int, remedy: str) -> None:
    """Check that the first response has this status, and a message with the remedy."""
    assert context.result.status == status and context.result.tries == 1
    assert remedy in json.loads(context.result.body)["error"]


@then("he hears that version {ver:d} is in place")
def check_current_version(context: Any, ver: int) -> None:
    """Check that the response is 412 and names the current version."""
    assert context.result.status == 412
    assert f"version {ver} is in place" in json.loads(context.result.body)["error"]
