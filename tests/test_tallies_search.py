"""An exhaustive search over a model: three machines, an add, a partition that heals, a crash and a lost disk.

The model covers the guarantees of `tallies.replica`, not its code. A machine accepts and pushes an add,
syncs, confirms a push, acknowledges, is compared with another, stops, starts or loses its disk. An add
acknowledged with another copy must survive the loss of any one disk; an add acknowledged by an isolated
machine must survive the loss of any other disk.

One add is enough: sets are merged id by id, and what a sync writes of one id doesn't depend on others, so a
history of two ids that breaks a guarantee contains one of a single id that does. All machines are alike, so
the first one accepts the add.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

import pytest

IDS = (1,)  # Bits of a set of ids.
MACHINES = range(3)
PAIRS = ((0, 1), (0, 2), (1, 2))
ADDS = 1


@dataclass(frozen=True, slots=True)
class State:
    """Sets of ids are bit masks; tuples are indexed by machine."""

    memory: tuple[int, ...] = (0, 0, 0)
    disk: tuple[int, ...] = (0, 0, 0)
    up: tuple[bool, ...] = (True, True, True)
    # Bit mask of machines to compare with before this one answers.
    to_compare: tuple[int, ...] = (0, 0, 0)
    pushes: frozenset[tuple[int, int, int]] = frozenset()  # From, to, id: in transit.
    # By, to, id: received, to be confirmed once synced.
    due_acks: frozenset[tuple[int, int, int]] = frozenset()
    acks_in_flight: frozenset[tuple[int, int, int]] = frozenset()  # By, to, id: confirmations in transit.
    received_acks: frozenset[tuple[int, int, int]] = frozenset()  # By, to, id: received confirmations.
    unacknowledged: frozenset[tuple[int, int]] = frozenset()  # Machine, id: not acknowledged yet.
    acked_safely: int = 0  # Acknowledged with a copy elsewhere.
    acked_isolated: tuple[int, ...] = (0, 0, 0)  # Acknowledged while no other machine was reachable.
    acked_since_start: tuple[int, ...] = (0, 0, 0)  # Acknowledged since the last start.
    # The two machines that cannot reach each other; cutting one pair is enough.
    cut: tuple[int, int] | None = None
    adds: int = 3
    cuts: int = 1
    crashes: int = 1
    wipes: int = 1


def put(values: tuple[int, ...], at: int, value: int) -> tuple[int, ...]:
    return (*values[:at], value, *values[at + 1 :])


class Model:
    """The transitions of the model."""

    def __init__(self, copies: int = 2, syncs: bool = True, waits: bool = True, dedupes: bool = True) -> None:
        """Sets which guarantees the model implements.

        `copies`: disks per acknowledgement. `waits`: whether a restarted machine compares before it answers.
        """
        self.copies, self.syncs, self.waits, self.dedupes = copies, syncs, waits, dedupes

    def reach(self, s: State, one: int, other: int) -> bool:
        return s.up[one] and s.up[other] and (min(one, other), max(one, other)) != s.cut

    def transitions(self, s: State) -> Iterator[State]:
        yield from self._accept_adds(s)
        yield from self._deliver_messages(s)
        yield from self._acknowledge(s)
        yield from self._compare(s)
        yield from self._inject_faults(s)

    def _accept_adds(self, s: State) -> Iterator[State]:
        # All machines are alike.
        machines = MACHINES if s.memory != (0, 0, 0) or s.adds < ADDS else MACHINES[:1]
        for m in machines if s.adds else ():
            if s.up[m] and not s.to_compare[m]:
                for id_ in IDS:
                    pushes = {(m, n, id_) for n in MACHINES if n != m}
                    memory = put(s.memory, m, s.memory[m] | id_)
                    yield replace(
                        s,
                        adds=s.adds - 1,
                        memory=memory,
                        pushes=s.pushes | pushes,
                        unacknowledged=s.unacknowledged | {(m, id_)},
                    )

    def _deliver_messages(self, s: State) -> Iterator[State]:
        for push in s.pushes:
            by, to, id_ = push
            if self.reach(s, by, to):
                due_acks = s.due_acks | {(to, by, id_)}
                yield replace(
                    s,
                    pushes=s.pushes - {push},
                    memory=put(s.memory, to, s.memory[to] | id_),
                    due_acks=due_acks,
                )
        for m in MACHINES:
            if (s.up[m] and s.disk[m] != s.memory[m]) or any(o[0] == m for o in s.due_acks):
                due = frozenset(o for o in s.due_acks if o[0] == m)
                disk = put(s.disk, m, s.memory[m]) if self.syncs else s.disk
                yield replace(s, disk=disk, due_acks=s.due_acks - due, acks_in_flight=s.acks_in_flight | due)
        for ack in s.acks_in_flight:
            if self.reach(s, ack[0], ack[1]):
                yield replace(
                    s, acks_in_flight=s.acks_in_flight - {ack}, received_acks=s.received_acks | {ack}
                )

    def _acknowledge(self, s: State) -> Iterator[State]:
        for m, id_ in s.unacknowledged:
            if self.syncs and not s.disk[m] & id_:
                continue
            copies = 1 + sum((n, m, id_) in s.received_acks for n in MACHINES)
            is_isolated = not any(self.reach(s, m, n) for n in MACHINES if n != m)
            acked_since_start = put(s.acked_since_start, m, s.acked_since_start[m] | id_)
            if copies >= self.copies:
                yield replace(
                    s,
                    unacknowledged=s.unacknowledged - {(m, id_)},
                    acked_safely=s.acked_safely | id_,
                    acked_since_start=acked_since_start,
                )
            elif is_isolated:
                yield replace(
                    s,
                    unacknowledged=s.unacknowledged - {(m, id_)},
                    acked_isolated=put(s.acked_isolated, m, s.acked_isolated[m] | id_),
                    acked_since_start=acked_since_start,
                )

    def _compare(self, s: State) -> Iterator[State]:
        for one, other in PAIRS:
            if self.reach(s, one, other):
                both = s.memory[one] | s.memory[other]
                memory = put(put(s.memory, one, both), other, both)
                to_compare = put(s.to_compare, one, s.to_compare[one] & ~(1 << other))
                to_compare = put(to_compare, other, to_compare[other] & ~(1 << one))
                yield replace(s, memory=memory, to_compare=to_compare)

    def _inject_faults(self, s: State) -> Iterator[State]:
        if s.cut is not None:
            yield replace(s, cut=None)
        for pair in PAIRS if s.cuts and s.cut is None else ():
            yield replace(s, cuts=s.cuts - 1, cut=pair)
        for m in MACHINES:
            if s.up[m] and s.crashes:
                yield self._stop(replace(s, crashes=s.crashes - 1), m)
            if s.up[m] and s.wipes:
                lost = replace(
                    s, wipes=s.wipes - 1, disk=put(s.disk, m, 0), acked_isolated=put(s.acked_isolated, m, 0)
                )
                yield self._stop(lost, m)
            if not s.up[m]:
                others = sum(1 << n for n in MACHINES if n != m) if self.waits else 0
                up = (*s.up[:m], True, *s.up[m + 1 :])
                yield replace(
                    s, up=up, memory=put(s.memory, m, s.disk[m]), to_compare=put(s.to_compare, m, others)
                )

    def _stop(self, s: State, m: int) -> State:
        gone = {
            name: frozenset(item for item in getattr(s, name) if item[at] != m)
            for name, at in (("due_acks", 0), ("received_acks", 1), ("unacknowledged", 0))
        }
        up = (*s.up[:m], False, *s.up[m + 1 :])
        return replace(
            s,
            up=up,
            memory=put(s.memory, m, 0),
            acked_since_start=put(s.acked_since_start, m, 0),
            **gone,  # type: ignore[arg-type]
        )


def broken(s: State) -> str:
    """Returns which guarantee a state breaks, or an empty string."""
    held = s.disk[0] | s.disk[1] | s.disk[2]
    if s.acked_safely & ~held:
        return "acknowledged with a copy, but on no disk"
    for m in MACHINES:
        if s.acked_isolated[m] & ~held:
            return "acknowledged while isolated, but on no disk although its own was not lost"
        if s.up[m] and not s.to_compare[m] and s.acked_since_start[m] & ~s.memory[m]:
            return "a machine lacks an add that it acknowledged since its start"
        if s.up[m] and not s.to_compare[m] and s.acked_safely & ~s.memory[m] and _is_converged(s):
            return "all are compared, but a machine that answers lacks an acknowledged add"
    return ""


def _is_converged(s: State) -> bool:
    """Whether all machines are up and have the same adds."""
    return all(s.up) and s.cut is None and not any(s.to_compare) and len(set(s.memory)) == 1


def search(model: Model, adds: int, most: int) -> tuple[int, str]:
    """Returns the number of states, and the first broken guarantee."""
    first = State(adds=adds)
    seen, left = {first}, deque([first])
    while left:
        state = left.popleft()
        if found := broken(state):
            return len(seen), found
        for after in model.transitions(state):
            if after not in seen:
                seen.add(after)
                left.append(after)
        assert len(seen) < most, "the bounds are too large for an exhaustive search"
    return len(seen), ""


def test_no_order_of_events_loses_what_was_acknowledged() -> None:
    count, found = search(Model(), adds=ADDS, most=400_000)
    assert not found
    assert count > 1_000


@pytest.mark.parametrize(
    ("model", "found"),
    [
        (Model(copies=1), "acknowledged with a copy, but on no disk"),
        (Model(syncs=False), "acknowledged while isolated, but on no disk although its own was not lost"),
    ],
)
def test_defects_are_found(model: Model, found: str) -> None:
    assert search(model, adds=ADDS, most=400_000)[1] == found
