"""Parses the list of upstreams; after a change, only the entries that changed."""

from __future__ import annotations

import json

from config.checking import parse_upstreams
from config.configuration import Upstream
from dissemination.list_changes import digest_of
from dissemination.messages import UpstreamChange, UpstreamListUpdate


class ListReader:
    """The upstreams of the last parsed list; invalid entries are left out."""

    def __init__(self) -> None:
        self._digest = b""  # of the last parsed list
        self._by_id: dict[str, Upstream] = {}

    def read(self, update: UpstreamListUpdate, change: UpstreamChange | None) -> tuple[Upstream, ...]:
        """Return the upstreams of a list; `change`: its difference from an earlier list, if known.

        Raises WireError if the page is not a list of upstreams.
        """
        if change is not None and self._digest and change.base == self._digest:
            self._apply(change)
            return tuple(self._by_id[name] for name in sorted(self._by_id))
        entries, _ = parse_upstreams(update.page)
        self._by_id = {entry.id: entry for entry in entries}
        self._digest = digest_of(update)
        return entries

    def _apply(self, change: UpstreamChange) -> None:
        """Apply a change that `ListCopy.apply` has already validated, so all its entries have ids."""
        found, _ = parse_upstreams(b'{"upstreams":' + change.entries + b"}")
        for name in (*(str(entry["id"]) for entry in json.loads(change.entries)), *change.gone):
            self._by_id.pop(name, None)
        self._by_id |= {entry.id: entry for entry in found}
        self._digest = change.digest
