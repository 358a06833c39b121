"""Which upstreams are trusted, by what they did with requests; their health checks are not asked.

A failure is an error of the upstream's own, an answer broken off or spoilt, and each call that is out where
nothing comes (which counts half: it may be load). Failures of the last `WINDOW_S` are held against the calls
that an upstream usually gets in that time. With many balancers each sees too few: all are summed up the tree
(`dissemination.doubts`). An upstream is distrusted on the word of one's own calls, of two balancers of the
own zone, or of balancers of two zones: one balancer's bad link, or one zone's, condemns nothing elsewhere.
Once most failures are older it gets, for `WARY_S`, what may be repeated, and a third of the evidence is
enough then.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from loguru import logger

from balancer.peer import Peer
from dissemination.doubts import FailureCounts
from passpost.http1 import Answer
from umberworks.interface import Outcome

WINDOW_S = 4.0  # failures count for so long
SHARE = 0.15  # of an upstream's usual calls that fail, from which on it is distrusted
LEAST = 2  # failures that raise a distrust at the least
HARD, SILENT = 2, 1  # what a failure counts, and a call where nothing comes: that may be load
WARY_S = 4.0  # after a distrust only what may be repeated goes there
WARY = 1 / 3  # of the evidence that is enough meanwhile
KEPT = 0.75  # of a tier that stays in use, the least doubted first: what is left must bear the load


@dataclass(slots=True)
class Calls:
    """Calls of ours that ended at one tier, fading over the window."""

    count: float = 0.0
    at: float = 0.0

    def ended(self, now: float) -> None:
        """One more."""
        self.count, self.at = self.recent(now) + 1.0, now

    def recent(self, now: float) -> float:
        """About so many in the last window."""
        return self.count * math.exp(-(now - self.at) / WINDOW_S)


def is_failure(outcome: Outcome, answer: Answer | None, good: bool) -> bool:
    """Whether a call's end speaks against its upstream; a rejection and a deadline do not."""
    if outcome is Outcome.ERROR and answer is not None:
        return answer.status >= 500 and answer.status != 504
    return outcome is Outcome.BROKEN or not good


