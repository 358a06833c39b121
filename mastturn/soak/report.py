"""What a soak came to: a table by fault and by what clients saw, and a JSON line for each finding."""

from __future__ import annotations

import json
import re
from collections import Counter
from typing import Any

from rich.table import Table

from mastturn.soak.checker import Finding
from mastturn.soak.play import Result
from mastturn.soak.records import Arrival, Ask, End, EndKind

NOT_SENT = "reached no upstream"
LAST_BYTES = 120  # of a body that are shown with a finding
_CUT = re.compile(r"event=answer_cut .* end=(\w+) framing=(\w+)")
SEVERAL = "several faults"
OWN_STATUSES: dict[int, str] = {
    503: "refused",
    502: "failed (502)",
    504: "late (504)",
}  # of the balancer itself


def outcome(end: End) -> str:
    """In a word or two, how a request ended for its client."""
    if end.kind is not EndKind.WHOLE:
        return str(end.kind.value)
    if "mastturn-server-seal" in end.headers:
        return "served" if end.status < 300 else "upstream's error"
    return OWN_STATUSES.get(end.status, f"status {end.status}")


def by_fault(result: Result) -> dict[str, Counter[str]]:
    """How requests ended, by the fault that their answers met."""
    met: dict[str, list[Arrival]] = {}
    for arrival in result.records.arrivals:
        met.setdefault(arrival.request, []).append(arrival)
    found: dict[str, Counter[str]] = {}
    for ask in result.records.asks:
        ends = ask.ends or [End(EndKind.NONE, 0.0)]
        found.setdefault(_fault_of(met.get(ask.request, [])), Counter())[outcome(ends[0])] += 1
    return found


def _fault_of(arrivals: list[Arrival]) -> str:
    if not arrivals:
        return NOT_SENT
    wrong = {a.fault.value for a in arrivals if a.fault.value != "good"}
    return "good" if not wrong else wrong.pop() if len(wrong) == 1 else SEVERAL


def unseen_failures(result: Result) -> Counter[tuple[str, str]]:
    """Requests that failed with a 502 of the balancer's own though no upstream's program saw a run of theirs.

    By kind, and by how their calls ended, as the balancers' logs tell: `end/framing` of each, or "-".
    """
    seen = {arrival.request for arrival in result.records.arrivals if not arrival.is_read}
    found: Counter[tuple[str, str]] = Counter()
    for ask in result.records.asks:
        if ask.ends and outcome(ask.ends[0]) == OWN_STATUSES[502] and ask.request not in seen:
            cuts = (_CUT.search(line) for line in result.logs.about(ask.request))
            found[ask.kind.value, " ".join(f"{cut[1]}/{cut[2]}" for cut in cuts if cut) or "-"] += 1
    return found


def table(result: Result) -> Table:
    """The counts, for a terminal."""
    counts = by_fault(result)
    columns = sorted({end for row in counts.values() for end in row}, key=lambda end: (end != "served", end))
    shown = Table(title=f"seed {result.plan.seed}: how requests ended, by what their answers met")
    shown.add_column("fault")
    for column in columns:
        shown.add_column(column, justify="right")
    for fault in sorted(counts):
        shown.add_row(fault, *(str(counts[fault][column] or "") for column in columns))
    return shown


def line(result: Result, finding: Finding) -> str:
    """One finding as JSON: what each party has recorded of its request, and the fleet's log lines."""
    records = result.records
    told: dict[str, Any] = {
        "seed": result.plan.seed,
        "rule": finding.rule,
        "at_s": round(finding.at - result.began, 3) if finding.at else None,
        "request": finding.request,
        "words": finding.words,
        "balancer": finding.balancer,
        "client": [_ask(ask, result.began) for ask in records.asks if ask.request == finding.request],
        "upstreams": [
            _arrival(arrival, result.began)
            for arrival in records.arrivals
            if finding.request and arrival.request == finding.request
        ],
        "log": result.logs.about(finding.request),
    }
    return json.dumps(told)


def _ask(ask: Ask, began: float) -> dict[str, Any]:
    return {
        "kind": ask.kind.value,
        "style": ask.style.value,
        "sent_s": round(ask.sent_at - began, 3),
        "ends": [
            {
                "how": outcome(end),
                "at_s": round(end.at - began, 3),
                "status": end.status,
                "bytes": len(end.body),
                "last": end.body[-LAST_BYTES:].decode("latin-1"),
            }
            for end in ask.ends
        ],
    }


def _arrival(arrival: Arrival, began: float) -> dict[str, Any]:
    return {
        "upstream": arrival.upstream,
        "at_s": round(arrival.at - began, 3),
        "fault": arrival.fault.value,
        "read": arrival.is_read,
        "after": arrival.after,
        "ran": arrival.ran,
        "status": arrival.status,
        "whole_s": round(arrival.whole_at - began, 3) if arrival.whole_at is not None else None,
    }


def summary(result: Result) -> str:
    """One line of figures."""
    asks = result.records.asks
    served = sum(outcome(ask.ends[0]) == "served" for ask in asks if ask.ends)
    puts = sum(put.status == 200 for put in result.records.puts)
    troubles = sum(result.troubles.values())
    rules = Counter(finding.rule for finding in result.findings)
    unseen = unseen_failures(result)
    kinds = Counter(kind for kind, _ in unseen.elements())
    told = "".join(f" {kind} {count}" for kind, count in sorted(kinds.items()))
    found = ", ".join(f"{rule} {count}" for rule, count in sorted(rules.items())) or "nothing found"
    return (
        f"seed {result.plan.seed}: {len(asks)} requests, {served} served, {troubles} troubles, "
        f"{puts} changes acknowledged, {unseen.total()} failed unseen{f' ({told.strip()})' if told else ''}, "
        f"{result.records.worst_lag_s:.2f} s behind at most: {found}"
    )
