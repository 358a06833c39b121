"""Reads the records of a soak and finds what breaks a rule (`rules.py`). Nothing else of the run is seen."""

from __future__ import annotations

import json
import re
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from mastturn.soak import faults, lag
from mastturn.soak.clients import PATIENCE_S
from mastturn.soak.records import Arrival, Ask, End, EndKind, Records, Style
from mastturn.soak.rules import Rule

PROMISES = (408, 421, 429, 503)
TOUCH_S = 0.1  # a kill or a stop so shortly before a request is sent, or after its end, is an excuse
DRAIN_S = 4.0  # the bound of the drain, and what the list and the news take
RECOVERY_S = 2.0  # a trouble of the control state, the list or a balancer holds news up so long after its end
NEWS_S = 2.5  # without one, news are everywhere within this: the list is read each second
CROSSING_S = 0.02  # bytes that belong to no request may have crossed a request that was sent so soon
DUE_S = 0.3  # before its deadline an answer that is whole at its upstream must reach the client
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\S+) (\d+)/(\d+)\n\n")


@dataclass(frozen=True, slots=True)
class Finding:
    """One broken rule: what the request met, and in words what is wrong. `at` on the monotonic clock."""

    rule: Rule
    at: float
    request: str
    words: str
    faults: tuple[str, ...] = ()
    balancer: str = ""


