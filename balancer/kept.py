"""Which upstreams have read which shared parts of prompts, as far as this balancer knows.

One table for all upstreams, bounded as a whole: a bound for each would grow with their number. What an
upstream has let go of is not known; here the subjects heard of longest ago give way.
"""

from __future__ import annotations

from collections.abc import Collection

MAX_PAIRS = 24_576  # of a subject and an upstream: what all balancers tell each other of is no more
_NOBODY: dict[str, None] = {}


class PrefixIndex:
    """The table of one balancer, by subject."""

    def __init__(self, most: int = MAX_PAIRS) -> None:
        self._most, self._pairs = most, 0
        self._holders: dict[bytes, dict[str, None]] = {}  # the subject heard of last is the last

    def add(self, subject: bytes, upstream: str) -> bool:
        """An upstream has the shared parts of a subject now; whether that is new."""
        if not subject:
            return False
        holders = self._holders[subject] = self._holders.pop(subject, {})
        if upstream in holders:
            return False
        holders[upstream] = None
        self._pairs += 1
        while self._pairs > self._most:
            self._pairs -= len(self._holders.pop(next(iter(self._holders))))
        return True

    def holders(self, subject: bytes) -> Collection[str]:
        """The ids of those that have them."""
        return self._holders.get(subject, _NOBODY)

    def forget(self, upstreams: Collection[str]) -> None:
        """These have left the list or play another part: nothing that they had counts."""
        gone = set(upstreams)
        for subject, holders in list(self._holders.items()) if gone else ():
            for upstream in holders.keys() & gone:
                del holders[upstream]
                self._pairs -= 1
            if not holders:
                del self._holders[subject]
