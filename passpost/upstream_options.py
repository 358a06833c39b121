"""How upstreams are spoken to."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from passpost.attempt import Outgoing
from passpost.http1 import Address, Answer, Headers
from umberworks.interface import Outcome


def outcome_of(answer: Answer) -> Outcome:
    """What an answer means, by the protocol's table."""
    if answer.status == 200:
        return Outcome.SERVED
    if answer.status in (503, 504):
        away = any(n.lower() == b"x-turned-away" and v.strip() == b"1" for n, v in answer.headers)
        return Outcome.TURNED_AWAY if away else Outcome.ERROR
    return Outcome.ERROR


@dataclass(frozen=True, slots=True)
class UpstreamOptions:
    """How upstreams are spoken to; spans in seconds. What stands here is the program in service."""

    outcome: Callable[[Answer], Outcome] = outcome_of
    at_once: Callable[[int, Headers], bool] | None = None  # answers passed on from their heads on
    stall_s: float | None = None  # STALL_S
    heeds_keep_alive: bool = False  # idle connections live as long as the upstream's Keep-Alive tells
    bounds_answers: bool = False  # an answer that is passed on as it comes has to end in its attempt's time
    question: Callable[[str, Address], Outgoing] | None = None  # that a live upstream of that name answers
    doubts_misused: bool = False  # upstreams that send stray bytes get requests on unused connections
    dark_ms: int = 0  # TCP_USER_TIMEOUT and keep-alive probes: a peer that says nothing so long is gone
