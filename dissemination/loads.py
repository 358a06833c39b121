"""The outstanding work of all balancers at each upstream: reports go up the tree, sums come down.

A balancer knows its own calls at once; sums of the others are about 0.1 s old.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from dissemination.load_steps import MAX_INT32, Figures, Loads, LoadStepEncoder, LoadTable
from dissemination.messages import LoadReport, LoadReportStep, LoadUpdate, UpstreamLoad

REPORT_INTERVAL_S = 0.04  # at least this long between two sums
STEP_ENTRY_S = 0.00005  # per changed upstream, so that steps take at most a few hundredths of a core
# Size of an entry in a complete message, and bandwidth to each receiver of an earlier edition: in large
# fleets complete messages are sent less often.
ENTRY_BYTES, BYTES_S = 24, 20_000


def unpack(loads: Iterable[UpstreamLoad]) -> Loads:
    """Return the loads by upstream."""
    return {entry.upstream: (entry.calls, entry.tokens) for entry in loads}


def pack(loads: Loads) -> tuple[UpstreamLoad, ...]:
    """Return the message entries; upstreams without load are left out."""
    return tuple(
        UpstreamLoad(u, min(max(c, 0), MAX_INT32), min(max(t, 0), MAX_INT32))
        for u, (c, t) in sorted(loads.items())
        if c > 0 or t > 0
    )


def add(total: Loads, part: Loads) -> None:
    """Add the loads of a part to a total."""
    for upstream, (calls, tokens) in part.items():
        known = total.get(upstream, (0, 0))
        total[upstream] = (known[0] + calls, known[1] + tokens)


class LoadSum:
    """The load below one process: its own and what its children report."""

    def __init__(
        self,
        own: Callable[[], Loads],
        on_sum: Callable[[tuple[UpstreamLoad, ...]], None],
        on_step: Callable[[Figures, bool], None] | None = None,
        wants_whole: Callable[[], bool] = lambda: True,
    ) -> None:
        """`own`: returns the load of this process as a new dictionary.

        `on_sum`: called with the complete sum, at a limited rate, while `wants_whole`. `on_step`: called with
        changes of the sum, or with all of it (True).
        """
        self._own, self._on_sum, self._on_step, self._wants_whole = own, on_sum, on_step, wants_whole
        self._children: dict[object, LoadTable] = {}
        self._children_total: Loads = {}  # sum over the children
        self._last_own: Loads = {}
        self._last_sent: tuple[UpstreamLoad, ...] = ()
        self._timer: asyncio.TimerHandle | None = None
        self._interval_s = REPORT_INTERVAL_S
        self._encoder = LoadStepEncoder()
        self._step_timer: asyncio.TimerHandle | None = None

    def report(self, child: object, message: LoadReport) -> None:
        """Replace a child's report."""
        table = LoadTable()
        table.loads = unpack(message.loads)
        self._replace(child, table)

    def report_step(self, child: object, message: LoadReportStep) -> bool:
        """Apply a change of a child's load; returns False if it does not follow the child's last report."""
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
        self._apply_delta(before, known.loads)
        return True

    def _replace(self, child: object, table: LoadTable) -> None:
        known = self._children.pop(child, None)
        if known is not None:
            self._apply_delta(known.loads, {})
        self._children[child] = table
        self._apply_delta(dict.fromkeys(table.loads, (0, 0)), table.loads)

    def remove_child(self, child: object) -> None:
        """Remove the load of a child that is gone; it reports to its next parent."""
        known = self._children.pop(child, None)
        if known is not None:
            self._apply_delta(known.loads, {})

    def _apply_delta(self, before: Loads, after: Loads) -> None:
        """Update the sum with the previous and current loads of a child."""
        for upstream, (old_calls, old_tokens) in before.items():
            calls, tokens = after.get(upstream, (0, 0))
            known = self._children_total.get(upstream, (0, 0))
            total = known[0] + calls - old_calls, known[1] + tokens - old_tokens
            if total == (0, 0):
                self._children_total.pop(upstream, None)
            else:
                self._children_total[upstream] = total
        if self._on_step is not None:
            self._encoder.mark_changed(before)
        self.schedule()

    def total(self) -> Loads:
        """Return the current sum."""
        total = dict(self._own())
        add(total, self._children_total)
        return total

    def schedule(self) -> None:
        """Schedule sending the sum after a change."""
        loop = asyncio.get_running_loop()
        if self._timer is None and self._wants_whole():
            self._timer = loop.call_later(self._interval_s, self._send_whole)
        if self._step_timer is None and self._on_step is not None:
            self._step_timer = loop.call_later(self._step_interval_s(), self._send_step)

    def _step_interval_s(self) -> float:
        return max(REPORT_INTERVAL_S, STEP_ENTRY_S * len(self._encoder.pending()))

    def resend(self) -> None:
        """Send the complete sum at once, to a new receiver."""
        self._last_sent = ()
        if self._timer is not None:
            self._timer.cancel()
        self._send_whole()
        self.resend_steps()

    def resend_steps(self) -> None:
        """Send the complete sum as a first step, to a new receiver of steps."""
        if self._on_step is not None:
            self._last_own = self._own()
            total = dict(self._last_own)
            add(total, self._children_total)
            self._on_step(self._encoder.whole(total), True)

    def _send_whole(self) -> None:
        self._timer = None
        if not self._wants_whole():
            return
        entries = pack(self.total())
        self._interval_s = max(REPORT_INTERVAL_S, ENTRY_BYTES * len(entries) / BYTES_S)
        if entries != self._last_sent:
            self._last_sent = entries
            self._on_sum(entries)

    def _send_step(self) -> None:
        self._step_timer = None
        if self._on_step is None:
            return
        own, known = self._own(), self._last_own
        self._encoder.mark_changed(u for u in own.keys() | known.keys() if own.get(u) != known.get(u))
        self._last_own = own
        if self._encoder.needs_restart(len(own) + len(self._children_total)):
            self.resend_steps()
            return
        loads = {u: self._total_of(u) for u in self._encoder.pending()}
        figures = self._encoder.step(loads, asyncio.get_running_loop().time())
        if figures is not None:
            self._on_step(figures, False)
        if self._encoder.pending():
            self.schedule()

    def _total_of(self, upstream: str) -> tuple[int, int]:
        own, below = self._last_own.get(upstream, (0, 0)), self._children_total.get(upstream, (0, 0))
        return own[0] + below[0], own[1] + below[1]


