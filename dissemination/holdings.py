"""Which upstreams have read the shared parts of prompts: what one balancer has seen is told to all.

A part that one upstream has read is dear to read again elsewhere. News only add: who hears one twice, or
late, is none the worse. What has left the list is dropped; what an upstream has let go of is not known.
"""

from __future__ import annotations

from collections.abc import Iterable

from dissemination.messages import Holding

MAX_SUBJECTS = 4096  # those heard of longest ago give way
MAX_HOLDERS = 6  # of one subject that are told of: more add little choice
MAX_FIRST_HAND = 512  # first-hand news that a process repeats to somebody new


class Holdings:
    """The table of one process: what it has heard, and what it has seen itself."""

    def __init__(self) -> None:
        self._by_subject: dict[bytes, dict[str, None]] = {}
        self._seen: dict[Holding, None] = {}

    def add(self, holdings: Iterable[Holding], first_hand: bool = False) -> tuple[Holding, ...]:
        """Take news; returns what of them was new here."""
        new = []
        for holding in holdings:
            holders = self._by_subject.pop(holding.subject, {})
            self._by_subject[holding.subject] = holders  # the latest last
            if holding.upstream in holders or len(holders) >= MAX_HOLDERS:
                continue
            holders[holding.upstream] = None
            new.append(holding)
            if first_hand:
                self._seen[holding] = None
        while len(self._by_subject) > MAX_SUBJECTS:
            del self._by_subject[next(iter(self._by_subject))]
        while len(self._seen) > MAX_FIRST_HAND:
            del self._seen[next(iter(self._seen))]
        return tuple(new)

    def keep_only(self, upstreams: set[str]) -> None:
        """Drop those that are not on the list any more."""
        for subject in list(self._by_subject):
            holders = {u: None for u in self._by_subject[subject] if u in upstreams}
            if holders:
                self._by_subject[subject] = holders
            else:
                del self._by_subject[subject]
        self._seen = {h: None for h in self._seen if h.upstream in upstreams}

    def all(self) -> tuple[Holding, ...]:
        """Everything, for somebody who hears the news from us."""
        return tuple(Holding(s, u) for s, holders in self._by_subject.items() for u in holders)

    def first_hand(self) -> tuple[Holding, ...]:
        """What we have seen ourselves, for whoever tells us the news and may know nothing."""
        return tuple(self._seen)
