"""The platform's list: all pages or none, the last valid list is kept, and errors are logged once."""

from __future__ import annotations

import json
from typing import Any

import pytest

from control.cold_times import ColdTimes
from control.platform import RATE_SHARE, PlatformError, PlatformList, pack
from dissemination.messages import LeaderHeartbeat
from tests.fabric_callers import PLATFORM, DataPlane, upstream
from tests.fabric_scenes import start_fleet
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


def test_a_list_of_many_pages_is_read_within_the_platforms_rate() -> None:
    """2,800 upstreams take 56 calls: sent all at once, one was rejected and the whole list was lost."""

    async def scene(world: World) -> None:
        world.platform.entries = [upstream(f"i-{n}") for n in range(2_800)]
        world.platform.rate_per_s = 50.0
        platform = PlatformList(PLATFORM, 50.0 * RATE_SHARE)
        since = world.now()
        for _ in range(3):
            assert len(await platform.read()) == 2_800
        assert 56 * 3 / 40 - 1.1 < (world.now() - since) / 1000 < 56 * 3 / 40 + 0.1
        assert world.platform.busiest_second() <= 41 and len(world.platform.calls) == 168

    play(scene, starts=False)


def test_the_primary_reads_a_list_of_many_pages_in_turn() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        world.platform.rate_per_s = world.rate_per_s
        world.platform.entries = [upstream(f"i-{n}") for n in range(2_200)]
        await world.wait_until(lambda: all(len(m.plane.ids) == 2_200 for m in world.edges()), 4.0, "the list")
        world.platform.entries = [*world.platform.entries[:-1], upstream("i-new")]
        await world.wait_until(lambda: all("i-new" in m.plane.ids for m in world.edges()), 4.0, "a change")
        assert not any("event=list_unread" in line for line in world.transcript.logs)

    play(scene, edges=2)


