"""The state of a search as a value, the bounds within which it may change, and a table of large values."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Any, TypeVar

from consensus.primary import Command, Get, Put

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Bounds:
    """How much may happen in one history."""

    machines: int = 3
    losses: int = 1
    writes: int = 2  # that race on the first version
    chained: int = 0  # further ones, each on top of the one before; the first is on top of the first write
    same_number: bool = False  # the writes that race have one number
    reads: int = 0
    tries: int = 2  # of each command
    campaigns: int = 2  # for the same members
    changes: int = 0  # campaigns of a leader that change the members
    crashes: int = 1
    wipes: int = 0
    joins: int = 0
    newcomers: int = 0  # machines with empty disks beside the members
    stops: int = 0  # processes that are told to stop; one that may end is gone for good
    leavers: tuple[int, ...] = ()  # who may be told to stop, if not all
    losses_for_good: int = 0  # machines that go, with their disks, at any moment
    victims: tuple[int, ...] = ()  # who may crash, if not all; a machine's number
    reduced: bool = True  # states that can only become the same are one
    before: tuple[str, ...] = ()  # actions that have happened already, by their names


@dataclass(frozen=True, slots=True)
class RemainingBudget:
    """How much may still happen."""

    campaigns: int
    changes: int
    crashes: int
    wipes: int
    joins: int
    stops: int
    losses_for_good: int


@dataclass(frozen=True, slots=True)
class State:
    """All of it as a value; what is large stands as its number in the explorer's table."""

    processes: tuple[int, ...]
    kept: tuple[int, ...]  # on the disks
    queues: tuple[tuple[int, ...], ...]  # of the disks: a record and what is sent after its sync
    sent: int  # which messages were ever sent, by bit
    remaining: RemainingBudget
    tries: tuple[int, ...]  # left, of each command
    asked: tuple[tuple[int, int, int], ...]  # token, command, floor
    rules_snapshot: int  # of the rules
    gone: tuple[int, ...] = ()  # machines that went for good


def initial_budget(bounds: Bounds) -> RemainingBudget:
    """All that may happen."""
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
    """The machines that may crash."""
    return bounds.victims or tuple(range(bounds.machines))


def commands_of(bounds: Bounds) -> list[Command]:
    """What operators ask: changes that race on the first version, changes in a chain, reads."""
    found: list[Command] = []
    for i in range(min(bounds.writes, 2)):
        ver = 1 if bounds.same_number else 1 + i
        found.append(Put(0, 0, ver, f"w{i}", f"w{i}".encode()))
    for i in range(bounds.chained):
        found.append(Put(0, 1 + i, 2 + i, f"c{i}", f"c{i}".encode()))
    return found + [Get(0)] * bounds.reads


class Values:
    """Values by number: what is large stands in a state as its number here."""

    def __init__(self) -> None:
        self._values: list[Any] = []
        self._numbers: dict[Hashable, int] = {}

    def number(self, value: Hashable) -> int:
        """The number of a value."""
        number = self._numbers.get(value)
        if number is None:
            number = self._numbers[value] = len(self._values)
            self._values.append(value)
        return number

    def __getitem__(self, number: int) -> Any:
        return self._values[number]


def replace_at(values: tuple[T, ...], index: int, value: T) -> tuple[T, ...]:
    """The same with another value at one place."""
    return (*values[:index], value, *values[index + 1 :])