class PeerLoads:
    """The load of the other balancers, derived from the published sums."""

    def __init__(self) -> None:
        self._loads: Loads = {}
        self._reported: Loads = {}  # this balancer's own part at the last step

    def take(self, message: LoadUpdate, reported: Loads) -> None:
        """Take a new sum; `reported`: this balancer's part in it, as last reported."""
        others = {}
        for entry in message.loads:
            own = reported.get(entry.upstream, (0, 0))
            others[entry.upstream] = (max(entry.calls - own[0], 0), max(entry.tokens - own[1], 0))
        self._loads = others

    def step(self, loads: Loads, changed: Iterable[str], reported: Loads) -> None:
        """Apply a step: the sums, the upstreams that `changed`, and this balancer's part as `reported`."""
        known, self._reported = self._reported, reported
        upstreams = set(changed)
        if known is not reported:
            upstreams.update(u for u in reported.keys() | known.keys() if reported.get(u) != known.get(u))
        for upstream in upstreams:
            total, own = loads.get(upstream, (0, 0)), reported.get(upstream, (0, 0))
            self._loads[upstream] = (max(total[0] - own[0], 0), max(total[1] - own[1], 0))

    def clear(self) -> None:
        """Drop the loads, which are outdated without recent updates."""
        self._loads = {}

    def of(self, upstream: str) -> tuple[int, int]:
        """Return the calls and tokens of the other balancers at an upstream."""
        return self._loads.get(upstream, (0, 0))
