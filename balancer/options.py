"""Connection options: how this system uses the shared client and upstream connection code."""

from __future__ import annotations

from balancer.wire import ask_for_report, is_event_stream, outcome
from config.configuration import ClientLimits
from passpost.client_options import ClientOptions
from passpost.upstream_options import UpstreamOptions

UNACKED_MS = 700  # an upstream that acknowledges nothing for this long is considered dead
CLIENT_UNACKED_MS = 8000
STALL_S = 30.0  # a stream that makes no progress for this long is given up
SWEEP_S = 1.0
BODY_RATE = 1000.0  # bytes per second at which a body must arrive at least
ACCEPT_AFTER_STOP_S = 3.2  # the platform routes connections here until two failed checks, one second apart
ACCEPT_SHARE, LAST_CALL_SHARE = 0.4, 0.3  # largest shares of the termination grace period for these two
LAST_CALL_S, DRAIN_STEP_S = 2.2, 0.1


def upstream_options() -> UpstreamOptions:
    """Return the options for connections to upstreams."""
    return UpstreamOptions(
        outcome=outcome,
        at_once=is_event_stream,
        stall_s=STALL_S,
        heeds_keep_alive=True,
        bounds_answers=True,
        question=ask_for_report,
        doubts_misused=True,
        dark_ms=UNACKED_MS,
    )


def client_options(limits: ClientLimits, grace_s: float) -> ClientOptions:
    """Return the options for client connections, with these limits and termination grace period."""
    idle = limits.idle_timeout_ms / 1000
    return ClientOptions(
        max_head=limits.max_header_bytes,
        max_body=limits.max_body_bytes,
        read_s=limits.header_timeout_ms / 1000,
        first_s=idle,
        idle_s=idle + 1.0,  # longer than announced: no client then sends into a closing connection
        body_rate=BODY_RATE,
        held_each=limits.max_body_bytes,
        uploads=False,
        told_idle_s=max(int(idle) - 1, 1),
        reads_past_end=False,
        sweep_s=SWEEP_S,
        dark_ms=CLIENT_UNACKED_MS,
        closes_at_stop=True,
        accept_after_stop_s=min(ACCEPT_AFTER_STOP_S, ACCEPT_SHARE * grace_s),
        last_call_s=min(LAST_CALL_S, LAST_CALL_SHARE * grace_s),
        drain_step_s=DRAIN_STEP_S,
    )
