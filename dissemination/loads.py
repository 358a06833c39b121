"""How much work all balancers together have out at each upstream: reports up the tree, sums down.

A balancer's own calls are known at once; those of the others are a tenth of a second old.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from dissemination.load_steps import MOST, Figures, Loads, LoadStepEncoder, LoadTable
from dissemination.messages import LoadNews, LoadReport, LoadReportStep, UpstreamLoad

REPORT_INTERVAL_S = 0.04  # a change goes on no sooner after the one before
STEP_ENTRY_S = 0.00005  # and no sooner than to look at all that has changed takes a few hundredths of a core
# Of one upstream in a whole message, and a second to each of an earlier edition: many wait longer.
ENTRY_BYTES, BYTES_S = 24, 20_000


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

    def __init__(
        self,
        own: Callable[[], Loads],
        changed: Callable[[tuple[UpstreamLoad, ...]], None],
        stepped: Callable[[Figures, bool], None] | None = None,
        wants_whole: Callable[[], bool] = lambda: True,
    ) -> None:
        """`own`: the load of this process, a new dictionary each time.

        `changed`: told the sum, not too often, while `wants_whole`. `stepped`: told what is new in it, or
        all of it (True).
        """
        self._own, self._changed, self._stepped, self._wants_whole = own, changed, stepped, wants_whole
        self._children: dict[object, LoadTable] = {}
        self._below: Loads = {}  # the sum of the children
        self._own_known: Loads = {}
        self._told: tuple[UpstreamLoad, ...] = ()
        self._timer: asyncio.TimerHandle | None = None
        self._period = REPORT_INTERVAL_S
        self._teller = LoadStepEncoder()
        self._step_timer: asyncio.TimerHandle | None = None

    def report(self, child: object, message: LoadReport) -> None:
        """A child's report, in place of its last one."""
        table = LoadTable()
        table.loads = unpack(message.loads)
        self._replace(child, table)

    def report_step(self, child: object, message: LoadReportStep) -> bool:
        """How a child's load has changed; False if that does not follow its last report."""
        known = self._children.get(child)
        if message.base == 0:
            table = LoadTable()
            if table.take(message.number, 0, message.names, message.figures) is None:
                return False
            self._replace(child, table)
            return True
        before = known.take(message.number, message.base, message.names, message.figures) if known else None
        if known is None or before is None:
            return False
        self._move(before, known.loads)
        return True

    def _replace(self, child: object, table: LoadTable) -> None:
        known = self._children.pop(child, None)
        if known is not None:
            self._move(known.loads, {})
        self._children[child] = table
        self._move(dict.fromkeys(table.loads, (0, 0)), table.loads)

    def remove_child(self, child: object) -> None:
        """A child has gone; whoever it attaches to next hears of its load."""
        known = self._children.pop(child, None)
        if known is not None:
            self._move(known.loads, {})

    def _move(self, before: Loads, after: Loads) -> None:
        """Something of a child's load has changed: what it was, and what it is."""
        for upstream, (old_calls, old_tokens) in before.items():
            calls, tokens = after.get(upstream, (0, 0))
            known = self._below.get(upstream, (0, 0))
            total = known[0] + calls - old_calls, known[1] + tokens - old_tokens
            if total == (0, 0):
                self._below.pop(upstream, None)
            else:
                self._below[upstream] = total
        if self._stepped is not None:
            self._teller.mark(before)
        self.schedule()

    def total(self) -> Loads:
        """The sum as it is now."""
        total = dict(self._own())
        add(total, self._below)
        return total

    def schedule(self) -> None:
        """Something has changed: tell it soon."""
        loop = asyncio.get_running_loop()
        if self._timer is None and self._wants_whole():
            self._timer = loop.call_later(self._period, self._tell)
        if self._step_timer is None and self._stepped is not None:
            self._step_timer = loop.call_later(self._step_period(), self._step)

    def _step_period(self) -> float:
        return max(REPORT_INTERVAL_S, STEP_ENTRY_S * len(self._teller.behind()))

    def resend(self) -> None:
        """Somebody new is told: say it now, even if it is the same."""
        self._told = ()
        if self._timer is not None:
            self._timer.cancel()
        self._tell()
        self.resend_steps()

    def resend_steps(self) -> None:
        """Somebody new takes steps: tell all of it now."""
        if self._stepped is not None:
            self._own_known = self._own()
            total = dict(self._own_known)
            add(total, self._below)
            self._stepped(self._teller.whole(total), True)

    def _tell(self) -> None:
        self._timer = None
        if not self._wants_whole():
            return
        packed = pack(self.total())
        self._period = max(REPORT_INTERVAL_S, ENTRY_BYTES * len(packed) / BYTES_S)
        if packed != self._told:
            self._told = packed
            self._changed(packed)

    def _step(self) -> None:
        self._step_timer = None
        if self._stepped is None:
            return
        own, known = self._own(), self._own_known
        self._teller.mark(u for u in own.keys() | known.keys() if own.get(u) != known.get(u))
        self._own_known = own
        if self._teller.is_long(len(own) + len(self._below)):
            self.resend_steps()
            return
        loads = {u: self._sum_of(u) for u in self._teller.behind()}
        found = self._teller.step(loads, asyncio.get_running_loop().time())
        if found is not None:
            self._stepped(found, False)
        if self._teller.behind():
            self.schedule()

    def _sum_of(self, upstream: str) -> tuple[int, int]:
        own, below = self._own_known.get(upstream, (0, 0)), self._below.get(upstream, (0, 0))
        return own[0] + below[0], own[1] + below[1]


class PeerLoads:
    """What the other balancers have out, out of the sums that come down."""

    def __init__(self) -> None:
        self._others: Loads = {}
        self._reported: Loads = {}  # our own part when the last step came

    def take(self, message: LoadNews, reported: Loads) -> None:
        """A newer sum; `reported`: our own part in it, as we have last reported it."""
        others = {}
        for entry in message.loads:
            own = reported.get(entry.upstream, (0, 0))
            others[entry.upstream] = (max(entry.calls - own[0], 0), max(entry.tokens - own[1], 0))
        self._others = others

    def step(self, loads: Loads, changed: Iterable[str], reported: Loads) -> None:
        """A step of the sum: what it is now, where it has changed, and our own part as last reported."""
        known, self._reported = self._reported, reported
        told = set(changed)
        if known is not reported:
            told.update(u for u in reported.keys() | known.keys() if reported.get(u) != known.get(u))
        for upstream in told:
            total, own = loads.get(upstream, (0, 0)), reported.get(upstream, (0, 0))
            self._others[upstream] = (max(total[0] - own[0], 0), max(total[1] - own[1], 0))

    def clear(self) -> None:
        """Nothing has been heard for a while: what was known is no use any more."""
        self._others = {}

    def of(self, upstream: str) -> tuple[int, int]:
        """Calls and tokens of the others at an upstream."""
        return self._others.get(upstream, (0, 0))
