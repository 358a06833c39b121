"""How much work all balancers together have out at each upstream: reports up the tree, sums down.

A balancer's own calls are known at once; those of the others are a tenth of a second old.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from sonde.messages import LoadNews, LoadReport, UpstreamLoad

PERIOD_S = 0.04  # a change goes on no sooner after the one before
ENTRY_BYTES, BYTES_S = (
    24,
    20_000,
)  # of one upstream in a message; a second to each that is told: many wait longer
MOST = 2**31 - 1  # that a message holds
Loads = dict[str, tuple[int, int]]  # upstream: calls, tokens


def unpack(loads: Iterable[UpstreamLoad]) -> Loads:
    """By upstream."""
    return {e.upstream: (e.calls, e.tokens) for e in loads}


def pack(loads: Loads) -> tuple[UpstreamLoad, ...]:
    """For a message; what has none is left out."""
    return tuple(
        UpstreamLoad(u, min(max(c, 0), MOST), min(max(t, 0), MOST))
        for u, (c, t) in sorted(loads.items())
        if c > 0 or t > 0
    )


def add(total: Loads, part: Loads) -> None:
    """Add a part to a total."""
    for upstream, (calls, tokens) in part.items():
        known = total.get(upstream, (0, 0))
        total[upstream] = (known[0] + calls, known[1] + tokens)


class LoadSum:
    """The load below one process: its own and what its children report."""

    def __init__(self, own: Callable[[], Loads], changed: Callable[[tuple[UpstreamLoad, ...]], None]) -> None:
        """`own`: the load of this process. `changed`: told the sum, not too often."""
        self._own, self._changed = own, changed
        self._children: dict[object, Loads] = {}
        self._told: tuple[UpstreamLoad, ...] = ()
        self._timer: asyncio.TimerHandle | None = None
        self._period = PERIOD_S

    def report(self, child: object, message: LoadReport) -> None:
        """A child's report, in place of its last one."""
        self._children[child] = unpack(message.loads)
        self.touch()

    def forget(self, child: object) -> None:
        """A child has gone; whoever it attaches to next hears of its load."""
        if self._children.pop(child, None) is not None:
            self.touch()

    def touch(self) -> None:
        """Something has changed: tell it soon."""
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(self._period, self._tell)

    def again(self) -> None:
        """Somebody new is told: say it now, even if it is the same."""
        self._told = ()
        if self._timer is not None:
            self._timer.cancel()
        self._tell()

    def _tell(self) -> None:
        self._timer = None
        total = dict(self._own())
        for part in self._children.values():
            add(total, part)
        packed = pack(total)
        self._period = max(PERIOD_S, ENTRY_BYTES * len(packed) / BYTES_S)
        if packed != self._told:
            self._told = packed
            self._changed(packed)


class OthersLoad:
    """What the other balancers have out, out of the sums that come down."""

    def __init__(self) -> None:
        self._others: Loads = {}

    def take(self, message: LoadNews, reported: Loads) -> None:
        """A newer sum; `reported`: our own part in it, as we have last reported it."""
        others = {}
        for entry in message.loads:
            own = reported.get(entry.upstream, (0, 0))
            others[entry.upstream] = (max(entry.calls - own[0], 0), max(entry.tokens - own[1], 0))
        self._others = others

    def clear(self) -> None:
        """Nothing has been heard for a while: what was known is no use any more."""
        self._others = {}

    def of(self, upstream: str) -> tuple[int, int]:
        """Calls and tokens of the others at an upstream."""
        return self._others.get(upstream, (0, 0))
