"""The ways in which an upstream's answer goes wrong, and the lot that decides for each request."""

from __future__ import annotations

import enum
import functools
import random
from dataclasses import dataclass


class Fault(enum.Enum):
    """What is wrong with an answer. Bytes are counted over its head and body as framed."""

    GOOD = "good"
    PAUSES = "pauses"  # whole, in pieces with pauses
    UNFRAMED = "unframed"  # whole, with neither length nor chunks: it ends with its connection
    REJECTED = "rejected"  # 503: not run
    ERROR = "error"  # the upstream's own 500
    FIN = "cut by a FIN"  # of an answer with a length or chunks
    RESET = "cut by a reset"
    UNFRAMED_RESET = "unframed, cut by a reset"
    DEATH = "unframed, cut as its upstream dies"  # whose connections the kernel closes
    SILENCE = "silence"  # nothing more comes
    LENGTH_TOO_LONG = "length too long"  # more is promised than comes; then a FIN
    LENGTH_TOO_SHORT = "length too short"  # surplus bytes come behind what was promised
    NO_LAST_CHUNK = "no last chunk"  # the chunks have no end; then a FIN
    GARBAGE = "bytes behind it"  # right behind the whole answer
    TWICE = "twice at once"
    TWICE_LATE = "again later"  # with its own id
    STALE_ERROR_LATE = "an error without id later"
    AGAIN_AND_CLOSED = "again later, and closed"  # and what was sent meanwhile is never read
    HALF_LATE = "half an answer later"  # the rest comes later still
    CLOSED_LATE = "closed later"  # the answer is whole; its connection ends unannounced, maybe amid a request
    RESET_LATE = "reset later"
    NO_ANSWER = "bytes that are no answer"
    EARLY = "early rejection"  # before the body was read


HARMLESS = frozenset(
    {Fault.GOOD, Fault.PAUSES, Fault.UNFRAMED}
)  # the answer is whole, and nothing else comes
SURPLUS = frozenset(  # the answer is whole, and something comes behind it
    {
        Fault.GARBAGE,
        Fault.TWICE,
        Fault.TWICE_LATE,
        Fault.STALE_ERROR_LATE,
        Fault.AGAIN_AND_CLOSED,
        Fault.HALF_LATE,
    }
)
ENDED_LATE = frozenset({Fault.CLOSED_LATE, Fault.RESET_LATE})  # the answer is whole, its connection is not
SOUND = HARMLESS | SURPLUS | ENDED_LATE  # the answer is there for whoever reads on
REJECTING = frozenset({Fault.REJECTED, Fault.EARLY})
LATE_S = (0.001, 2.0)  # of what comes later
SOON_S = 0.05  # half of what comes later comes within this
PAUSE_S = 0.15  # the longest pause between two pieces
GOOD_SHARE = 0.6
DEATH_WEIGHT = 0.15  # against 1 for any other fault: it takes the upstream's other answers along
_FAULTS = tuple(fault for fault in Fault if fault is not Fault.GOOD)
_WEIGHTS = tuple(DEATH_WEIGHT if fault is Fault.DEATH else 1.0 for fault in _FAULTS)


@dataclass(frozen=True, slots=True)
class Lot:
    """What becomes of one answer. `share`: of its bytes, before a cut; `late_s`: until what comes later."""

    fault: Fault
    share: float = 1.0
    late_s: float = 0.0
    pieces: int = 1
    length: int = 0  # bytes of padding in a whole answer, or events of a stream


def are_there(only: str) -> bool:
    """Whether some faults' names hold this."""
    return any(only in fault.value for fault in _FAULTS)


def draw(seed: int, request: str, arrival: int, only: str = "") -> Lot:
    """The lot of a request's answer; alike for the same seed, request and number of its arrival.

    `only`: of the faults, those whose names hold this.
    """
    dice = random.Random(f"{seed}/{request}/{arrival}")
    fault = Fault.GOOD if dice.random() < GOOD_SHARE else dice.choices(*_held(only))[0]
    return Lot(
        fault,
        share=dice.random(),
        late_s=dice.uniform(*LATE_S) if dice.random() < 0.5 else dice.uniform(LATE_S[0], SOON_S),
        pieces=dice.randint(2, 6) if fault is Fault.PAUSES else 1,
        length=dice.choice((0, 1, 40, 700, 5_000, 70_000)),
    )


@functools.cache
def _held(only: str) -> tuple[tuple[Fault, ...], tuple[float, ...]]:
    """The faults whose names hold this, and their weights."""
    held = [(f, w) for f, w in zip(_FAULTS, _WEIGHTS, strict=True) if only in f.value]
    return tuple(f for f, _ in held), tuple(w for _, w in held)
