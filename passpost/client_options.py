"""Limits and timeouts for client connections, and the phases of a graceful stop."""

from __future__ import annotations

from dataclasses import dataclass

from passpost.http1 import MAX_BODY, MAX_HEAD

IDLE_TIMEOUT_S = 75.0  # a connection that has carried a request is closed after so long without another
HEAD_TIMEOUT_S = 2.6  # from the first byte of a head, or from the connect for the first one, to its last
MIN_BODY_RATE = 48_000.0  # bytes per second; a client that sends 64 kB per second in pieces is legitimate
# Bytes of one body that are buffered while there is memory; a buffered body does not occupy an upstream.
MAX_BUFFERED_EACH = 1024 * 1024
SWEEP_INTERVAL_S = 0.25  # limits are enforced with this precision
# New connections arrive for up to 0.4 s after SIGTERM, and some are in transit then.
ACCEPT_AFTER_STOP_S = 0.8
# The last part of a drain; until then clients are kept, as they may have no other balancer.
CLOSING_PHASE_S = 1.2
DRAIN_POLL_S = 0.02


@dataclass(frozen=True, slots=True)
class ClientOptions:
    """Limits and timeouts for clients, in bytes and seconds; `default_options` gives those of passpost."""

    max_head_bytes: int
    max_body_bytes: int
    head_timeout_s: float
    first_request_timeout_s: float  # for a connection without a request so far
    idle_timeout_s: float
    min_body_rate: float
    max_buffered_body: int
    streams_uploads: bool  # a body too long to buffer is streamed; otherwise it is refused
    keep_alive_timeout_s: int  # sent in the Keep-Alive header; 0: none is sent
    discards_late_input: bool  # input after our FIN is read and discarded; otherwise it is left unread
    sweep_interval_s: float
    unacked_timeout_ms: int  # as in UpstreamOptions
    closes_at_stop: bool  # from the stop on every response closes its connection
    accept_after_stop_s: float
    closing_phase_s: float
    drain_poll_s: float


def default_options() -> ClientOptions:
    """The options of the passpost program."""
    return ClientOptions(
        max_head_bytes=MAX_HEAD,
        max_body_bytes=MAX_BODY,
        head_timeout_s=HEAD_TIMEOUT_S,
        first_request_timeout_s=HEAD_TIMEOUT_S,
        idle_timeout_s=IDLE_TIMEOUT_S,
        min_body_rate=MIN_BODY_RATE,
        max_buffered_body=MAX_BUFFERED_EACH,
        streams_uploads=True,
        keep_alive_timeout_s=0,
        discards_late_input=True,
        sweep_interval_s=SWEEP_INTERVAL_S,
        unacked_timeout_ms=0,
        closes_at_stop=False,
        accept_after_stop_s=ACCEPT_AFTER_STOP_S,
        closing_phase_s=CLOSING_PHASE_S,
        drain_poll_s=DRAIN_POLL_S,
    )
