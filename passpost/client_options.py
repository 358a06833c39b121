"""How clients are treated: bounds of their messages and connections, and the times of a stop."""

from __future__ import annotations

from dataclasses import dataclass

from passpost.http1 import MAX_BODY, MAX_HEAD

IDLE_S = 75.0  # a connection that has been of use is closed after so long without a request
READ_S = 2.6  # a head must be whole so long after its first byte, and the first one after connecting
BODY_RATE = 48_000.0  # bytes a second of a body; one at 64 kB a second, in pieces, is proper
HELD_EACH = 1024 * 1024  # a body up to this is held whole while there is memory, and binds no upstream
SWEEP_S = 0.25  # bounds are kept to within this
ACCEPT_AFTER_STOP_S = 0.8  # connections go on coming for up to 0.4 s after SIGTERM, and some are on their way
LAST_CALL_S = 1.2  # the end of a drain: until then clients are kept, as they may have nowhere else to go
DRAIN_STEP_S = 0.02


@dataclass(frozen=True, slots=True)
class ClientOptions:
    """How clients are treated; spans in seconds. `in_service` makes that of the program in service."""

    max_head_bytes: int
    max_body_bytes: int
    head_timeout_s: float
    first_request_timeout_s: float  # a connection that has brought nothing yet is kept so long
    idle_timeout_s: float
    min_body_rate: float
    max_buffered_body: int
    streams_uploads: bool  # a body too long to be held goes on as it comes; else it is refused
    keep_alive_timeout_s: int  # what Keep-Alive tells clients; 0: nothing
    discards_late_input: bool  # what crosses our end between requests is read and dropped; else left unread
    sweep_s: float
    unacked_timeout_ms: int  # as upstream.UpstreamOptions's
    closes_at_stop: bool  # each answer closes its connection from the stop on
    accept_after_stop_s: float
    closing_phase_s: float
    drain_step_s: float


def in_service() -> ClientOptions:
    """How the program in service treats its clients."""
    return ClientOptions(
        max_head_bytes=MAX_HEAD,
        max_body_bytes=MAX_BODY,
        head_timeout_s=READ_S,
        first_request_timeout_s=READ_S,
        idle_timeout_s=IDLE_S,
        min_body_rate=BODY_RATE,
        max_buffered_body=HELD_EACH,
        streams_uploads=True,
        keep_alive_timeout_s=0,
        discards_late_input=True,
        sweep_s=SWEEP_S,
        unacked_timeout_ms=0,
        closes_at_stop=False,
        accept_after_stop_s=ACCEPT_AFTER_STOP_S,
        closing_phase_s=LAST_CALL_S,
        drain_step_s=DRAIN_STEP_S,
    )
