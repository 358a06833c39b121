"""The table of holdings of each process, and which additions are passed on."""

from __future__ import annotations

from dissemination.cached_prefixes import MAX_HOLDERS, MAX_SUBJECTS, Holdings
from dissemination.messages import KINDS, CachedPrefix, CachedPrefixReport, CachedPrefixUpdate


def test_only_what_is_new_goes_on() -> None:
    table = Holdings()
    first = (CachedPrefix(b"a", "u1"), CachedPrefix(b"b", "u1"))
    assert table.add(first) == first
    assert table.add((CachedPrefix(b"a", "u1"), CachedPrefix(b"a", "u2"))) == (CachedPrefix(b"a", "u2"),)
    assert table.add(first) == ()


def test_somebody_new_below_hears_all_and_somebody_new_above_what_was_seen_here() -> None:
    table = Holdings()
    table.add((CachedPrefix(b"a", "u1"),))
    table.add((CachedPrefix(b"a", "u2"),), first_hand=True)
    assert table.all() == (CachedPrefix(b"a", "u1"), CachedPrefix(b"a", "u2"))
    assert table.first_hand() == (CachedPrefix(b"a", "u2"),)


def test_upstreams_that_left_the_list_hold_nothing() -> None:
    table = Holdings()
    table.add((CachedPrefix(b"a", "u1"), CachedPrefix(b"a", "u2"), CachedPrefix(b"b", "u1")), first_hand=True)
    table.keep_only({"u2"})
    assert table.all() == (CachedPrefix(b"a", "u2"),)
    assert table.first_hand() == (CachedPrefix(b"a", "u2"),)


def test_the_table_is_bounded() -> None:
    table = Holdings()
    table.add(CachedPrefix(b"%d" % n, "u") for n in range(2 * MAX_SUBJECTS))
    table.add(CachedPrefix(b"hot", f"u{n}") for n in range(2 * MAX_HOLDERS))
    assert len(table.all()) == MAX_SUBJECTS - 1 + MAX_HOLDERS


def test_news_cross_the_wire() -> None:
    for message in (CachedPrefixReport((CachedPrefix(b"\x00a", "u1"),)), CachedPrefixUpdate(())):
        frame = KINDS.encode(message)
        assert KINDS.decode(int.from_bytes(frame[4:6], "big"), frame[6:]) == message
