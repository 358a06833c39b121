"""How upstreams are spoken to."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from passpost.attempt import UpstreamRequest
from passpost.http1 import Address, Headers, Response
from umberworks.interface import Outcome


def outcome_of(answer: Response) -> Outcome:
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

    outcome: Callable[[Response], Outcome] = outcome_of
    is_streamed: Callable[[int, Headers], bool] | None = None  # answers passed on from their heads on
    stall_timeout_s: float | None = None  # STALL_S
    honors_keep_alive: bool = False  # idle connections live as long as the upstream's Keep-Alive tells
    applies_timeout_to_streams: bool = (
        False  # an answer that is passed on as it comes has to end in its attempt's time
    )
    liveness_request: Callable[[str, Address], UpstreamRequest] | None = (
        None  # that a live upstream of that name answers
    )
    avoids_misused_connections: bool = (
        False  # upstreams that send stray bytes get requests on unused connections
    )
    unacked_timeout_ms: int = (
        0  # TCP_USER_TIMEOUT and keep-alive probes: a peer that says nothing so long is gone
    )
