"""Faults of upstream responses, drawn at random for each request."""

from __future__ import annotations

import enum
import functools
import random
from dataclasses import dataclass


class Fault(enum.Enum):
    """A fault of a response. Sizes count its head and its framed body."""

    GOOD = "good"
    PAUSES = "pauses"  # complete, in pieces with pauses
    UNFRAMED = "unframed"  # complete, with neither length nor chunks: it ends with its connection
    REJECTED = "rejected"  # 503: not run
    ERROR = "error"  # the upstream's own 500
    FIN = "cut by a FIN"  # of a response with a length or chunks
    RESET = "cut by a reset"
    UNFRAMED_RESET = "unframed, cut by a reset"
    DEATH = "unframed, cut as its upstream dies"  # the kernel closes the connections of the process
    SILENCE = "silence"  # nothing more is sent
    LENGTH_TOO_LONG = "length too long"  # fewer bytes are sent than declared; then a FIN
    LENGTH_TOO_SHORT = "length too short"  # surplus bytes follow the declared length
    NO_LAST_CHUNK = "no last chunk"  # the last chunk is missing; then a FIN
    GARBAGE = "bytes behind it"  # surplus bytes directly after the complete response
    TWICE = "twice at once"
    TWICE_LATE = "again later"  # with its own request id
    STALE_ERROR_LATE = "an error without id later"
    AGAIN_AND_CLOSED = "again later, and closed"  # and what is sent meanwhile is never read
    HALF_LATE = "half an answer later"  # the rest follows later still
    CLOSED_LATE = "closed later"  # complete; the connection closes unannounced, maybe during a request
    RESET_LATE = "reset later"
    NO_ANSWER = "bytes that are no answer"
    EARLY = "early rejection"  # before the request body was read


# The response is complete, and nothing follows it.
HARMLESS = frozenset({Fault.GOOD, Fault.PAUSES, Fault.UNFRAMED})
SURPLUS = frozenset(  # the response is complete, and something follows it
    {
        Fault.GARBAGE,
        Fault.TWICE,
        Fault.TWICE_LATE,
        Fault.STALE_ERROR_LATE,
        Fault.AGAIN_AND_CLOSED,
        Fault.HALF_LATE,
    }
)
ENDED_LATE = frozenset({Fault.CLOSED_LATE, Fault.RESET_LATE})  # the response is complete, its connection ends
SOUND = HARMLESS | SURPLUS | ENDED_LATE  # the response can be read completely
REJECTING = frozenset({Fault.REJECTED, Fault.EARLY})
LATE_S = (0.001, 2.0)  # range of the delay of late bytes and ends
SOON_S = 0.05  # half of the delays are below this
PAUSE_S = 0.15  # longest pause between two pieces
GOOD_SHARE = 0.6
DEATH_WEIGHT = 0.15  # relative to 1 for other faults: it also breaks the upstream's other responses
_FAULTS = tuple(fault for fault in Fault if fault is not Fault.GOOD)
_WEIGHTS = tuple(DEATH_WEIGHT if fault is Fault.DEATH else 1.0 for fault in _FAULTS)


@dataclass(frozen=True, slots=True)
class FaultDraw:
    """The fault of one response. `share`: of its bytes, sent before a cut; `late_s`: delay of late bytes."""

    fault: Fault
    share: float = 1.0
    late_s: float = 0.0
    pieces: int = 1
    length: int = 0  # bytes of the body, unless it is a stream


def has_fault_named(only: str) -> bool:
    """Return whether any fault's name contains this."""
    return any(only in fault.value for fault in _FAULTS)


def draw(seed: int, request_id: str, arrival: int, only: str = "") -> FaultDraw:
    """Return the fault of a response; the same for equal seed, request id and arrival number.

    `only`: limits the faults to those whose names contain this.
    """
    rng = random.Random(f"{seed}/{request_id}/{arrival}")
    fault = Fault.GOOD if rng.random() < GOOD_SHARE else rng.choices(*_matching_faults(only))[0]
    return FaultDraw(
        fault,
        share=rng.random(),
        late_s=rng.uniform(*LATE_S) if rng.random() < 0.5 else rng.uniform(LATE_S[0], SOON_S),
        pieces=rng.randint(2, 6) if fault is Fault.PAUSES else 1,
        length=rng.choice((0, 1, 40, 700, 5_000, 70_000)),
    )


@functools.cache
def _matching_faults(only: str) -> tuple[tuple[Fault, ...], tuple[float, ...]]:
    """Return the faults whose names contain this, and their weights."""
    matching = [(f, w) for f, w in zip(_FAULTS, _WEIGHTS, strict=True) if only in f.value]
    return tuple(f for f, _ in matching), tuple(w for _, w in matching)
