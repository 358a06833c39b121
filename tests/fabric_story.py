"""Runs a simulated fleet step by step, for the behave features."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import behave  # type: ignore[import-untyped]

from tests.fabric import Loop
from tests.fabric_world import World, clean_up, patched_environment, set_up

T = TypeVar("T")
Step = TypeVar("Step", bound=Callable[..., None])
given: Callable[[str], Callable[[Step], Step]] = behave.given
when: Callable[[str], Callable[[Step], Step]] = behave.when
then: Callable[[str], Callable[[Step], Step]] = behave.then


class ScenarioRunner:
    """One fleet; simulated time passes only while a step runs."""

    def __init__(self) -> None:
        self._loop = Loop()
        self._patches = contextlib.ExitStack()
        self.world = World(self._loop)
        self._patches.enter_context(patched_environment(1, self.world.transcript.log))

    def begin(self, cores: int, edges: int, zones: int) -> None:
        """Start a fleet."""
        set_up(self.world, cores, edges, zones)

        async def start() -> None:
            self.world.boot(*self.world.machines)
            self.world.is_first = False

        self.play(start())

    def play(self, step: Coroutine[Any, Any, T]) -> T:
        """Run a step to its end."""
        return self._loop.run_until_complete(step)

    def end(self) -> None:
        """Stop everything; raises AssertionError for uncaught exceptions."""
        try:
            clean_up(self.world)
        finally:
            self._patches.close()
        assert not self._loop.faults, self._loop.faults
