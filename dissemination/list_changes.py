"""The list of upstreams on its way down the tree: complete for a new child, then as changes."""

from __future__ import annotations

import hashlib
import json
from bisect import bisect_left, insort
from typing import Any

from config.errors import GapError
from dissemination.messages import UpstreamChange, UpstreamListUpdate

DIGEST_BYTES = 8


def digest_of(update: UpstreamListUpdate | None) -> bytes:
    """Return the digest of a list; empty for None."""
    return b"" if update is None else hashlib.blake2b(update.page, digest_size=DIGEST_BYTES).digest()


def encode_list(entries: list[Any]) -> bytes:
    """Encode the list for balancers; equal entries give equal bytes."""
    entries = sorted(entries, key=_id_of)
    return json.dumps({"upstreams": entries}, separators=(",", ":"), sort_keys=True).encode()


def diff_lists(known: UpstreamListUpdate | None, update: UpstreamListUpdate) -> UpstreamChange | None:
    """Return the difference of two lists; None if ids alone can't express it or it isn't much shorter."""
    if known is None:
        return None
    old, new = _entries_by_id(known.page), _entries_by_id(update.page)
    if old is None or new is None or encode_list(list(new.values())) != update.page:
        return None
    entries = [entry for upstream_id, entry in new.items() if old.get(upstream_id) != entry]
    gone = tuple(upstream_id for upstream_id in old if upstream_id not in new)
    body = json.dumps(entries, separators=(",", ":"), sort_keys=True).encode()
    if len(body) + sum(len(upstream_id) for upstream_id in gone) >= len(update.page) // 2:
        return None
    return UpstreamChange(update.epoch, update.number, digest_of(known), digest_of(update), body, gone)


def unchanged_list(update: UpstreamListUpdate) -> UpstreamChange:
    """Return a change without entries, which gives an equal list a new stamp."""
    digest = digest_of(update)
    return UpstreamChange(update.epoch, update.number, digest, digest, b"[]", ())


def apply_change(known: UpstreamListUpdate | None, change: UpstreamChange) -> UpstreamListUpdate:
    """Return the list after a change; raises GapError if the change is based on another list."""
    return ListCopy().apply(known, change)


class ListCopy:
    """A list with separately encoded entries: a change costs only what it changes."""

    def __init__(self) -> None:
        self._page: bytes | None = None  # the list that the other fields describe
        self._digest = b""
        self._encoded: dict[str, bytes] = {}  # by id
        self._order: list[str] = []  # sorted ids

    def apply(self, known: UpstreamListUpdate | None, change: UpstreamChange) -> UpstreamListUpdate:
        """Return the list after a change; raises GapError if the change is based on another list."""
        if known is None or self._digest_of(known) != change.base:
            raise GapError("the change is based on an unknown list", "attach again for the complete list")
        if change.base == change.digest:
            return UpstreamListUpdate(change.epoch, change.number, known.page)
        try:
            self._decode(known)
            self._apply(change)
        except (ValueError, TypeError, LookupError, RecursionError):
            self._page = None
            raise GapError("the list change is invalid", "attach again for the complete list") from None
        entries = b",".join(self._encoded[name] for name in self._order)
        result = UpstreamListUpdate(change.epoch, change.number, b'{"upstreams":[' + entries + b"]}")
        digest = digest_of(result)
        if digest != change.digest:
            self._page = None
            raise GapError("the changed list does not match its digest", "attach again for the complete list")
        self._page, self._digest = result.page, digest
        return result

    def _digest_of(self, known: UpstreamListUpdate) -> bytes:
        return self._digest if known.page is self._page else digest_of(known)

    def _decode(self, known: UpstreamListUpdate) -> None:
        """Split a list into entries, unless it is the current one; raises ValueError."""
        if known.page is self._page:
            return
        entries = _entries_by_id(known.page)
        if entries is None:
            raise ValueError("an entry has no unique id")
        self._encoded = {name: _encode_entry(entry) for name, entry in entries.items()}
        self._order = sorted(self._encoded)

    def _apply(self, change: UpstreamChange) -> None:
        """Insert and remove entries; raises ValueError, TypeError or LookupError if the change is invalid."""
        entries = json.loads(change.entries)
        if not isinstance(entries, list):
            raise ValueError("the entries are not a list")
        for entry in entries:
            upstream_id = str(entry["id"])
            if upstream_id not in self._encoded:
                insort(self._order, upstream_id)
            self._encoded[upstream_id] = _encode_entry(entry)
        for upstream_id in change.gone:
            if self._encoded.pop(upstream_id, None) is not None:
                del self._order[bisect_left(self._order, upstream_id)]


def _encode_entry(entry: Any) -> bytes:
    return json.dumps(entry, separators=(",", ":"), sort_keys=True).encode()


def _id_of(entry: Any) -> str:
    return str(entry.get("id")) if isinstance(entry, dict) else ""


def _entries_by_id(page: bytes) -> dict[str, Any] | None:
    """Return the entries of a list by id; None if the ids are not unique strings."""
    try:
        entries = json.loads(page)["upstreams"]
        result = {entry["id"]: entry for entry in entries}
    except (ValueError, TypeError, LookupError, RecursionError):
        return None
    if len(result) != len(entries) or not all(isinstance(upstream_id, str) for upstream_id in result):
        return None
    return result
