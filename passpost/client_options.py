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

    max_head: int
    max_body: int
    read_s: float
    first_s: float  # a connection that has brought nothing yet is kept so long
    idle_s: float
    body_rate: float
    held_each: int
    uploads: bool  # a body too long to be held goes on as it comes; else it is refused
    told_idle_s: int  # what Keep-Alive tells clients; 0: nothing
    reads_past_end: bool  # what crosses our end between requests is read and dropped; else left unread
    sweep_s: float
    dark_ms: int  # as upstream.UpstreamOptions's
    closes_at_stop: bool  # each answer closes its connection from the stop on
    accept_after_stop_s: float
    last_call_s: float
    drain_step_s: float


def in_service() -> ClientOptions:
    """How the program in service treats its clients."""
    return ClientOptions(
        max_head=MAX_HEAD,
        max_body=MAX_BODY,
        read_s=READ_S,
        first_s=READ_S,
        idle_s=IDLE_S,
        body_rate=BODY_RATE,
        held_each=HELD_EACH,
        uploads=True,
        told_idle_s=0,
        reads_past_end=True,
        sweep_s=SWEEP_S,
        dark_ms=0,
        closes_at_stop=False,
        accept_after_stop_s=ACCEPT_AFTER_STOP_S,
        last_call_s=LAST_CALL_S,
        drain_step_s=DRAIN_STEP_S,
    )
