"""Records a simulated day: one sample per second, and the result at its end."""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from mastturn.emulator.day import Day
from mastturn.emulator.events import START_MS, Events
from mastturn.emulator.host import Balancer
from mastturn.emulator.judge import Judge, Score, parts
from mastturn.emulator.machine import Box

SAMPLE_MS = 1_000.0
Mark = tuple[str, float, float]  # a trouble's name, start and end in ms from the day's start


@dataclass(frozen=True, slots=True)
class Sample:
    """State sampled once per second for plots: attempts in flight per tier, core utilization per box."""

    at_ms: float
    in_flight: tuple[int, ...]
    util: tuple[float, ...]  # in the order of `DayResult.box_names`


@dataclass(frozen=True, slots=True)
class DayResult:
    """The result of a simulated day."""

    day: Day
    judge: Judge
    parts: Score
    digest: str
    events: int
    samples: tuple[Sample, ...]
    box_names: tuple[str, ...]
    marks: tuple[Mark, ...]
    choked_share: float
    fallen: int
    fault: str | None


class Recorder:
    """Samples the fleet during a day and builds its result."""

    def __init__(
        self,
        events: Events,
        boxes: Mapping[str, Box],
        balancers: Sequence[Sequence[Balancer]],
        marks: list[Mark],
    ) -> None:
        """`marks`: the troubles of the day; entries may be added later."""
        self._events, self._boxes, self._balancers, self._marks = events, boxes, balancers, marks
        self._samples: list[Sample] = []
        self._busy: list[float] = []  # core ms of each box at the last sample

    def begin(self) -> None:
        """Start sampling."""
        self._busy = [0.0] * len(self._boxes)
        self._events.after(SAMPLE_MS, self._sample)

    def _sample(self, _: Any) -> None:
        boxes = list(self._boxes.values())
        self._busy += [0.0] * (len(boxes) - len(self._busy))
        util = []
        for i, box in enumerate(boxes):
            box.update_rate()
            util.append((box.busy_core_ms - self._busy[i]) / (SAMPLE_MS * box.parameters.cores))
            self._busy[i] = box.busy_core_ms
        in_flight = tuple(sum(h.in_flight for h in balancers) for balancers in self._balancers)
        self._samples.append(Sample(self._events.now - START_MS, in_flight, tuple(util)))
        self._events.after(SAMPLE_MS, self._sample)

    def played(self, day: Day, judge: Judge, fallen: int, fault: str | None) -> DayResult:
        """Return the result of the day."""
        boxes = list(self._boxes.values())
        for box in boxes:
            box.update_rate()
        choked = sum(box.choke.was_choked for box in boxes) / len(boxes)
        judged = parts(day, judge, sum(b.work_done_ms for b in boxes), choked)
        if fault is not None:
            judged = Score(
                0.0, judged.whole, judged.worst_window, judged.worst_class, judged.worst_tenant, judged.prices
            )
        marks = tuple((name, start - START_MS, end - START_MS) for name, start, end in self._marks)
        return DayResult(
            day,
            judge,
            judged,
            _digest(judge),
            self._events.handled,
            tuple(self._samples),
            tuple(self._boxes),
            marks,
            choked,
            fallen,
            fault,
        )


def _digest(judge: Judge) -> str:
    """Return a digest of all request outcomes and times, equal only for identical days."""
    digest = hashlib.sha256()
    for client_request in judge.client_requests:
        digest.update(
            struct.pack(
                "<qqddd",
                client_request.number,
                client_request.tries,
                client_request.arrived_ms,
                client_request.served_ms,
                client_request.ended_ms,
            )
        )
    digest.update(struct.pack(f"<{len(judge.sends)}q", *judge.sends))
    return digest.hexdigest()[:32]
