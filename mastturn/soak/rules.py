"""The rules that a soak holds a fleet to."""

from __future__ import annotations

from enum import StrEnum


class Rule(StrEnum):
    """A rule by the name that stands in findings; the comment says what breaks it."""

    MIXED = "mixed"  # a complete answer is not its own request's, or not its upstream's whole one
    UNASKED = "unasked"  # an upstream gets a body that is not its client's, or what is no request
    GAP = "gap"  # a stream's events do not follow one another, or it ends as complete before its last
    TWICE = "twice"  # what may run once has run twice
    PROMISE = "promise"  # a status that says that nothing was run, though it ran
    UNSERVED = "unserved"  # an upstream's whole answer was there, and the waiting client got another end
    LOST = "lost"  # a request that a sound upstream got is closed on unanswered
    STOP = "stop"  # the same at a balancer that was told to end
    HELD = "held"  # no end in the request's time
    ENDS = "ends"  # a request has two ends, or a client gets bytes that it asked nothing for
    DRAIN = "drain"  # a request reaches an upstream long after the list has shown that it leaves
    CONFIGURATION = "configuration"  # two changes on one base acknowledged, or the last one is not read back
    PROCESS = "process"  # a process does not end as told
