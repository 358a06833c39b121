"""The platform's list: all pages or none, whatever it says; the last good one stays; the log is short."""

from __future__ import annotations

import json
from typing import Any

import pytest

from barograph.platform import PlatformError, PlatformList, pack
from sonde.messages import Pulse
from tests.fabric_callers import PLATFORM, DataPlane, upstream
from tests.fabric_scenes import begun
from tests.fabric_world import World, play


def test_all_pages_are_joined() -> None:
    async def scene(world: World) -> None:
        world.platform.entries = [upstream(f"i-{n}") for n in range(120)]
        platform = PlatformList(PLATFORM)
        entries = await platform.read()
        assert [e["id"] for e in entries] == [f"i-{n}" for n in range(120)] and platform.pages == 3
        world.platform.entries = []
        assert await platform.read() == [] and platform.pages == 1

    play(scene, starts=False)


@pytest.mark.parametrize("says", ["429", "nothing", "garbage", "endless"])
def test_what_is_no_list_is_an_error_and_the_next_read_is_well(says: str) -> None:
    async def scene(world: World) -> None:
        world.platform.entries = [upstream("i-1")]
        platform = PlatformList(PLATFORM)
        await platform.read()
        world.platform.says = says
        for _ in range(2):
            with pytest.raises(PlatformError):
                await platform.read()
        world.platform.says = "list"
        assert len(await platform.read()) == 1

    play(scene, starts=False)


@pytest.mark.parametrize(
    "body", [b"", b"[]", b"{}", b'{"upstreams": 5}', b'{"upstreams": null}', b"\xff", b"nul"]
)
def test_bodies_that_hold_no_list_are_errors(body: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(world: World) -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        monkeypatch.setattr(world.platform, "answer", lambda target, caller: head + body)
        with pytest.raises(PlatformError):
            await PlatformList(PLATFORM).read()

    play(scene, starts=False)


def test_the_last_good_list_stays_and_a_long_outage_is_one_line() -> None:
    async def scene(world: World) -> None:
        await begun(world)
        for says in ("429", "nothing", "garbage"):
            world.platform.says = says
            world.transcript.logs.clear()
            await world.wait(10.0)
            assert all(m.plane.ids == ["i-1", "i-2"] for m in world.edges())
            assert sum("event=list_unread" in line for line in world.transcript.logs) == 1
        world.platform.says, world.platform.entries = "list", [upstream("i-9")]
        await world.until(lambda: all(m.plane.ids == ["i-9"] for m in world.edges()), 2.5, "the list is back")

    play(scene, edges=2)


def test_alike_lists_are_the_same_bytes() -> None:
    one = [upstream("b", cold_left_ms=500), upstream("a")]
    other: list[dict[str, Any]] = [upstream("a", cold_left_ms=3), upstream("b")]
    assert pack(one) == pack(other)
    assert pack(one) != pack([upstream("a"), upstream("b", state="draining")])
    assert [e["id"] for e in json.loads(pack(one))["upstreams"]] == ["a", "b"]
    assert json.loads(pack([{"no": "id"}, upstream("a")]))["upstreams"]


def test_entries_that_make_no_sense_cost_only_themselves() -> None:
    async def scene(world: World) -> None:
        await begun(world)
        odd: list[Any] = [
            5,
            None,
            {},
            {"id": None},
            upstream("x", addr="nowhere"),
            upstream("y", capacity="many"),
        ]
        world.platform.entries = [upstream("i-1"), *odd, upstream("i-7")]
        await world.until(lambda: all(m.plane.ids == ["i-1", "i-7"] for m in world.edges()), 2.5)

    play(scene, edges=2)


def test_a_fault_in_the_work_of_a_role_does_not_end_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """The primary's pulse and a lone balancer's watch go on behind a fault that nobody foresaw."""

    async def scene(world: World) -> None:
        await begun(world)
        herald = world.node(world.primary())._herald
        counted, faults = herald._count, [1, 1]
        monkeypatch.setattr(herald, "_count", lambda: faults.pop() // 0 if faults else counted())
        await world.wait(3.0)
        assert not faults
        assert [at for at, *_, m in world.transcript.said(Pulse) if at > world.now() - 500]
        listed, again = DataPlane.list_upstreams, [1]

        def fails(plane: DataPlane, entries: Any) -> None:
            if again:
                again.pop()
                raise RuntimeError("not foreseen")
            listed(plane, entries)

        monkeypatch.setattr(DataPlane, "list_upstreams", fails)
        world.power_off("core-1", "core-2", "core-3")
        world.platform.entries = [upstream("i-4")]
        await world.wait(4.0)
        world.platform.entries = [upstream("i-5")]
        await world.until(lambda: all(m.plane.ids == ["i-5"] for m in world.edges()), 6.0, "they read on")
        assert sum("event=work_failed" in line for line in world.transcript.logs) == 3

    play(scene, edges=2)
