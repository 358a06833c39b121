"""Checks the records of a soak against the rules (`rules.py`), using nothing but the records."""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Iterator

from mastturn.soak import faults, lag
from mastturn.soak.clients import RESPONSE_MARGIN_S
from mastturn.soak.configuration_check import check_configuration
from mastturn.soak.finding import Finding
from mastturn.soak.records import Arrival, ClientBehavior, ClientRequest, EndKind, Records, RequestEnd
from mastturn.soak.rules import Rule

NOT_RUN_STATUSES = (408, 421, 429, 503)
EXCUSE_MARGIN_S = 0.1  # a kill or pause this shortly before a request or after its end excuses its failure
MAX_DRAIN_S = 4.0  # limit of a drain, including the delay of the list and of its propagation
RECOVERY_S = 2.0  # for this long after a fault of control, list or balancer, updates may still be delayed
MAX_PROPAGATION_S = (
    2.5  # without faults, updates reach every balancer within this; the list is read once a second
)
CROSSING_S = 0.02  # stray bytes may have crossed a request that arrived this soon after them
DELIVERY_MARGIN_S = 0.3  # a response complete this long before its deadline must reach the client
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\S+) (\d+)/(\d+)\n\n")


class Checker:
    """Indexes the records by request and checks them against the rules."""

    def __init__(self, records: Records) -> None:
        self._records = records
        self._arrivals: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in records.arrivals:
            self._arrivals[arrival.request_id].append(arrival)
        self._runs = {a.seal: a for a in records.arrivals if a.seal}

    def findings(self) -> list[Finding]:
        """Return all findings, in order of time."""
        found = [f for client_request in self._records.requests for f in self._check(client_request)]
        found += [
            *self._check_drains(),
            *check_configuration(self._records),
            *self._check_processes_and_input(),
        ]
        return sorted(found, key=lambda f: f.at)

    def _finding(self, rule: Rule, client_request: ClientRequest, description: str) -> Finding:
        arrivals = self._arrivals[client_request.request_id]
        at = client_request.ends[0].at if client_request.ends else client_request.sent_at
        return Finding(
            rule,
            at,
            client_request.request_id,
            description,
            tuple(a.fault.value for a in arrivals),
            client_request.balancer,
        )

    # ---- one request

    def _check(self, client_request: ClientRequest) -> Iterator[Finding]:
        runs = [a for a in self._arrivals[client_request.request_id] if a.ran]
        if len(client_request.ends) != 1:
            yield self._finding(Rule.ENDS, client_request, f"{len(client_request.ends)} ends")
            return
        if not client_request.kind.is_idempotent and len(runs) > 1:
            yield self._finding(
                Rule.TWICE, client_request, f"{client_request.kind.value} ran {len(runs)} times"
            )
        for arrival in self._arrivals[client_request.request_id]:
            if arrival.size is not None and arrival.size != client_request.size:
                yield self._finding(
                    Rule.UNASKED,
                    client_request,
                    f"{arrival.size} of {client_request.size} bytes at an upstream",
                )
        end = client_request.ends[0]
        if end.kind is EndKind.COMPLETE:
            yield from self._check_response(client_request, end, runs)
        elif end.kind is EndKind.INVALID:
            yield self._finding(
                Rule.MIXED, client_request, "the client received bytes that are not a valid response"
            )
        if end.kind in (EndKind.COMPLETE, EndKind.LEFT) and not _is_failure(end):
            return
        yield from self._check_loss(client_request, end, runs)

    def _check_response(
        self, client_request: ClientRequest, end: RequestEnd, runs: list[Arrival]
    ) -> Iterator[Finding]:
        seal = end.headers.get("mastturn-server-seal")
        if seal is None:
            if end.status < 300:
                yield self._finding(Rule.MIXED, client_request, f"status {end.status} without a seal")
            elif end.status in NOT_RUN_STATUSES and runs and not client_request.kind.is_idempotent:
                yield self._finding(Rule.PROMISE, client_request, f"status {end.status}, but the request ran")
            elif end.body:
                yield self._finding(
                    Rule.MIXED, client_request, f"status {end.status} of the balancer with a body"
                )
            return
        run = self._runs.get(seal)
        if run is None or run.request_id != client_request.request_id:
            owner = "an unknown run" if run is None else run.request_id
            yield self._finding(Rule.MIXED, client_request, f"received the response of {owner}")
        elif run.status != end.status:
            yield self._finding(
                Rule.MIXED, client_request, f"status {end.status}, but the upstream sent {run.status}"
            )
        elif client_request.kind.is_stream and end.status == 200:
            yield from self._check_events(client_request, end, run)
        elif run.body != end.body:
            yield self._finding(
                Rule.MIXED, client_request, f"{len(end.body)} of {len(run.body)} bytes, framed as complete"
            )

    def _check_events(
        self, client_request: ClientRequest, end: RequestEnd, run: Arrival
    ) -> Iterator[Finding]:
        """Check that the events are consecutive up to the last, each from a run of this request."""
        last, remaining = 0, end.body
        while (found := _EVENT.match(remaining)) is not None:
            number, seal, request_id = int(found[1]), found[2].decode(), found[3].decode()
            event_run = self._runs.get(seal)
            if (
                request_id != client_request.request_id
                or event_run is None
                or event_run.request_id != client_request.request_id
            ):
                yield self._finding(Rule.MIXED, client_request, f"event {number} of {request_id}")
                return
            if number != last + 1:
                yield self._finding(Rule.GAP, client_request, f"event {number} after event {last}")
                return
            last, remaining = number, remaining[found.end() :]
        if remaining:
            yield self._finding(
                Rule.MIXED, client_request, f"{len(remaining)} bytes that are no event after event {last}"
            )
        elif last != run.events:
            yield self._finding(Rule.GAP, client_request, f"complete with {last} of {run.events} events")

    def _check_loss(
        self, client_request: ClientRequest, end: RequestEnd, runs: list[Arrival]
    ) -> Iterator[Finding]:
        """Check for a response that the client missed, where only the balancer can be the cause."""
        if self._is_excused(client_request, end) or any(
            a.since_partial_s < CROSSING_S for a in self._arrivals[client_request.request_id]
        ):
            return
        is_timed = not self._is_lagging(client_request.sent_at, end.at)
        if end.kind is EndKind.NONE and client_request.behavior is not ClientBehavior.SLOW and is_timed:
            yield self._finding(
                Rule.HELD, client_request, f"no response {RESPONSE_MARGIN_S:g} s after its deadline"
            )
            return
        served = [
            a for a in runs if a.complete_at is not None and a.fault in faults.SOUND and a.status == 200
        ]
        in_time = [a for a in served if self._is_due(a, client_request)]
        if in_time and end.status != 200 and is_timed:
            yield self._finding(
                Rule.UNSERVED,
                client_request,
                f"{_describe(end)} although the response of {in_time[0].seal} was complete",
            )
            return
        if end.at >= client_request.deadline_at:
            return
        is_harmless = all(a.fault in faults.HARMLESS for a in self._arrivals[client_request.request_id])
        if (
            end.kind in (EndKind.CUT, EndKind.CLOSED)
            and runs
            and is_harmless
            and not self._has_crashed(runs, end)
        ):
            rule = Rule.STOP if self._overlaps_span("term", client_request, end) else Rule.LOST
            yield self._finding(rule, client_request, f"{_describe(end)} although its upstream was healthy")

    def _is_due(self, run: Arrival, client_request: ClientRequest) -> bool:
        """Return whether a response must reach its client: sent in time by an upstream that stayed up."""
        if run.complete_at is None or run.complete_at >= client_request.deadline_at - DELIVERY_MARGIN_S:
            return False
        until = run.complete_at + EXCUSE_MARGIN_S
        spans = (s for s in self._records.spans if s.cause == "crash" and s.subject == run.upstream)
        return not any(span.overlaps(run.at, until) for span in spans)

    def _is_excused(self, client_request: ClientRequest, end: RequestEnd) -> bool:
        """Return whether a kill or pause of the balancer, or the client itself, may explain the end."""
        if client_request.behavior in (ClientBehavior.LEAVES, ClientBehavior.HALF_CLOSED):
            return True
        return self._overlaps_span("kill", client_request, end) or self._overlaps_span(
            "stop", client_request, end
        )

    def _overlaps_span(self, cause: str, client_request: ClientRequest, end: RequestEnd) -> bool:
        return any(
            span.cause == cause
            and span.subject == client_request.balancer
            and span.overlaps(client_request.sent_at - EXCUSE_MARGIN_S, end.at + EXCUSE_MARGIN_S)
            for span in self._records.spans
        )

    def _is_lagging(self, begin: float, end: float) -> bool:
        """Return whether the soak's event loop lagged meanwhile, so that its own times prove nothing."""
        return any(span.cause == lag.LAG and span.overlaps(begin, end) for span in self._records.spans)

    def _has_crashed(self, runs: list[Arrival], end: RequestEnd) -> bool:
        """Return whether an upstream of the request crashed while handling it."""
        return any(
            span.cause == "crash"
            and span.subject == run.upstream
            and span.overlaps(run.at, end.at + EXCUSE_MARGIN_S)
            for run in runs
            for span in self._records.spans
        )

    # ---- the whole run

    def _check_drains(self) -> Iterator[Finding]:
        delisted_at = {d.upstream: d.at for d in self._records.delisted}
        balancers = {
            client_request.request_id: client_request.balancer for client_request in self._records.requests
        }
        for arrival in self._records.arrivals:
            since = delisted_at.get(arrival.upstream)
            if since is None or arrival.at - since <= MAX_DRAIN_S:
                continue
            balancer = balancers.get(arrival.request_id, "")
            if self._is_lagging(since, arrival.at):
                continue
            if self._longest_undisturbed_s(since, arrival.at, balancer) >= MAX_PROPAGATION_S:
                description = (
                    f"reaches {arrival.upstream} {arrival.at - since:.1f} s after it started draining"
                )
                yield Finding(
                    Rule.DRAIN, arrival.at, arrival.request_id, description, (arrival.fault.value,), balancer
                )

    def _longest_undisturbed_s(self, begin: float, end: float, balancer: str) -> float:
        """Return the longest time without a fault on the way of updates to a balancer."""
        disturbances = sorted(
            (span.begin, span.end + RECOVERY_S)
            for span in self._records.spans
            if span.cause == "list" or span.subject.startswith("core") or span.subject == balancer
        )
        longest, undisturbed_since = 0.0, begin
        for disturbed_at, recovered_at in disturbances:
            longest = max(longest, min(disturbed_at, end) - undisturbed_since)
            undisturbed_since = max(undisturbed_since, recovered_at)
        return max(longest, end - undisturbed_since)

    def _check_processes_and_input(self) -> Iterator[Finding]:
        for description in self._records.unclean_exits:
            yield Finding(Rule.PROCESS, 0.0, "", description)
        for balancer in self._records.unready:
            yield Finding(Rule.RECOVER, 0.0, "", f"{balancer} is not ready after the last trouble")
        for item in self._records.unexpected_inputs:
            description = f"{item.upstream} received {item.description}"
            yield Finding(Rule.UNASKED, item.at, item.request_id, description)
        for description in self._records.unsolicited:
            yield Finding(Rule.ENDS, 0.0, "", f"bytes without a pending request: {description}")


def _is_failure(end: RequestEnd) -> bool:
    """Return whether it is an error response generated by the balancer."""
    return (
        end.status >= 500 and end.status not in NOT_RUN_STATUSES and "mastturn-server-seal" not in end.headers
    )


def _describe(end: RequestEnd) -> str:
    return f"status {end.status}" if end.kind is EndKind.COMPLETE else end.kind.value
