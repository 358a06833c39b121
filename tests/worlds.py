"""Helpers that build small simulations for the emulator's tests."""

from __future__ import annotations

from typing import Any

import msgspec

from mastturn.emulator.contract import Truth, Version, installed
from mastturn.emulator.day import Day, Fleet, draw
from mastturn.emulator.record import DayResult
from mastturn.emulator.site import Site
from mastturn.emulator.troubles import Trouble
from mastturn.emulator.world import World
from mastturn.lab.scenario import read_site
from umberworks import interface

FLEET = Fleet(2, 4, 0.4, 4.0, 8_000.0, 0.1)


def a_day(seed: int = 1, fleet: Fleet = FLEET, **site: Any) -> Day:
    values = msgspec.structs.asdict(read_site("midlands-main"))
    return draw(Site(**(values | site)), fleet, seed)


def played(
    *troubles: Trouble, seed: int = 1, version: Version | None = None, fleet: Fleet = FLEET
) -> DayResult:
    return World(a_day(seed, fleet), troubles, version or installed()).play()


class Scripted:
    """A module that sends every request to one server at once; subclasses violate the contract."""

    def __init__(self, settings: Any, seed: int, truth: Truth) -> None:
        self.first = ""

    def handle(self, event: Any, now: float) -> list[Any]:
        if isinstance(event, interface.ListUpdate) and event.members and not self.first:
            self.first = event.members[0].server
            return [interface.Subscribe()]
        if isinstance(event, interface.RequestArrived):
            return self.arrived(event, now)
        if isinstance(event, interface.AttemptEnded) and not event.answered:
            return [interface.Fail(event.request)]
        return []

    def arrived(self, event: interface.RequestArrived, now: float) -> list[Any]:
        return [interface.Send(event.request, self.first, event.remaining_ms)]


def version(kind: type[Scripted]) -> Version:
    return Version("scripted", interface, kind)
