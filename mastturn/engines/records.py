"""What became of each request, as its client saw it. Spans in seconds from the first try."""

from __future__ import annotations

from dataclasses import dataclass

from mastturn.engines.demand import Asked


@dataclass(slots=True)
class Record:
    """One request of a client, over all its tries."""

    asked: Asked
    first: float | None = None  # until the first piece
    again_first: float | None = None  # the same, from the try that was served
    pause: float = 0.0  # the longest between two pieces
    refused: float | None = None  # until its first refusal
    refusals: int = 0
    whole: bool = False
    end: str = "open"
    at_work: bool = False  # an engine was offered it
    last: float = 0.0
    tries: int = 0
    pieces: int = 0
