"""Counters of one balancer's requests since it started, read by reports and metrics."""

from __future__ import annotations

import enum
from bisect import bisect_left

from passpost.counters import RequestResult

FIRST_EVENT_S = (0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 8.0, 13.0, 20.0)  # upper bounds


class Refusal(enum.Enum):
    """Why a request was refused without having run."""

    QUEUES = "queues"  # prefill could not begin within the time that its route allows
    NO_UPSTREAM = "no_upstream"  # no upstream of its service and phase
    LATE = "late"  # its deadline has passed
    TURNED_AWAY = "turned_away"  # by upstreams or broken connections, and no further try is allowed
    UNCONFIGURED = "unconfigured"  # this balancer has no configuration yet


class AttemptKind(enum.Enum):
    """Whether a call to an upstream is the first of its request."""

    FIRST = "first"
    RETRY = "again"  # another upstream has failed the request


class RequestCounters:
    """Counts requests and how they ended; tokens are prompt tokens."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.ends = dict.fromkeys(RequestResult, 0)
        self.refusals = dict.fromkeys(Refusal, 0)
        self.tokens_read, self.tokens_reread = 0, 0
        self.shared_tokens_reread = 0  # shared tokens sent to an upstream while another has them cached
        self.calls_to_cold = dict.fromkeys(AttemptKind, 0)
        self.first_events = [0] * (len(FIRST_EVENT_S) + 1)  # histogram; the last bucket has no upper bound
        self.first_events_s = 0.0  # sum of the times

    def request_received(self) -> None:
        """Count a complete request; each ends exactly once."""
        self.in_flight += 1

    def request_ended(self, class_name: str, final: RequestResult) -> None:
        """Count a request that has its final answer, or whose client has disconnected."""
        self.in_flight -= 1
        self.ends[final] += 1

    def refused(self, reason: Refusal) -> None:
        """Count a refused request."""
        self.refusals[reason] += 1

    def on_prefill_sent(self, tokens: int, again: bool) -> None:
        """Count tokens sent to be prefilled; `again`: the request was sent to another upstream before."""
        if again:
            self.tokens_reread += tokens
        else:
            self.tokens_read += tokens

    def on_cold_call(self, again: bool) -> None:
        """Count a call to a cold upstream; `again`: another upstream has failed the request."""
        self.calls_to_cold[AttemptKind.RETRY if again else AttemptKind.FIRST] += 1

    def on_first_event(self, seconds: float) -> None:
        """Record the time from a complete request to the first event that its client gets."""
        self.first_events[bisect_left(FIRST_EVENT_S, seconds)] += 1
        self.first_events_s += seconds