class Trust:
    """What one balancer thinks of the upstreams. Times in seconds on the steady clock."""

    def __init__(self, zone: str, size: Callable[[tuple[str, str]], int]) -> None:
        """`zone`: ours. `size`: how many upstreams a service and part has."""
        self._zone, self._size = zone, size
        self.balancers = 1  # that are present
        self.zones = 1  # that they are in
        self._own: dict[str, deque[tuple[float, int]]] = {}  # failures seen here: when, how many
        self._told: dict[str, dict[str, tuple[int, int]]] = {}  # by upstream and zone, our own among them
        self._calls: dict[tuple[str, str], Calls] = {}
        self._parts: dict[str, tuple[str, str]] = {}  # service and part of those in doubt
        self._wary: dict[str, float] = {}  # until then
        self._distrusted: set[str] = set()
        self._look_at = math.inf  # when evidence has grown old

    # ---- evidence

    def ended(self, peer: Peer, now: float) -> None:
        """A call of ours has ended there, whichever way."""
        part = (peer.entry.svc, peer.entry.phase)
        calls = self._calls.get(part)
        if calls is None:
            calls = self._calls[part] = Calls()
        calls.ended(now)

    def failed(self, peer: Peer, now: float, count: int = HARD) -> None:
        """A call of ours failed there, or calls that count so much together."""
        name = peer.entry.id
        self._parts[name] = (peer.entry.svc, peer.entry.phase)
        self._own.setdefault(name, deque()).append((now, max(count, 1)))
        self._look_at = min(self._look_at, now + WINDOW_S)
        self._judge(now)

    def seen(self, now: float) -> FailureCounts:
        """What we hold against upstreams ourselves, for a report."""
        self._forget_old(now)
        return {(name, self._zone): (1, sum(n for _, n in kept)) for name, kept in self._own.items()}

    def heed(self, told: FailureCounts, part_of: Callable[[str], Peer | None], now: float) -> None:
        """What all balancers together hold against them; `part_of` finds an upstream of the list."""
        self._told = {}
        for (name, zone), doubt in told.items():
            peer = part_of(name)
            if peer is not None:
                self._parts[name] = (peer.entry.svc, peer.entry.phase)
                self._told.setdefault(name, {})[zone] = doubt
        self._judge(now)

    def keep_only(self, names: Iterable[str]) -> None:
        """Drop those that are not on the list any more."""
        kept = set(names)
        for held in (self._own, self._told, self._wary, self._parts):
            for name in [name for name in held if name not in kept]:
                del held[name]
        self._distrusted &= kept

    # ---- judgement

    def narrow(self, able: list[Peer], repeatable: bool, now: float) -> list[Peer]:
        """Those of `able` that may be sent to; where most are in doubt, some of those least doubted too."""
        if now >= self._look_at:
            self._judge(now)
        if not self._distrusted and not self._wary:
            return able
        good = [p for p in able if self._is_trusted(p.entry.id, repeatable)]
        least = math.ceil(KEPT * len(able))
        if len(good) >= least:
            return good
        rest = sorted((p for p in able if p not in good), key=lambda p: self._held_against(p.entry.id))
        return good + rest[: least - len(good)]

    def is_distrusted(self, name: str) -> bool:
        """Whether an upstream gets nothing while others are there."""
        return name in self._distrusted

    def distrusted(self) -> Sequence[str]:
        """Those upstreams, by name."""
        return sorted(self._distrusted)

    def standing(self, name: str, now: float) -> str:
        """For a report: "distrusted", "wary" (it gets what may be repeated), or empty."""
        if name in self._distrusted:
            return "distrusted"
        return "wary" if self._wary.get(name, 0.0) > now else ""

    def failures(self, name: str) -> int:
        """For a report: calls that failed there in the last seconds, as all balancers have seen them."""
        return self._held_against(name) // HARD

    def _is_trusted(self, name: str, repeatable: bool) -> bool:
        return name not in self._distrusted and (repeatable or name not in self._wary)

    def _held_against(self, name: str) -> int:
        told = sum(failures for _, failures in self._told.get(name, {}).values())
        return max(told, sum(n for _, n in self._own.get(name, ())))

    def _judge(self, now: float) -> None:
        """Look at everything that is held against anybody."""
        self._forget_old(now)
        self._wary = {name: until for name, until in self._wary.items() if until > now}
        for name in [*(self._own.keys() | self._told.keys() | self._distrusted)]:
            doubted = name in self._distrusted or name in self._wary
            bad = self._is_bad(name, WARY if doubted else 1.0, now)
            if bad and name not in self._distrusted:
                self._distrusted.add(name)
                logger.warning("event=distrusted upstream={} failures={}", name, self._held_against(name))
            elif not bad and name in self._distrusted:
                self._distrusted.discard(name)
                self._wary[name] = now + WARY_S
                logger.info("event=trusted_again upstream={}", name)
        ages = [kept[0][0] + WINDOW_S for kept in self._own.values()]
        self._look_at = min([*ages, *self._wary.values()], default=math.inf)

    def _is_bad(self, name: str, enough: float, now: float) -> bool:
        part = self._parts.get(name)
        calls = self._calls.get(part) if part is not None else None
        usual = (
            calls.recent(now) / max(self._size(part), 1) if calls is not None and part is not None else 0.0
        )

        def many(failures: int, balancers: float) -> bool:
            return failures >= HARD * max(LEAST, SHARE * usual * balancers) * enough

        if many(sum(n for _, n in self._own.get(name, ())), 1):
            return True
        told = self._told.get(name, {})
        ours = told.get(self._zone, (0, 0))
        if ours[0] > 1 and many(ours[1], self.balancers / max(self.zones, 1)):
            return True
        return len(told) > 1 and many(sum(failures for _, failures in told.values()), self.balancers)

    def _forget_old(self, now: float) -> None:
        for name, kept in list(self._own.items()):
            while kept and kept[0][0] + WINDOW_S <= now:
                kept.popleft()
            if not kept:
                del self._own[name]
