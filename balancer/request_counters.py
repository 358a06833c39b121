"""What one balancer has done since it started, counted as it happens and read off by reports."""

from __future__ import annotations

import enum
from bisect import bisect_left

from passpost.counters import RequestResult

FIRST_EVENT_S = (0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 8.0, 13.0, 20.0)  # upper bounds


class Refusal(enum.Enum):
    """Why a request was told that it has not run."""

    QUEUES = "queues"  # its prompt could not be begun within what it bears
    NO_UPSTREAM = "no_upstream"  # of its service and part
    LATE = "late"  # its client stops waiting
    TURNED_AWAY = "turned_away"  # by upstreams or broken connections, and no further try is allowed
    UNCONFIGURED = "unconfigured"  # no configuration has been heard of yet


class Try(enum.Enum):
    """Which call of its request a call to an upstream is."""

    FIRST = "first"
    AGAIN = "again"  # another upstream has failed it


class RequestCounters:
    """How many requests were taken, and how they ended; tokens are those of prompts."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.ends = dict.fromkeys(RequestResult, 0)
        self.refusals = dict.fromkeys(Refusal, 0)
        self.tokens_read, self.tokens_read_again = 0, 0
        self.shared_again = 0  # tokens of shared parts, read by one upstream while another has them
        self.calls_to_cold = dict.fromkeys(Try, 0)
        self.first_events = [0] * (len(FIRST_EVENT_S) + 1)  # by how long they took; the last one: longer
        self.first_events_s = 0.0  # in all

    def request_received(self) -> None:
        """A whole request has come; it ends exactly once."""
        self.in_flight += 1

    def request_ended(self, class_name: str, final: RequestResult) -> None:
        """A taken request has its final answer, or its client has gone."""
        self.in_flight -= 1
        self.ends[final] += 1

    def refused(self, why: Refusal) -> None:
        """A request gets no run."""
        self.refusals[why] += 1

    def reads(self, tokens: int, again: bool) -> None:
        """An upstream is sent so many tokens to read; `again`: another was sent the same request before."""
        if again:
            self.tokens_read_again += tokens
        else:
            self.tokens_read += tokens

    def to_cold(self, again: bool) -> None:
        """An upstream that is cold is sent a call; `again`: another upstream has failed the request."""
        self.calls_to_cold[Try.AGAIN if again else Try.FIRST] += 1

    def first_event(self, seconds: float) -> None:
        """The first event of a stream goes to its client, so long after the whole request had come."""
        self.first_events[bisect_left(FIRST_EVENT_S, seconds)] += 1
        self.first_events_s += seconds
