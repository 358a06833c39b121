"""Reads the list of upstreams that is in force: after a change, only the entries that have changed."""

from __future__ import annotations

import json

from config.checking import parse_upstreams
from config.configuration import Upstream
from dissemination.lists import digest_of
from dissemination.messages import UpstreamChange, UpstreamNews


class ListReader:
    """The upstreams of the last list that was read; an entry that can't be read is left out."""

    def __init__(self) -> None:
        self._digest = b""  # of that list
        self._by_id: dict[str, Upstream] = {}

    def read(self, news: UpstreamNews, change: UpstreamChange | None) -> tuple[Upstream, ...]:
        """The upstreams of a list; `change`: what is new in it since some list, perhaps the last one read.

        Raises WireError for a page that is no list of upstreams.
        """
        if change is not None and self._digest and change.base == self._digest:
            self._apply(change)
            return tuple(self._by_id[name] for name in sorted(self._by_id))
        entries, _ = parse_upstreams(news.page)
        self._by_id = {entry.id: entry for entry in entries}
        self._digest = digest_of(news)
        return entries

    def _apply(self, change: UpstreamChange) -> None:
        """A change that has made a list already (`ListCopy.apply`), so it holds entries with ids."""
        found, _ = parse_upstreams(b'{"upstreams":' + change.entries + b"}")
        for name in (*(str(entry["id"]) for entry in json.loads(change.entries)), *change.gone):
            self._by_id.pop(name, None)
        self._by_id |= {entry.id: entry for entry in found}
        self._digest = change.digest
