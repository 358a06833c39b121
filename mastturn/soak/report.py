"""Reports of a soak: a table of request outcomes by fault, and a JSON line for each finding."""

from __future__ import annotations

import json
import re
from collections import Counter
from typing import Any

from rich.table import Table

from mastturn.soak.finding import Finding
from mastturn.soak.play import Result
from mastturn.soak.records import Arrival, ClientRequest, EndKind, RequestEnd

NOT_SENT = "reached no upstream"
SHOWN_BYTES = 120  # of a body, included with a finding
_CUT_LOG_LINE = re.compile(r"event=answer_cut .* end=(\w+) framing=(\w+)")
SEVERAL_FAULTS = "several faults"
# Statuses of responses that the balancer generates.
BALANCER_STATUSES: dict[int, str] = {
    503: "refused",
    502: "failed (502)",
    504: "late (504)",
}


def outcome_label(end: RequestEnd) -> str:
    """Return a label of how a request ended for its client."""
    if end.kind is not EndKind.COMPLETE:
        return str(end.kind.value)
    if "mastturn-server-seal" in end.headers:
        return "served" if end.status < 300 else "upstream's error"
    return BALANCER_STATUSES.get(end.status, f"status {end.status}")


def count_by_fault(result: Result) -> dict[str, Counter[str]]:
    """Count how requests ended, by the fault of their responses."""
    arrivals_by_request: dict[str, list[Arrival]] = {}
    for arrival in result.records.arrivals:
        arrivals_by_request.setdefault(arrival.request_id, []).append(arrival)
    found: dict[str, Counter[str]] = {}
    for client_request in result.records.requests:
        ends = client_request.ends or [RequestEnd(EndKind.NONE, 0.0)]
        found.setdefault(_fault_of(arrivals_by_request.get(client_request.request_id, [])), Counter())[
            outcome_label(ends[0])
        ] += 1
    return found


def _fault_of(arrivals: list[Arrival]) -> str:
    if not arrivals:
        return NOT_SENT
    fault_names = {a.fault.value for a in arrivals if a.fault.value != "good"}
    return "good" if not fault_names else fault_names.pop() if len(fault_names) == 1 else SEVERAL_FAULTS


def count_unrecorded_failures(result: Result) -> Counter[tuple[str, str]]:
    """Count requests that failed with the balancer's 502 although no upstream recorded a run of them.

    By kind, and by how their calls ended according to the balancers' logs: `end/framing` of each, or "-".
    """
    recorded = {arrival.request_id for arrival in result.records.arrivals if not arrival.is_prefill}
    found: Counter[tuple[str, str]] = Counter()
    for client_request in result.records.requests:
        if (
            client_request.ends
            and outcome_label(client_request.ends[0]) == BALANCER_STATUSES[502]
            and client_request.request_id not in recorded
        ):
            matches = (
                _CUT_LOG_LINE.search(finding_line)
                for finding_line in result.logs.lines_about(client_request.request_id)
            )
            found[
                client_request.kind.value,
                " ".join(f"{match[1]}/{match[2]}" for match in matches if match) or "-",
            ] += 1
    return found


def table(result: Result) -> Table:
    """Return the counts as a table for a terminal."""
    counts = count_by_fault(result)
    columns = sorted({end for row in counts.values() for end in row}, key=lambda end: (end != "served", end))
    result_table = Table(
        title=f"seed {result.plan.seed}: how requests ended, by the fault of their responses"
    )
    result_table.add_column("fault")
    for column in columns:
        result_table.add_column(column, justify="right")
    for fault in sorted(counts):
        result_table.add_row(fault, *(str(counts[fault][column] or "") for column in columns))
    return result_table


def finding_line(result: Result, finding: Finding) -> str:
    """Return a finding as JSON, with the records of its request and the fleet's log lines."""
    records = result.records
    fields: dict[str, Any] = {
        "seed": result.plan.seed,
        "rule": finding.rule,
        "at_s": round(finding.at - result.began, 3) if finding.at else None,
        "request": finding.request_id,
        "words": finding.description,
        "balancer": finding.balancer,
        "client": [
            _request_fields(client_request, result.began)
            for client_request in records.requests
            if client_request.request_id == finding.request_id
        ],
        "upstreams": [
            _arrival_fields(arrival, result.began)
            for arrival in records.arrivals
            if finding.request_id and arrival.request_id == finding.request_id
        ],
        "log": result.logs.lines_about(finding.request_id),
    }
    return json.dumps(fields)


def _request_fields(client_request: ClientRequest, began: float) -> dict[str, Any]:
    return {
        "kind": client_request.kind.value,
        "style": client_request.behavior.value,
        "sent_s": round(client_request.sent_at - began, 3),
        "ends": [
            {
                "how": outcome_label(end),
                "at_s": round(end.at - began, 3),
                "status": end.status,
                "bytes": len(end.body),
                "last": end.body[-SHOWN_BYTES:].decode("latin-1"),
            }
            for end in client_request.ends
        ],
    }


def _arrival_fields(arrival: Arrival, began: float) -> dict[str, Any]:
    return {
        "upstream": arrival.upstream,
        "at_s": round(arrival.at - began, 3),
        "fault": arrival.fault.value,
        "read": arrival.is_prefill,
        "after": arrival.after,
        "ran": arrival.ran,
        "status": arrival.status,
        "whole_s": round(arrival.complete_at - began, 3) if arrival.complete_at is not None else None,
    }


def summary(result: Result) -> str:
    """Return a one-line summary."""
    requests = result.records.requests
    served = sum(
        outcome_label(client_request.ends[0]) == "served"
        for client_request in requests
        if client_request.ends
    )
    puts = sum(put.status == 200 for put in result.records.puts)
    troubles = sum(result.troubles.values())
    rules = Counter(finding.rule for finding in result.findings)
    unrecorded = count_unrecorded_failures(result)
    kinds = Counter(kind for kind, _ in unrecorded.elements())
    kind_counts = "".join(f" {kind} {count}" for kind, count in sorted(kinds.items()))
    found = ", ".join(f"{rule} {count}" for rule, count in sorted(rules.items())) or "nothing found"
    return (
        f"seed {result.plan.seed}: {len(requests)} requests, {served} served, {troubles} troubles, "
        f"{puts} changes acknowledged, "
        f"{unrecorded.total()} failed unseen{f' ({kind_counts.strip()})' if kind_counts else ''}, "
        f"{result.records.worst_lag_s:.2f} s behind at most: {found}"
    )
