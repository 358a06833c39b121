"""Changes of the list: the receiver gets the same bytes as the sender, or requests the complete list."""

from __future__ import annotations

import json
import random
import struct
import zlib
from typing import Any

import pytest

from config.checking import parse_upstreams
from config.errors import GapError, WireError
from control.node import KINDS
from control.platform import pack
from dissemination.list_changes import ListCopy, apply_change, diff_lists, digest_of, unchanged_list
from dissemination.list_reader import ListReader
from dissemination.messages import (
    Attach,
    ConfigurationUpdate,
    Hello,
    LeaderHeartbeat,
    UpstreamChange,
    UpstreamListUpdate,
)
from tests.fabric_callers import upstream
from tests.fabric_scenes import start_fleet
from tests.fabric_world import World, play
from tests.test_dissemination_feed import FakeLink, FeedSetup, attach, link
from transport.wire import COMPRESSED_KIND, MAX_FRAME_BYTES, compress_frame, decompress_frame


def list_update(entries: list[dict[str, Any]], number: int = 1) -> UpstreamListUpdate:
    return UpstreamListUpdate(1, number, pack(entries))


def test_a_list_and_its_changes_are_the_list_that_was_meant() -> None:
    rng = random.Random(1)
    entries = {f"i-{n}": upstream(f"i-{n}") for n in range(60)}
    here = there = list_update(list(entries.values()))
    for number in range(2, 60):
        for _ in range(rng.randint(0, 3)):
            entries.pop(rng.choice(sorted(entries)))
        for _ in range(rng.randint(0, 3)):
            name = f"i-{rng.randint(0, 90)}"
            entries[name] = upstream(name, state=rng.choice(["up", "draining"]))
        now = list_update(rng.sample(list(entries.values()), len(entries)), number)
        change = diff_lists(here, now)
        assert change is not None and len(change.entries) < len(now.page) / 4
        here, there = now, apply_change(there, change)
        assert there == here


def test_what_can_not_be_told_as_a_change_is_told_whole() -> None:
    some = list_update([upstream(f"i-{n}") for n in range(9)])
    assert diff_lists(None, some) is None
    assert diff_lists(some, list_update([upstream("x"), upstream("x")], 2)) is None  # duplicate id
    assert diff_lists(some, list_update([{"no": "id"}], 2)) is None
    assert diff_lists(some, UpstreamListUpdate(1, 2, b"no list")) is None
    # not shorter than the list
    assert diff_lists(some, list_update([upstream(f"j-{n}") for n in range(9)], 2)) is None


@pytest.mark.parametrize("spoil", ["base", "digest", "entries", "none"])
def test_a_change_that_does_not_fit_is_a_gap(spoil: str) -> None:
    known = list_update([upstream(f"i-{n}") for n in range(9)])
    change = diff_lists(known, list_update([upstream(f"i-{n}") for n in range(1, 9)], 2))
    assert change is not None
    fields = {"base": change.base, "digest": change.digest, "entries": change.entries}
    fields |= {"base": {"base": b"other"}, "digest": {"digest": b"other"}, "entries": {"entries": b"[5"}}.get(
        spoil, {}
    )
    bad = UpstreamChange(1, 2, **fields, gone=change.gone)
    with pytest.raises(GapError, match="attach again"):
        apply_change(None if spoil == "none" else known, bad)


def test_the_same_list_by_a_later_stamp() -> None:
    known = list_update([upstream("a")])
    later = UpstreamListUpdate(2, 7, known.page)
    assert apply_change(known, unchanged_list(later)) == later
    assert digest_of(None) == b"" and digest_of(known) == digest_of(later)


# ---- lists and changes sent to children


def attach_child(setup: FeedSetup, node: str, edition: int, digest: bytes) -> FakeLink:
    to, wire = link()
    setup.feed.on_hello(to, Hello(edition, digest))
    setup.feed.attach(to, attach(node, ver=5))
    return wire


def test_each_child_is_told_of_a_list_what_it_lacks() -> None:
    setup = FeedSetup()
    old = list_update([upstream(f"i-{n}") for n in range(30)])
    setup.latest.store(old)
    has, lacks = attach_child(setup, "has", 3, digest_of(old)), attach_child(setup, "lacks", 3, b"")
    before = attach_child(setup, "before", 2, digest_of(old))
    assert has.sent == [unchanged_list(old)] and lacks.sent == [old] and before.sent == [old]
    new = list_update([upstream(f"i-{n}") for n in range(1, 30)], 2)
    change = diff_lists(old, new)
    setup.latest.store(new)
    setup.feed.broadcast_list(new, change)
    assert has.sent[-1] == lacks.sent[-1] == change and before.sent[-1] == new
    other = list_update([upstream("x")], 3)
    setup.feed.broadcast_list(other, None)
    assert has.sent[-1] == lacks.sent[-1] == before.sent[-1] == other


