"""The rules that a soak checks."""

from __future__ import annotations

from enum import StrEnum


class Rule(StrEnum):
    """A rule, by its name in findings; the comment says what violates it."""

    MIXED = "mixed"  # a complete response belongs to another request, or differs from what its upstream sent
    UNASKED = "unasked"  # an upstream receives a body that no client sent, or bytes that are not a request
    GAP = "gap"  # the events of a stream are not consecutive, or it ends as complete before the last
    TWICE = "twice"  # a non-idempotent request ran twice
    PROMISE = "promise"  # a status that means "not run", although the request ran
    UNSERVED = (
        "unserved"  # an upstream sent a complete response, and the waiting client received something else
    )
    LOST = "lost"  # a connection is closed without a response, although the upstream was healthy
    STOP = "stop"  # the same at a balancer that received SIGTERM
    HELD = "held"  # no end within the deadline and the client's margin
    ENDS = "ends"  # a request ends twice or never, or a client receives bytes without a pending request
    DRAIN = "drain"  # a request reaches an upstream long after it was listed as draining
    CONFIGURATION = (
        "configuration"  # two changes of one version acknowledged, or an acknowledged one is not read back
    )
    RECOVER = "recover"  # a balancer is not ready in time after the last trouble
    PROCESS = "process"  # a process does not exit in order
