"""The control primary as balancers see it: the upstream list, phase orders and control outages."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any

from config.configuration import Upstream
from control.phase_controller import CONTROL_INTERVAL_S, PhaseController
from dissemination.follower import STALE_AFTER_S
from mastturn.engines.balancer import ControlPrimary, Node
from mastturn.engines.engine import Engine
from mastturn.engines.wire import Network

LIST_INTERVAL_S = 1.0  # polling interval of the platform's list
LEASE_S = 3.0
SERVICE = "llm"


class Platform:
    """The platform's list of upstreams, shown with a lag."""

    def __init__(self, lag_s: float) -> None:
        self._lag = lag_s
        self._now: dict[str, dict[str, Any]] = {}
        self._visible: list[tuple[float, dict[str, dict[str, Any]]]] = []
        self.calls = 0

    def put(self, engine: Engine, upstream_id: str, capacity: int, state: str = "up") -> None:
        """Add or update the entry of an upstream."""
        entry = {
            "id": upstream_id,
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
        self._now = {**self._now, upstream_id: entry}
        self._record_change()

    def remove(self, upstream_id: str) -> None:
        """Remove an upstream."""
        self._now = {k: v for k, v in self._now.items() if k != upstream_id}
        self._record_change()

    def _record_change(self) -> None:
        self._visible.append((asyncio.get_running_loop().time() + self._lag, self._now))

    def read(self) -> list[dict[str, Any]]:
        """Return the list as of `lag_s` ago; counts the call."""
        self.calls += 1
        now = asyncio.get_running_loop().time()
        visible = [i for i, (at, _) in enumerate(self._visible) if at <= now]
        if visible:
            del self._visible[: visible[-1]]
        return list(self._visible[0][1].values()) if visible else []


class Control:
    """The control primary: distributes the list and runs the product's phase controller."""

    def __init__(
        self, primary: ControlPrimary, platform: Platform, network: Network, nodes: Sequence[Node]
    ) -> None:
        self._primary, self._platform, self._network, self._nodes = primary, platform, network, nodes
        self.entries: tuple[Upstream, ...] = ()  # as last distributed
        self._distributed: list[dict[str, Any]] = []
        self._last_read: list[dict[str, Any]] = []
        self._silent_until = 0.0
        self._phase_controller = PhaseController(
            "core",
            LEASE_S,
            self._confirm_epoch,
            lambda: self._primary.loaded_by,
            self._distribute_list,
            lambda epoch: None,
        )

    def start(self) -> None:
        """Become leader and start polling the list and ticking the phase controller."""
        self._phase_controller.set_leading(True, asyncio.get_running_loop().time())
        self._read_list()
        self._tick()

    def _read_list(self) -> None:
        self._last_read = self._platform.read()
        self._distribute_list()
        asyncio.get_running_loop().call_later(LIST_INTERVAL_S, self._read_list)

    def _distribute_list(self) -> None:
        loop = asyncio.get_running_loop()
        marked = self._phase_controller.mark_moving(self._last_read, loop.time())
        if marked == self._distributed or loop.time() < self._silent_until:
            return
        self._distributed = marked
        entries = tuple(
            Upstream(
                entry["id"],
                entry["svc"],
                entry["addr"],
                entry["zone"],
                state=entry["state"],
                phase=entry["phase"],
                capacity=entry["capacity"],
            )
            for entry in marked
        )
        self.entries = entries
        self._phase_controller._entries = entries
        for node in self._nodes:
            loop.call_later(
                self._network.one_way_s(self._primary.zone, node.zone), node.list_upstreams, entries
            )

    def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        self._phase_controller.tick(loop.time())
        loop.call_later(CONTROL_INTERVAL_S, self._tick)

    async def _confirm_epoch(self) -> int:
        return 1

    def silence(self, for_s: float) -> None:
        """Send nothing to balancers for `for_s` seconds, as while another node takes over."""
        loop = asyncio.get_running_loop()
        self._silent_until = max(self._silent_until, loop.time() + for_s)
        self._primary.silent_until = self._silent_until
        self._phase_controller.set_leading(False, loop.time())
        loop.call_later(for_s, self._lead_again)
        if for_s >= STALE_AFTER_S:
            loop.call_later(STALE_AFTER_S, self._clear_loads)

    def _lead_again(self) -> None:
        now = asyncio.get_running_loop().time()
        if now >= self._silent_until:
            self._phase_controller.set_leading(True, now)
            self._distribute_list()

    def _clear_loads(self) -> None:
        for node in self._nodes:
            node.clear_loads()
