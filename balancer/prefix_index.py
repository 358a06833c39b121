"""Index of the shared prompt prefixes that upstreams have cached, as far as this balancer knows.

One table covers all upstreams and is bounded as a whole: a bound per upstream would grow with their number.
Evictions on upstreams are not reported; when the table is full, the least recently reported prefixes are
dropped.
"""

from __future__ import annotations

from collections.abc import Collection

MAX_PAIRS = 24_576  # pairs of prefix and upstream; balancers exchange no more than this
_NO_HOLDERS: dict[str, None] = {}


class PrefixIndex:
    """The table of one balancer, by prefix."""

    def __init__(self, max_pairs: int = MAX_PAIRS) -> None:
        self._max_pairs, self._pairs = max_pairs, 0
        self._holders: dict[bytes, dict[str, None]] = {}  # the most recently reported prefix is the last

    def add(self, prefix: bytes, upstream: str) -> bool:
        """Record that an upstream has a prefix cached; return whether that is new."""
        if not prefix:
            return False
        holders = self._holders[prefix] = self._holders.pop(prefix, {})
        if upstream in holders:
            return False
        holders[upstream] = None
        self._pairs += 1
        while self._pairs > self._max_pairs:
            self._pairs -= len(self._holders.pop(next(iter(self._holders))))
        return True

    def holders(self, prefix: bytes) -> Collection[str]:
        """Return the ids of the upstreams that have a prefix cached."""
        return self._holders.get(prefix, _NO_HOLDERS)

    def remove_upstreams(self, upstreams: Collection[str]) -> None:
        """Drop what these upstreams had cached: they have left the list or changed phase."""
        gone = set(upstreams)
        for prefix, holders in list(self._holders.items()) if gone else ():
            for upstream in holders.keys() & gone:
                del holders[upstream]
                self._pairs -= 1
            if not holders:
                del self._holders[prefix]
