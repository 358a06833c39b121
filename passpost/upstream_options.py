"""Options for the connections to upstreams."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from passpost.attempt import OutgoingRequest
from passpost.http1 import Address, Headers, Response
from umberworks.interface import Outcome


def outcome_of(response: Response) -> Outcome:
    """The outcome that a response means, by the protocol's table."""
    if response.status == 200:
        return Outcome.SERVED
    if response.status in (503, 504):
        away = any(n.lower() == b"x-turned-away" and v.strip() == b"1" for n, v in response.headers)
        return Outcome.TURNED_AWAY if away else Outcome.ERROR
    return Outcome.ERROR


@dataclass(frozen=True, slots=True)
class UpstreamOptions:
    """Options for upstream connections; durations in seconds. The defaults are those of passpost."""

    outcome: Callable[[Response], Outcome] = outcome_of
    is_streamed: Callable[[int, Headers], bool] | None = None  # streamed from their head on
    stall_timeout_s: float | None = None  # None: STALL_TIMEOUT_S
    honors_keep_alive: bool = False  # keep idle connections for as long as Keep-Alive headers allow
    # A streamed response also has to end within its attempt's timeout.
    applies_timeout_to_streams: bool = False
    # A request that a live upstream of this name responds to.
    liveness_request: Callable[[str, Address], OutgoingRequest] | None = None
    # Use unused connections for upstreams that send stray bytes.
    avoids_misused_connections: bool = False
    # TCP_USER_TIMEOUT and keep-alive probes: close if the peer acknowledges nothing for so long.
    unacked_timeout_ms: int = 0
