"""The immutable state of a search, its bounds, and an interning table for large values."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Any, TypeVar

from consensus.primary import Command, Get, Put

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Bounds:
    """The maximum number of each kind of event in one history."""

    machines: int = 3
    losses: int = 1
    writes: int = 2  # concurrent writes on the first version
    chained: int = 0  # further writes, each based on the previous one; the first on the first write
    same_number: bool = False  # the concurrent writes have the same version number
    reads: int = 0
    tries: int = 2  # attempts per command
    campaigns: int = 2  # for the same members
    changes: int = 0  # campaigns of a leader that change the members
    crashes: int = 1
    wipes: int = 0
    joins: int = 0
    newcomers: int = 0  # machines with empty disks in addition to the members
    stops: int = 0  # processes asked to stop; once one may end it is gone for good
    leavers: tuple[int, ...] = ()  # machines that may be asked to stop; empty: all
    losses_for_good: int = 0  # machines lost with their disks at any time
    victims: tuple[int, ...] = ()  # indices of machines that may crash; empty: all
    reduced: bool = True  # merge states that are equivalent in all continuations
    before: tuple[str, ...] = ()  # actions applied before the search starts


@dataclass(frozen=True, slots=True)
class RemainingBudget:
    """The remaining number of each kind of event."""

    campaigns: int
    changes: int
    crashes: int
    wipes: int
    joins: int
    stops: int
    losses_for_good: int


@dataclass(frozen=True, slots=True)
class State:
    """An immutable state; large values are stored as their numbers in `Values`."""

    processes: tuple[int, ...]
    kept: tuple[int, ...]  # durable states
    queues: tuple[tuple[int, ...], ...]  # per disk: records with the messages sent after their sync
    sent: int  # bit mask of all messages ever sent
    remaining: RemainingBudget
    tries: tuple[int, ...]  # remaining attempts per command
    asked: tuple[tuple[int, int, int], ...]  # token, command, floor
    rules_snapshot: int  # snapshot of the rules
    gone: tuple[int, ...] = ()  # machines lost for good


def initial_budget(bounds: Bounds) -> RemainingBudget:
    """Returns the full budget of events."""
    return RemainingBudget(
        bounds.campaigns,
        bounds.changes,
        bounds.crashes,
        bounds.wipes,
        bounds.joins,
        bounds.stops,
        bounds.losses_for_good,
    )


def victims_of(bounds: Bounds) -> tuple[int, ...]:
    """Returns the machines that may crash."""
    return bounds.victims or tuple(range(bounds.machines))


def commands_of(bounds: Bounds) -> list[Command]:
    """Returns the operators' commands: concurrent changes on the first version, chained changes, reads."""
    found: list[Command] = []
    for i in range(min(bounds.writes, 2)):
        ver = 1 if bounds.same_number else 1 + i
        found.append(Put(0, 0, ver, f"w{i}", f"w{i}".encode()))
    for i in range(bounds.chained):
        found.append(Put(0, 1 + i, 2 + i, f"c{i}", f"c{i}".encode()))
    return found + [Get(0)] * bounds.reads


class Values:
    """Interns large values, which states refer to by number."""

    def __init__(self) -> None:
        self._values: list[Any] = []
        self._numbers: dict[Hashable, int] = {}

    def number(self, value: Hashable) -> int:
        """Returns the number of a value, adding it if new."""
        number = self._numbers.get(value)
        if number is None:
            number = self._numbers[value] = len(self._values)
            self._values.append(value)
        return number

    def __getitem__(self, number: int) -> Any:
        return self._values[number]


def replace_at(values: tuple[T, ...], index: int, value: T) -> tuple[T, ...]:
    """Returns the tuple with the value at `index` replaced."""
    return (*values[:index], value, *values[index + 1 :])
