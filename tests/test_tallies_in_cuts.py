"""Tallies stay available on both sides of a partition and agree again after it.

Guards against a control process without tallies: all 1,402 calls of a deployment's applications were answered
with 404 and logged as unknown, because no check compared its operators' page with the declared calls. Each
replica now accepts adds and repairs differences (`tallies.replica`), so the sums agree after a partition.
"""

from __future__ import annotations

import json
from dataclasses import dataclass

import pytest

from tests.fabric_callers import ask, call
from tests.fabric_scenes import start_fleet
from tests.fabric_world import CTL_PORT, World, play

MERGE_S = 3.0


@dataclass
class Application:
    """A client that calls the control process of one machine and follows redirects."""

    world: World
    machine: str

    async def add(self, name: str, id_: str, actor: int = 1) -> int:
        """Adds to a tally; returns the HTTP status."""
        body = json.dumps({"id": id_, "actor": actor}).encode()
        status, _ = await self.send("POST", f"/api/tallies/{name}", body)
        return status

    async def total(self, name: str) -> int:
        """Returns the sum of a tally, -1 if the call fails."""
        status, body = await self.send("GET", f"/api/tallies/{name}")
        return int(json.loads(body)["sum"]) if status == 200 else -1

    async def send(self, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
        ip = self.world.machines[self.machine].ip
        for _ in range(3):
            answer = await ask((ip, CTL_PORT), call(method, path, body))
            if answer is None:
                return 0, b""
            if answer.status != 307:
                return answer.status, answer.body
            ip = answer.headers["location"].removeprefix("http://").partition(":")[0]
        return 307, b""


def test_adds_on_both_sides_of_a_cut_count_once_everywhere() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        one, two, three = (Application(world, m.name) for m in world.cores())
        assert await one.add("t3", "a1") == 200
        assert await one.total("t3") == 1
        world.cut([one.machine], [two.machine, three.machine])
        await world.wait(2.0)
        assert await one.add("t3", "a2") == 200
        assert await two.add("t3", "a3") == 200
        assert await three.add("t3", "a2") == 200  # Its caller got no answer from the other side.
        assert await one.add("t3", "a2") == 200
        assert await one.total("t3") == 2
        world.heal()
        await world.wait(MERGE_S)
        assert [await app.total("t3") for app in (one, two, three)] == [3, 3, 3]

    play(scene)


def apps(world: World) -> list[Application]:
    return [Application(world, m.name) for m in world.cores() if m.name not in world.diskless]


async def wait_for_sum(world: World, name: str, total: int, within_s: float = MERGE_S) -> None:
    """Waits until all running members return this sum; none may return more."""
    running = [app for app in apps(world) if world.running(world.machines[app.machine])]
    until = world.loop.time() + within_s
    while (sums := [await app.total(name) for app in running]) != [total] * len(running):
        assert max(sums) <= total
        assert world.loop.time() < until, sums
        await world.wait(0.05)


@pytest.mark.parametrize("at", [0, 1, 2])
def test_an_add_outlives_the_disk_that_acknowledged_it(at: int) -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        app = apps(world)[at]
        assert await app.add("t1", "a", 5) == 200
        world.power_off(app.machine)
        world.machines[app.machine].disk.wipe()
        await world.wait(1.0)
        world.boot(app.machine)
        await world.wait(0.02)
        assert await app.total("t1") in (-1, 5), "the sum must not lack the lost add"
        await wait_for_sum(world, "t1", 5)

    play(scene)


def test_adds_outlive_a_loss_of_power_everywhere() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        for number, app in enumerate(apps(world) * 4):
            assert await app.add("t1", f"a{number}", number) == 200
        names = [m.name for m in world.cores()]
        world.power_off(*names)
        await world.wait(1.0)
        world.boot(*names)
        await world.wait(0.5)
        await wait_for_sum(world, "t1", sum(range(12)))
        assert await apps(world)[0].add("t1", "a3", 3) == 200  # The caller got no answer before.
        await wait_for_sum(world, "t1", sum(range(12)))

    play(scene)


def test_a_process_without_a_disk_leads_on_to_a_member_on_its_side() -> None:
    def before(world: World) -> None:
        world.diskless |= {"core-9"}
        world.core("core-9", "10.1.0.9", "hall-a")

    async def scene(world: World) -> None:
        await start_fleet(world)
        one, two, three = apps(world)
        nine = Application(world, "core-9")
        assert await nine.add("t1", "a", 1) == 200
        await wait_for_sum(world, "t1", 1)
        world.cut([one.machine, "core-9"], [two.machine, three.machine])
        await world.wait(2.0)
        assert await nine.add("t1", "b", 2) == 200
        assert await two.add("t1", "c", 4) == 200
        assert (await nine.total("t1"), await three.total("t1")) == (3, 5)
        world.power_off(one.machine)
        await world.wait(2.0)
        status, _ = await nine.send("GET", "/api/tallies/t1")
        assert status == 503, "no machine on its side has a disk"
        world.boot(one.machine)
        world.heal()
        await world.wait(1.0)
        await wait_for_sum(world, "t1", 7)

    play(scene, before=before)


def test_a_full_disk_takes_no_add_and_loses_none() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        app = apps(world)[1]
        disk = world.machines[app.machine].disk
        assert await app.add("t1", "a", 1) == 200
        disk.is_full = True
        assert await app.add("t1", "b", 2) in (503, 504)
        await world.wait(1.0)
        assert await app.add("t1", "c", 4) == 503
        assert await apps(world)[0].add("t1", "b", 2) == 200
        disk.is_full = False
        await world.wait(1.0)
        assert await app.add("t1", "c", 4) == 200
        await wait_for_sum(world, "t1", 7)
        world.power_off(app.machine)
        world.boot(app.machine)
        await world.wait(0.5)
        await wait_for_sum(world, "t1", 7)

    play(scene)


BAD = [
    ("POST", "/api/tallies/t1", b""),
    ("POST", "/api/tallies/t1", b"[1]"),
    ("POST", "/api/tallies/t1", b'{"id":"a"}'),
    ("POST", "/api/tallies/t1", b'{"actor":1}'),
    ("POST", "/api/tallies/t1", b'{"id":7,"actor":1}'),
    ("POST", "/api/tallies/t1", b'{"id":"","actor":1}'),
    ("POST", "/api/tallies/t1", b'{"id":"a","actor":-1}'),
    ("POST", "/api/tallies/t1", b'{"id":"a","actor":true}'),
    ("POST", "/api/tallies/t1", b'{"id":"a","actor":1.5}'),
    ("POST", "/api/tallies/t1", b'{"id":"a","actor":9007199254740993}'),
    ("POST", "/api/tallies/t1", b'{"id":"' + b"a" * 200 + b'","actor":1}'),
    ("POST", "/api/tallies/t1", b'{"id":"\\u0000","actor":1}'),
    ("POST", "/api/tallies/" + "t" * 200, b'{"id":"a","actor":1}'),
    ("POST", "/api/tallies/%0a", b'{"id":"a","actor":1}'),
    ("GET", "/api/tallies/%c3%a9", b""),
]


def test_bad_calls_get_one_clear_error_and_count_nothing() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        app = apps(world)[0]
        for method, path, body in BAD:
            status, answer = await app.send(method, path, body)
            assert (status, list(json.loads(answer))) == (400, ["error"]), (method, path, body)
        assert (await app.send("DELETE", "/api/tallies/t1"))[0] == 405
        assert (await app.send("GET", "/api/tallies/"))[0] == 404
        assert (await app.send("GET", "/api/tallies/a/b"))[0] == 404
        assert await app.total("t1") == 0
        assert world.node(app.machine).tallies.replica.adds.live == 0

    play(scene)


def test_calls_are_answered_beside_a_release_without_tallies(monkeypatch: pytest.MonkeyPatch) -> None:
    """Older releases ignore the messages of tallies; only the first add waits for them, briefly."""

    async def scene(world: World) -> None:
        await start_fleet(world)
        one, *others = apps(world)
        for other in others:
            monkeypatch.setattr(world.node(other.machine).tallies, "on_message", lambda ip, message: None)
            monkeypatch.setattr(world.node(other.machine).tallies, "tick", lambda others: None)
        await world.wait(1.0)
        since = world.loop.time()
        assert await one.add("t1", "a") == 200
        assert world.loop.time() - since < 0.5
        since = world.loop.time()
        assert await one.add("t1", "b") == 200
        assert world.loop.time() - since < 0.1

    play(scene)
