"""Connection options: how this system uses the shared client and upstream connection code."""

from __future__ import annotations

from balancer.upstream_protocol import ask_for_report, is_event_stream, outcome
from config.configuration import ClientLimits
from passpost.client_options import ClientOptions
from passpost.upstream_options import UpstreamOptions

UNACKED_MS = 700  # an upstream that acknowledges nothing for this long is considered dead
CLIENT_UNACKED_MS = 8000
STALL_S = 30.0  # a stream that makes no progress for this long is given up
SWEEP_S = 1.0
BODY_RATE = 1000.0  # bytes per second at which a body must arrive at least
ACCEPT_AFTER_STOP_S = 3.2  # the platform routes connections here until two failed checks, one second apart
ACCEPT_SHARE, CLOSING_PHASE_SHARE = 0.4, 0.3  # largest shares of the termination grace period for these two
CLOSING_PHASE_S, DRAIN_POLL_S = 2.2, 0.1


def upstream_options() -> UpstreamOptions:
    """Return the options for connections to upstreams."""
    return UpstreamOptions(
        outcome=outcome,
        is_streamed=is_event_stream,
        stall_timeout_s=STALL_S,
        honors_keep_alive=True,
        applies_timeout_to_streams=True,
        liveness_request=ask_for_report,
        avoids_misused_connections=True,
        unacked_timeout_ms=UNACKED_MS,
    )


def client_options(limits: ClientLimits, grace_s: float) -> ClientOptions:
    """Return the options for client connections, with these limits and termination grace period."""
    idle = limits.idle_timeout_ms / 1000
    return ClientOptions(
        max_head_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        head_timeout_s=limits.header_timeout_ms / 1000,
        first_request_timeout_s=idle,
        idle_timeout_s=idle + 1.0,  # longer than announced: no client then sends into a closing connection
        min_body_rate=BODY_RATE,
        max_buffered_body=limits.max_body_bytes,
        streams_uploads=False,
        keep_alive_timeout_s=max(int(idle) - 1, 1),
        discards_late_input=False,
        sweep_interval_s=SWEEP_S,
        unacked_timeout_ms=CLIENT_UNACKED_MS,
        closes_at_stop=True,
        accept_after_stop_s=min(ACCEPT_AFTER_STOP_S, ACCEPT_SHARE * grace_s),
        closing_phase_s=min(CLOSING_PHASE_S, CLOSING_PHASE_SHARE * grace_s),
        drain_poll_s=DRAIN_POLL_S,
    )
