"""The list of upstreams as it goes down the tree: whole to whoever comes, then what has changed in it."""

from __future__ import annotations

import hashlib
import json
from bisect import bisect_left, insort
from typing import Any

from config.errors import GapError
from dissemination.messages import UpstreamChange, UpstreamNews

DIGEST_BYTES = 8


def digest_of(news: UpstreamNews | None) -> bytes:
    """What tells one list from another; empty for none."""
    return b"" if news is None else hashlib.blake2b(news.page, digest_size=DIGEST_BYTES).digest()


def encode_list(entries: list[Any]) -> bytes:
    """The list as it goes to the balancers, alike for alike entries."""
    entries = sorted(entries, key=_id_of)
    return json.dumps({"upstreams": entries}, separators=(",", ":"), sort_keys=True).encode()


def diff_lists(known: UpstreamNews | None, news: UpstreamNews) -> UpstreamChange | None:
    """What is new in a list; None where that can't be told by ids alone, or is no shorter than the list."""
    if known is None:
        return None
    old, new = _by_id(known.page), _by_id(news.page)
    if old is None or new is None or encode_list(list(new.values())) != news.page:
        return None
    entries = [e for i, e in new.items() if old.get(i) != e]
    gone = tuple(i for i in old if i not in new)
    body = json.dumps(entries, separators=(",", ":"), sort_keys=True).encode()
    if len(body) + sum(len(i) for i in gone) >= len(news.page) // 2:
        return None
    return UpstreamChange(news.epoch, news.number, digest_of(known), digest_of(news), body, gone)


def unchanged_list(news: UpstreamNews) -> UpstreamChange:
    """For whoever has this list already, by an earlier stamp."""
    digest = digest_of(news)
    return UpstreamChange(news.epoch, news.number, digest, digest, b"[]", ())


def apply_change(known: UpstreamNews | None, change: UpstreamChange) -> UpstreamNews:
    """The list after a change; raises GapError where it does not begin with what we have."""
    return ListCopy().apply(known, change)


class ListCopy:
    """A list with its entries encoded one by one: a change costs what it changes, not what is listed."""

    def __init__(self) -> None:
        self._page: bytes | None = None  # the list that the other fields are of
        self._digest = b""
        self._encoded: dict[str, bytes] = {}  # by id
        self._order: list[str] = []  # the ids, sorted

    def apply(self, known: UpstreamNews | None, change: UpstreamChange) -> UpstreamNews:
        """The list after a change; raises GapError where it does not begin with what we have."""
        if known is None or self._digest_of(known) != change.base:
            raise GapError("a change of a list that we do not have", "attach anew and hear all of it")
        if change.base == change.digest:
            return UpstreamNews(change.epoch, change.number, known.page)
        try:
            self._read(known)
            self._apply(change)
        except (ValueError, TypeError, LookupError, RecursionError):
            self._page = None
            raise GapError("a change of the list can't be read", "attach anew and hear all of it") from None
        entries = b",".join(self._encoded[name] for name in self._order)
        found = UpstreamNews(change.epoch, change.number, b'{"upstreams":[' + entries + b"]}")
        digest = digest_of(found)
        if digest != change.digest:
            self._page = None
            raise GapError("a change makes another list than was meant", "attach anew and hear all of it")
        self._page, self._digest = found.page, digest
        return found

    def _digest_of(self, known: UpstreamNews) -> bytes:
        return self._digest if known.page is self._page else digest_of(known)

    def _read(self, known: UpstreamNews) -> None:
        """Take a list apart, unless it is the one at hand; raises ValueError."""
        if known.page is self._page:
            return
        entries = _by_id(known.page)
        if entries is None:
            raise ValueError("an entry has no id of its own")
        self._encoded = {name: _encoded(entry) for name, entry in entries.items()}
        self._order = sorted(self._encoded)

    def _apply(self, change: UpstreamChange) -> None:
        """Put in and take out; raises ValueError, TypeError or LookupError on a change that is none."""
        entries = json.loads(change.entries)
        if not isinstance(entries, list):
            raise ValueError("no list")
        for entry in entries:
            name = str(entry["id"])
            if name not in self._encoded:
                insort(self._order, name)
            self._encoded[name] = _encoded(entry)
        for name in change.gone:
            if self._encoded.pop(name, None) is not None:
                del self._order[bisect_left(self._order, name)]


def _encoded(entry: Any) -> bytes:
    return json.dumps(entry, separators=(",", ":"), sort_keys=True).encode()


def _id_of(entry: Any) -> str:
    return str(entry.get("id")) if isinstance(entry, dict) else ""


def _by_id(page: bytes) -> dict[str, Any] | None:
    """The entries of a list; None where one has no id of its own."""
    try:
        entries = json.loads(page)["upstreams"]
        found = {e["id"]: e for e in entries}
    except (ValueError, TypeError, LookupError, RecursionError):
        return None
    if len(found) != len(entries) or not all(isinstance(i, str) for i in found):
        return None
    return found