def test_a_new_primary_does_not_send_the_list_that_balancers_have() -> None:
    async def scene(world: World) -> None:
        await start_fleet(world)
        world.platform.entries = [upstream(f"i-{n}") for n in range(20)]
        await world.wait_until(lambda: all(len(m.plane.ids) == 20 for m in world.edges()), 2.5, "the list")
        since = world.now()
        world.kill(world.primary())
        await world.wait_until(lambda: world.primary(), 5.0, "another primary")
        await world.wait(5.0)
        assert not [entry for entry in world.transcript.messages(UpstreamListUpdate) if entry[0] > since]
        assert all(m.role._follower.is_fresh() and len(m.plane.ids) == 20 for m in world.edges())

    play(scene, edges=3)


# ---- compressed frames


def test_long_frames_go_packed_to_those_that_take_them() -> None:
    body = json.dumps([upstream(f"i-{n}") for n in range(200)]).encode()
    frame = KINDS.encode(ConfigurationUpdate(9, body))
    short = compress_frame(frame)
    size, number = struct.unpack_from(">IH", short)
    assert number == COMPRESSED_KIND and size == len(short) - 6 and len(short) < len(frame) / 4
    assert KINDS.decode(number, short[6:]) == ConfigurationUpdate(9, body)
    little = KINDS.encode(LeaderHeartbeat(1, 1, 1))
    assert compress_frame(little) == little


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\0",
        b"\0\x65",
        b"\0\x65no zlib",
        b"\0\x65" + zlib.compress(b"abc")[:-2],
        b"\0\x65" + zlib.compress(b"abc") + b"more",
        b"\0\x70" + zlib.compress(b"\0\x65"),  # compressed twice
        b"\0\x65" + zlib.compress(bytes(MAX_FRAME_BYTES + 1)),
    ],
)
def test_what_is_no_packed_frame_is_refused(body: bytes) -> None:
    with pytest.raises(WireError):
        decompress_frame(body)
    with pytest.raises(WireError):
        KINDS.decode(COMPRESSED_KIND, body)


def test_attaching_again_by_the_same_connection_tells_all() -> None:
    setup = FeedSetup()
    listed = list_update([upstream(f"i-{n}") for n in range(30)])
    setup.latest.store(listed)
    to, wire = link()
    setup.feed.on_hello(to, Hello(3, digest_of(listed)))
    setup.feed.attach(to, Attach("a", "ip", "hall-a", 5, 1, 1))
    assert wire.sent == []
    setup.feed.on_hello(to, Hello(3, b""))
    setup.feed.attach(to, Attach("a", "ip", "hall-a", 5, 0, 0))
    assert wire.sent == [listed] and not wire.is_closed


def test_a_copy_that_follows_changes_is_the_list_read_anew() -> None:
    rng = random.Random(2)
    entries = {f"i-{n}": upstream(f"i-{n}") for n in range(40)}
    known, copy, reader = list_update(list(entries.values())), ListCopy(), ListReader()
    reader.read(known, None)
    for number in range(2, 80):
        for _ in range(rng.randint(0, 3)):
            entries.pop(rng.choice(sorted(entries)))
        for _ in range(rng.randint(1, 4)):
            name = f"i-{rng.randint(0, 60)}"
            entries[name] = upstream(name, state=rng.choice(["up", "draining", "no state"]))
        now = list_update(list(entries.values()), number)
        change = diff_lists(known, now)
        assert change is not None
        if rng.random() < 0.2:  # an invalid change in between
            with pytest.raises(GapError):
                copy.apply(known, UpstreamChange(1, number, change.base, b"other", change.entries, ("i-1",)))
        assert copy.apply(known, change) == now
        whole, _ = parse_upstreams(now.page)
        assert reader.read(now, change if rng.random() < 0.8 else None) == whole
        known = now


def test_a_reader_that_has_missed_a_list_reads_the_whole_one() -> None:
    first, second = (
        list_update([upstream(f"i-{n}") for n in range(9)]),
        list_update([upstream(f"i-{n}") for n in range(8)], 2),
    )
    third = list_update([upstream(f"i-{n}") for n in range(7)], 3)
    reader = ListReader()
    reader.read(first, None)
    change = diff_lists(second, third)
    assert change is not None
    assert reader.read(third, change) == parse_upstreams(third.page)[0]
    again = UpstreamListUpdate(2, 4, third.page)
    assert reader.read(again, unchanged_list(again)) == parse_upstreams(third.page)[0]
    with pytest.raises(WireError):
        reader.read(UpstreamListUpdate(2, 5, b"no list"), None)


def test_a_change_costs_a_reader_and_a_copy_what_has_changed() -> None:
    """Unchanged entries stay the same objects and bytes: they are neither parsed nor encoded again."""
    known = list_update([upstream(f"i-{n}") for n in range(50)])
    now = list_update([upstream(f"i-{n}", state="draining" if n == 7 else "up") for n in range(50)], 2)
    change = diff_lists(known, now)
    assert change is not None
    reader = ListReader()
    before, after = reader.read(known, None), reader.read(now, change)
    assert [old.id for old, new in zip(before, after, strict=True) if old is not new] == ["i-7"]