class Checker:
    """The records by request, and the rules."""

    def __init__(self, records: Records) -> None:
        self._records = records
        self._arrivals: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in records.arrivals:
            self._arrivals[arrival.request].append(arrival)
        self._runs = {a.seal: a for a in records.arrivals if a.seal}

    def findings(self) -> list[Finding]:
        """All of them, in the order of their moments."""
        found = [f for ask in self._records.asks for f in self._check(ask)]
        found += [*self._drains(), *self._configuration(), *self._others()]
        return sorted(found, key=lambda f: f.at)

    def _finding(self, rule: Rule, ask: Ask, words: str) -> Finding:
        arrivals = self._arrivals[ask.request]
        at = ask.ends[0].at if ask.ends else ask.sent_at
        return Finding(rule, at, ask.request, words, tuple(a.fault.value for a in arrivals), ask.balancer)

    # ---- one request

    def _check(self, ask: Ask) -> Iterator[Finding]:
        runs = [a for a in self._arrivals[ask.request] if a.ran]
        if len(ask.ends) != 1:
            yield self._finding(Rule.ENDS, ask, f"{len(ask.ends)} ends")
            return
        if not ask.kind.is_idempotent and len(runs) > 1:
            yield self._finding(Rule.TWICE, ask, f"{ask.kind.value} ran {len(runs)} times")
        for arrival in self._arrivals[ask.request]:
            if arrival.size is not None and arrival.size != ask.size:
                yield self._finding(Rule.UNASKED, ask, f"{arrival.size} of {ask.size} bytes at an upstream")
        end = ask.ends[0]
        if end.kind is EndKind.WHOLE:
            yield from self._check_answer(ask, end, runs)
        elif end.kind is EndKind.INVALID:
            yield self._finding(Rule.MIXED, ask, "the client got what is no answer")
        if end.kind in (EndKind.WHOLE, EndKind.LEFT) and not _is_failure(end):
            return
        yield from self._check_loss(ask, end, runs)

    def _check_answer(self, ask: Ask, end: End, runs: list[Arrival]) -> Iterator[Finding]:
        seal = end.headers.get("mastturn-server-seal")
        if seal is None:
            if end.status < 300:
                yield self._finding(Rule.MIXED, ask, f"status {end.status} without a seal")
            elif end.status in PROMISES and runs and not ask.kind.is_idempotent:
                yield self._finding(Rule.PROMISE, ask, f"status {end.status}, and it ran")
            elif end.body:
                yield self._finding(Rule.MIXED, ask, f"status {end.status} with a body of its own")
            return
        run = self._runs.get(seal)
        if run is None or run.request != ask.request:
            whose = "nobody's" if run is None else run.request
            yield self._finding(Rule.MIXED, ask, f"it got the answer of {whose}")
        elif run.status != end.status:
            yield self._finding(Rule.MIXED, ask, f"status {end.status}, the upstream gave {run.status}")
        elif ask.kind.is_stream and end.status == 200:
            yield from self._check_events(ask, end, run)
        elif run.body != end.body:
            yield self._finding(
                Rule.MIXED, ask, f"{len(end.body)} of {len(run.body)} bytes, framed as complete"
            )

    def _check_events(self, ask: Ask, end: End, run: Arrival) -> Iterator[Finding]:
        """Each event follows the one before, and is one of a run of this request; the last is there."""
        last, rest = 0, end.body
        while (found := _EVENT.match(rest)) is not None:
            number, seal, request = int(found[1]), found[2].decode(), found[3].decode()
            event_run = self._runs.get(seal)
            if request != ask.request or event_run is None or event_run.request != ask.request:
                yield self._finding(Rule.MIXED, ask, f"event {number} of {request}")
                return
            if number != last + 1:
                yield self._finding(Rule.GAP, ask, f"event {number} behind {last}")
                return
            last, rest = number, rest[found.end() :]
        if rest:
            yield self._finding(Rule.MIXED, ask, f"{len(rest)} bytes that are no event behind event {last}")
        elif last != run.events:
            yield self._finding(Rule.GAP, ask, f"complete with {last} of {run.events} events")

    def _check_loss(self, ask: Ask, end: End, runs: list[Arrival]) -> Iterator[Finding]:
        """What the client missed, where nobody but the balancer can be to blame."""
        if self._is_excused(ask, end) or any(a.dirty_s < CROSSING_S for a in self._arrivals[ask.request]):
            return
        is_timed = not self._lags(ask.sent_at, end.at)
        if end.kind is EndKind.NONE and ask.style is not Style.SLOW and is_timed:
            yield self._finding(Rule.HELD, ask, f"no end {PATIENCE_S:g} s after its deadline")
            return
        served = [a for a in runs if a.whole_at is not None and a.fault in faults.SOUND and a.status == 200]
        in_time = [a for a in served if self._is_due(a, ask)]
        if in_time and end.status != 200 and is_timed:
            yield self._finding(Rule.UNSERVED, ask, f"{_words(end)} though {in_time[0].seal} was whole")
            return
        if end.at >= ask.deadline_at:
            return
        is_sound = all(a.fault in faults.HARMLESS for a in self._arrivals[ask.request])
        if (
            end.kind in (EndKind.CUT, EndKind.CLOSED)
            and runs
            and is_sound
            and not self._has_crashed(runs, end)
        ):
            rule = Rule.STOP if self._meets("term", ask, end) else Rule.LOST
            yield self._finding(rule, ask, f"{_words(end)} at a sound upstream")

    def _is_due(self, run: Arrival, ask: Ask) -> bool:
        """Whether a whole answer has to reach its client: it left in time, and its upstream lived on."""
        if run.whole_at is None or run.whole_at >= ask.deadline_at - DUE_S:
            return False
        until = run.whole_at + TOUCH_S
        spans = (s for s in self._records.spans if s.what == "crash" and s.who == run.upstream)
        return not any(span.meets(run.at, until) for span in spans)

    def _is_excused(self, ask: Ask, end: End) -> bool:
        """Whether its balancer was killed, or stood still, while it was open, or its client is to blame."""
        if ask.style in (Style.LEAVES, Style.HALF_CLOSED):
            return True
        return self._meets("kill", ask, end) or self._meets("stop", ask, end)

    def _meets(self, what: str, ask: Ask, end: End) -> bool:
        return any(
            span.what == what
            and span.who == ask.balancer
            and span.meets(ask.sent_at - TOUCH_S, end.at + TOUCH_S)
            for span in self._records.spans
        )

    def _lags(self, begin: float, end: float) -> bool:
        """Whether the soak itself was behind meanwhile: by its own clock nothing can be late then."""
        return any(span.what == lag.LAG and span.meets(begin, end) for span in self._records.spans)

    def _has_crashed(self, runs: list[Arrival], end: End) -> bool:
        """Whether one of its upstreams crashed while it was there."""
        return any(
            span.what == "crash" and span.who == run.upstream and span.meets(run.at, end.at + TOUCH_S)
            for run in runs
            for span in self._records.spans
        )

    # ---- the whole

    def _drains(self) -> Iterator[Finding]:
        left = {d.upstream: d.at for d in self._records.delisted}
        balancers = {ask.request: ask.balancer for ask in self._records.asks}
        for arrival in self._records.arrivals:
            since = left.get(arrival.upstream)
            if since is None or arrival.at - since <= DRAIN_S:
                continue
            balancer = balancers.get(arrival.request, "")
            if self._lags(since, arrival.at):
                continue
            if self._longest_calm(since, arrival.at, balancer) >= NEWS_S:
                words = f"reaches {arrival.upstream} {arrival.at - since:.1f} s after it began to leave"
                yield Finding(
                    Rule.DRAIN, arrival.at, arrival.request, words, (arrival.fault.value,), balancer
                )

    def _longest_calm(self, begin: float, end: float, balancer: str) -> float:
        """The longest time between in which nothing that brings news to a balancer was in trouble."""
        held_up = sorted(
            (span.begin, span.end + RECOVERY_S)
            for span in self._records.spans
            if span.what == "list" or span.who.startswith("core") or span.who == balancer
        )
        longest, calm_since = 0.0, begin
        for trouble, over in held_up:
            longest = max(longest, min(trouble, end) - calm_since)
            calm_since = max(calm_since, over)
        return max(longest, end - calm_since)

    def _configuration(self) -> Iterator[Finding]:
        acked = [put for put in self._records.puts if put.status == 200]
        by_base: dict[int, set[bytes]] = defaultdict(set)
        for put in acked:
            if not put.is_valid:
                yield Finding(
                    Rule.CONFIGURATION, put.answered_at, "", f"invalid version {put.ver} is acknowledged"
                )
            by_base[put.base].add(put.body)
            if len(by_base[put.base]) == 2:
                words = f"two changes on top of {put.base} are acknowledged"
                yield Finding(Rule.CONFIGURATION, put.answered_at, "", words)
        yield from self._reads()
        newest = max((put.ver for put in acked), default=0)
        if self._records.settled_ver < newest:
            words = f"version {self._records.settled_ver} is read back, {newest} was acknowledged"
            yield Finding(Rule.CONFIGURATION, 0.0, "", words)
        sent = {put.ver: json.loads(put.body) for put in self._records.puts if put.status == 200}
        wanted = sent.get(self._records.settled_ver)
        if wanted is not None and json.loads(self._records.settled_body) != wanted:
            words = f"version {self._records.settled_ver} is not as it was sent"
            yield Finding(Rule.CONFIGURATION, 0.0, "", words)

    def _reads(self) -> Iterator[Finding]:
        """A read that was sent after an acknowledgement shows that version or a later one."""
        for read in self._records.reads:
            before = [p.ver for p in self._records.puts if p.status == 200 and p.answered_at < read.sent_at]
            if read.ver and before and read.ver < max(before):
                words = f"{read.by} shows version {read.ver} after {max(before)} was acknowledged"
                yield Finding(Rule.CONFIGURATION, read.sent_at, "", words)

    def _others(self) -> Iterator[Finding]:
        for words in self._records.unclean:
            yield Finding(Rule.PROCESS, 0.0, "", words)
        for altered in self._records.altered:
            words = f"{altered.upstream} got {altered.words}"
            yield Finding(Rule.UNASKED, altered.at, altered.request, words)
        for words in self._records.unasked:
            yield Finding(Rule.ENDS, 0.0, "", f"bytes that nobody asked for: {words}")


def _is_failure(end: End) -> bool:
    """Whether it is an answer of the balancer's own that says that the request has failed."""
    return end.status >= 500 and end.status not in PROMISES and "mastturn-server-seal" not in end.headers


def _words(end: End) -> str:
    return f"status {end.status}" if end.kind is EndKind.WHOLE else end.kind.value
