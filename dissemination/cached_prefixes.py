"""Which upstreams hold the shared parts of prompts in their cache, as seen by any balancer.

A shared part that one upstream has read is expensive to read again at another. Updates only add entries, so a
repeated or late one does no harm. Entries of upstreams that left the list are dropped; evictions from an
upstream's cache are not known.
"""

from __future__ import annotations

from collections.abc import Iterable

from dissemination.messages import CachedPrefix

MAX_SUBJECTS = 4096  # the least recently reported are dropped
MAX_HOLDERS = 6  # per subject; more would add little choice
MAX_FIRST_HAND = 512  # observations of this process that are repeated to a new parent


class Holdings:
    """The holdings that a process knows, and those that it has observed itself."""

    def __init__(self) -> None:
        self._by_subject: dict[bytes, dict[str, None]] = {}
        self._first_hand: dict[CachedPrefix, None] = {}

    def add(self, holdings: Iterable[CachedPrefix], first_hand: bool = False) -> tuple[CachedPrefix, ...]:
        """Add holdings; returns those that were new."""
        new = []
        for holding in holdings:
            holders = self._by_subject.pop(holding.subject, {})
            self._by_subject[holding.subject] = holders  # moves the subject to the end
            if holding.upstream in holders or len(holders) >= MAX_HOLDERS:
                continue
            holders[holding.upstream] = None
            new.append(holding)
            if first_hand:
                self._first_hand[holding] = None
        while len(self._by_subject) > MAX_SUBJECTS:
            del self._by_subject[next(iter(self._by_subject))]
        while len(self._first_hand) > MAX_FIRST_HAND:
            del self._first_hand[next(iter(self._first_hand))]
        return tuple(new)

    def keep_only(self, upstreams: set[str]) -> None:
        """Drop holdings of upstreams that are not in `upstreams`."""
        for subject in list(self._by_subject):
            holders = {u: None for u in self._by_subject[subject] if u in upstreams}
            if holders:
                self._by_subject[subject] = holders
            else:
                del self._by_subject[subject]
        self._first_hand = {h: None for h in self._first_hand if h.upstream in upstreams}

    def all(self) -> tuple[CachedPrefix, ...]:
        """Return all holdings, for a new child."""
        return tuple(CachedPrefix(s, u) for s, holders in self._by_subject.items() for u in holders)

    def first_hand(self) -> tuple[CachedPrefix, ...]:
        """Return the holdings observed by this process, for a new parent that may know none."""
        return tuple(self._first_hand)
