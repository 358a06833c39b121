"""Outcome of each request as its client saw it. Durations are in seconds, from the first attempt."""

from __future__ import annotations

from dataclasses import dataclass

from mastturn.engines.demand import ClientRequest


@dataclass(slots=True)
class Record:
    """A request of a client, over all its attempts."""

    client_request: ClientRequest
    first_event_s: float | None = None  # time to the first event
    retry_first_event_s: float | None = None  # the same, from the start of the attempt that was served
    longest_pause_s: float = 0.0  # longest gap between two events
    refused: float | None = None  # time to the first refusal
    refusals: int = 0
    is_complete: bool = False
    end: str = "open"
    at_work: bool = False  # sent to an engine
    closed_after_s: float = 0.0
    tries: int = 0
    pieces: int = 0
