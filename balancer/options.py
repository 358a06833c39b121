"""How this balancer treats clients and upstreams: what the system asks of the shared connections' code."""

from __future__ import annotations

from balancer.wire import ask_for_report, is_event_stream, outcome
from config.configuration import ClientLimits
from passpost.client_options import ClientOptions
from passpost.upstream_options import UpstreamOptions

DARK_MS = 700  # an upstream that acknowledges nothing for so long is dark
CLIENT_DARK_MS = 8000
STALL_S = 30.0  # a stream that stands still so long is given up
SWEEP_S = 1.0
BODY_RATE = 1000.0  # bytes a second at which a body has to come at the least
ACCEPT_AFTER_STOP_S = 3.2  # the platform sends new connections until it has missed us twice, a second apart
ACCEPT_SHARE, LAST_CALL_SHARE = 0.4, 0.3  # of the time until we are killed, at the most, for these two
LAST_CALL_S, DRAIN_STEP_S = 2.2, 0.1


def upstream_options() -> UpstreamOptions:
    """How upstreams are spoken to."""
    return UpstreamOptions(
        outcome=outcome,
        is_streamed=is_event_stream,
        stall_timeout_s=STALL_S,
        honors_keep_alive=True,
        applies_timeout_to_streams=True,
        liveness_request=ask_for_report,
        avoids_misused_connections=True,
        unacked_timeout_ms=DARK_MS,
    )


def client_options(limits: ClientLimits, grace_s: float) -> ClientOptions:
    """How clients are treated under these limits, and at a stop that leaves us so long."""
    idle = limits.idle_timeout_ms / 1000
    return ClientOptions(
        max_head_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        head_timeout_s=limits.header_timeout_ms / 1000,
        first_request_timeout_s=idle,
        idle_timeout_s=idle + 1.0,  # they are told less: none sends across our close
        min_body_rate=BODY_RATE,
        max_buffered_body=limits.max_body_bytes,
        streams_uploads=False,
        keep_alive_timeout_s=max(int(idle) - 1, 1),
        discards_late_input=False,
        sweep_interval_s=SWEEP_S,
        unacked_timeout_ms=CLIENT_DARK_MS,
        closes_at_stop=True,
        accept_after_stop_s=min(ACCEPT_AFTER_STOP_S, ACCEPT_SHARE * grace_s),
        closing_phase_s=min(LAST_CALL_S, LAST_CALL_SHARE * grace_s),
        drain_poll_s=DRAIN_STEP_S,
    )
