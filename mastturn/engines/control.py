"""The control state as the fleet feels it: the list, who plays which part, and times without a word."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any

from config.configuration import Upstream
from control.phase_controller import CONTROL_INTERVAL_S, PhaseController
from dissemination.follower import STALE_AFTER_S
from mastturn.engines.balancer import Node, Root
from mastturn.engines.engine import Engine
from mastturn.engines.upstreams import Network

LIST_S = 1.0  # between two readings of the platform's list
LEASE_S = 3.0
SERVICE = "llm"


class Platform:
    """The list of upstreams, which is late."""

    def __init__(self, lag_s: float) -> None:
        self._lag = lag_s
        self._now: dict[str, dict[str, Any]] = {}
        self._shown: list[tuple[float, dict[str, dict[str, Any]]]] = []
        self.calls = 0

    def put(self, engine: Engine, ident: str, capacity: int, state: str = "up") -> None:
        """An upstream is so from now on."""
        entry = {
            "id": ident,
            "svc": SERVICE,
            "addr": engine.address,
            "zone": engine.zone,
            "state": state,
            "phase": engine.phase,
            "capacity": capacity,
            "ver": "v1",
            "cold_left_ms": 0,
            "models": [{"name": "m", "ver": 1, "loras": []}],
        }
        self._now = {**self._now, ident: entry}
        self._note()

    def drop(self, ident: str) -> None:
        """An upstream has left it."""
        self._now = {k: v for k, v in self._now.items() if k != ident}
        self._note()

    def _note(self) -> None:
        self._shown.append((asyncio.get_running_loop().time() + self._lag, self._now))

    def read(self) -> list[dict[str, Any]]:
        """The list as it is shown now."""
        self.calls += 1
        now = asyncio.get_running_loop().time()
        seen = [i for i, (at, _) in enumerate(self._shown) if at <= now]
        if seen:
            del self._shown[: seen[-1]]
        return list(self._shown[0][1].values()) if seen else []


class Control:
    """The primary's duties, with the fleet's own mover of parts."""

    def __init__(self, root: Root, platform: Platform, network: Network, nodes: Sequence[Node]) -> None:
        self._root, self._platform, self._network, self._nodes = root, platform, network, nodes
        self.entries: tuple[Upstream, ...] = ()  # as they were told last
        self._told: list[dict[str, Any]] = []
        self._read: list[dict[str, Any]] = []
        self._silent_until = 0.0
        self._phase_controller = PhaseController(
            "core", LEASE_S, self._prove, lambda: self._root.loaded_by, self._list, lambda epoch: None
        )

    def start(self) -> None:
        """Lead, read the list and look after the parts from now on."""
        self._phase_controller.set_leading(True, asyncio.get_running_loop().time())
        self._read_list()
        self._look()

    def _read_list(self) -> None:
        self._read = self._platform.read()
        self._list()
        asyncio.get_running_loop().call_later(LIST_S, self._read_list)

    def _list(self) -> None:
        loop = asyncio.get_running_loop()
        shown = self._phase_controller.mark_moving(self._read, loop.time())
        if shown == self._told or loop.time() < self._silent_until:
            return
        self._told = shown
        entries = tuple(
            Upstream(
                e["id"],
                e["svc"],
                e["addr"],
                e["zone"],
                state=e["state"],
                phase=e["phase"],
                capacity=e["capacity"],
            )
            for e in shown
        )
        self.entries = entries
        self._phase_controller._entries = entries
        for node in self._nodes:
            loop.call_later(self._network.way(self._root.zone, node.zone), node.list_upstreams, entries)

    def _look(self) -> None:
        loop = asyncio.get_running_loop()
        self._phase_controller.tick(loop.time())
        loop.call_later(CONTROL_INTERVAL_S, self._look)

    async def _prove(self) -> int:
        return 1

    def silence(self, for_s: float) -> None:
        """The control state tells nothing for a while: another takes over."""
        loop = asyncio.get_running_loop()
        self._silent_until = max(self._silent_until, loop.time() + for_s)
        self._root.silent_until = self._silent_until
        self._phase_controller.set_leading(False, loop.time())
        loop.call_later(for_s, self._lead_again)
        if for_s >= STALE_AFTER_S:
            loop.call_later(STALE_AFTER_S, self._forget_loads)

    def _lead_again(self) -> None:
        now = asyncio.get_running_loop().time()
        if now >= self._silent_until:
            self._phase_controller.set_leading(True, now)
            self._list()

    def _forget_loads(self) -> None:
        for node in self._nodes:
            node.forget_loads()