def test_a_page_that_fails_is_asked_for_again_and_the_pages_before_it_stay(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene(world: World) -> None:
        world.platform.entries = [upstream(f"i-{n}") for n in range(200)]
        answer, calls = world.platform.answer, []

        def flaky(target: str, caller: str) -> bytes | None:
            calls.append(target)
            world.platform.says = "429" if len(calls) in (2, 4, 5) else "list"
            return answer(target, caller)

        monkeypatch.setattr(world.platform, "answer", flaky)
        assert len(await PlatformList(PLATFORM).read()) == 200
        tokens = [target.partition("page_token=p-")[2] for target in calls]
        assert tokens == ["", "50", "50", "100", "100", "100", "150"]

    play(scene, starts=False)


def test_what_is_missing_from_one_reading_of_many_pages_is_believed_gone_with_the_next() -> None:
    """An upstream that leaves while pages are read shifts the later ones, so one of them is on no page."""

    async def scene(world: World) -> None:
        names = [f"i-{n}" for n in range(120)]
        platform = PlatformList(PLATFORM)

        async def read(without: set[str]) -> set[str]:
            world.platform.entries = [upstream(n) for n in names if n not in without]
            return {e["id"] for e in await platform.read()}

        assert await read(set()) == set(names)
        assert await read({"i-3", "i-4"}) == set(names)
        assert await read({"i-3"}) == set(names) - {"i-3"}
        assert await read({"i-3"}) == set(names) - {"i-3"}
        assert await read(set()) == set(names)
        world.platform.entries = [upstream("i-1")]  # a single page is consistent
        assert [e["id"] for e in await platform.read()] == ["i-1"]

    play(scene, starts=False)


def test_the_last_good_list_stays_and_a_long_outage_is_one_line() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        for says in ("429", "nothing", "garbage"):
            world.platform.says = says
            world.transcript.logs.clear()
            await world.wait(10.0)
            assert all(m.plane.ids == ["i-1", "i-2"] for m in world.edges())
            assert sum("event=list_unread" in line for line in world.transcript.logs) == 1
        world.platform.says, world.platform.entries = "list", [upstream("i-9")]
        await world.wait_until(
            lambda: all(m.plane.ids == ["i-9"] for m in world.edges()), 2.5, "the list is back"
        )

    play(scene, edges=2)


def test_a_page_that_is_told_again_as_it_was_is_not_read_again() -> None:
    """Encoding a list of 2,800 took the primary 12 ms, and parsing more, every second."""

    async def scene(world: World) -> None:
        world.platform.entries = [upstream(f"i-{n}") for n in range(120)]
        platform = PlatformList(PLATFORM)
        first, second = await platform.read(), await platform.read()
        assert all(a is b for a, b in zip(first, second, strict=True))
        world.platform.entries[60] = upstream("i-60", state="draining")
        third = await platform.read()
        assert [e["id"] for a, e in zip(first, third, strict=True) if a != e] == ["i-60"]
        for page in range(40):  # different page tokens each time; old pages must leave the cache
            world.platform.entries = [upstream(f"i-{n}") for n in range(60 + page)]
            world.platform.per_page = 3 + page
            await platform.read()
        assert len(platform._page_cache) <= 2 * platform.pages + 8

    play(scene, starts=False)


def test_alike_lists_are_the_same_bytes() -> None:
    one = [upstream("b", cold_left_ms=0), upstream("a")]
    other: list[dict[str, Any]] = [upstream("a", cold_left_ms=0), upstream("b")]
    assert pack(one) == pack(other)
    assert pack(one) != pack([upstream("a"), upstream("b", state="draining")])
    assert [e["id"] for e in json.loads(pack(one))["upstreams"]] == ["a", "b"]
    assert json.loads(pack([{"no": "id"}, upstream("a")]))["upstreams"]


def test_a_list_changes_as_an_upstream_turns_cold_or_warm_and_not_while_its_time_runs_down() -> None:
    times = ColdTimes()

    def published(left_ms: float, at: float) -> bytes:
        return pack(times.stabilize([upstream("a"), upstream("b", cold_left_ms=left_ms)], at))

    first = published(3000, 10.0)
    assert [e.get("cold_left_ms") for e in json.loads(first)["upstreams"]] == [None, 3000]
    # The list lags by a varying time.
    assert first == published(2000, 11.0) == published(1700, 12.1) == published(3, 12.99)
    warm = published(0, 14.0)
    assert warm == pack([upstream("a"), upstream("b")])
    again = published(2800, 20.0)
    assert json.loads(again)["upstreams"][1]["cold_left_ms"] == 2800
    assert published(1900, 21.0) == again
    restarted = published(2800, 22.4)  # it has turned cold again in between
    assert restarted != again
    assert published(1000, 24.2) == restarted
    times.stabilize([], 60.0)
    assert not times._published


@pytest.mark.parametrize("odd", [None, True, "soon", -5, [], {}])
def test_a_cold_time_that_is_none_is_left_as_it_stands(odd: Any) -> None:
    entries = [upstream("a", cold_left_ms=odd)]
    assert ColdTimes().stabilize(entries, 1.0) == entries


def test_entries_that_make_no_sense_cost_only_themselves() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        odd: list[Any] = [
            5,
            None,
            {},
            {"id": None},
            upstream("x", addr="nowhere"),
            upstream("y", capacity="many"),
        ]
        world.platform.entries = [upstream("i-1"), *odd, upstream("i-7")]
        await world.wait_until(lambda: all(m.plane.ids == ["i-1", "i-7"] for m in world.edges()), 2.5)

    play(scene, edges=2)


def test_a_fault_in_the_work_of_a_role_does_not_end_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """The primary's pulse and a lone balancer's reads of the list survive an unexpected exception."""

    async def scene(world: World) -> None:
        await start_fleet(world)
        publisher = world.node(world.primary())._publisher
        counted, faults = publisher._count, [1, 1]
        monkeypatch.setattr(publisher, "_count", lambda: faults.pop() // 0 if faults else counted())
        await world.wait(3.0)
        assert not faults
        assert [at for at, *_, m in world.transcript.messages(LeaderHeartbeat) if at > world.now() - 500]
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
        await world.wait_until(
            lambda: all(m.plane.ids == ["i-5"] for m in world.edges()), 6.0, "they read on"
        )
        assert sum("event=work_failed" in line for line in world.transcript.logs) == 3

    play(scene, edges=2)
