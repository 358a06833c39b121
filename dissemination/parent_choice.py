"""Chooses the processes that a balancer dials to receive updates, and the order in which it does."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable
from dataclasses import dataclass

from dissemination.latest_updates import LatestUpdates
from dissemination.messages import PresentBalancer
from dissemination.relay_tree import parent_of
from transport.endpoint import Endpoint

# A redirect sooner than this after the last one is part of a loop, while there is no leader yet.
REDIRECT_LOOP_S = 0.5
MAX_DIALS = 3  # endpoints dialled before candidates are chosen again
AVOID_S = 4.0  # a silent or unreachable process is tried last for this long


@dataclass(frozen=True, slots=True)
class Ports:
    """The ports of each kind of process, equal on all machines."""

    control: int
    balancer: int


class ParentChoice:
    """Knows the seeds, the latest redirect, the tree's relays, and who was unreachable recently."""

    def __init__(
        self,
        me: PresentBalancer,
        latest: LatestUpdates,
        ports: Ports,
        seeds: tuple[str, ...],
        rng: random.Random,
    ) -> None:
        """`seeds`: IPs of control processes."""
        self._me, self._latest, self._ports, self._random = me, latest, ports, rng
        self._seeds = self._control_endpoints(seeds)
        self._redirects: list[Endpoint] = []
        self._was_redirected, self._redirected_at = False, -1e9
        self._avoided_since: dict[Endpoint, float] = {}  # when a process was last silent or unreachable

    def set_seeds(self, ips: tuple[str, ...]) -> None:
        """Replace the seeds."""
        self._seeds = self._control_endpoints(ips)

    def _control_endpoints(self, ips: Iterable[str]) -> list[Endpoint]:
        """Return the endpoints of the control processes at these IPs."""
        return [Endpoint(ip, self._ports.control) for ip in ips]

    def redirect(self, ips: tuple[str, ...], parent: Endpoint | None) -> None:
        """Handle a redirect by the parent to control processes at these IPs, or to nobody."""
        now = asyncio.get_running_loop().time()
        self._redirects = self._control_endpoints(ips)
        self._was_redirected, self._redirected_at = now - self._redirected_at >= REDIRECT_LOOP_S, now
        if parent is not None and (not ips or self.is_relay(parent)):
            self.avoid(parent)  # it is out of date, or does not know the leader

    def suggest(self, ips: tuple[str, ...]) -> None:
        """Try control processes at these IPs next, as one that is no parent has said."""
        self._redirects = self._control_endpoints(ips)

    def follows_redirect(self) -> bool:
        """Return whether a redirect that is not part of a loop is still to be followed."""
        return bool(self._redirects) and self._was_redirected

    def candidates(self, is_fresh: bool) -> list[Endpoint]:
        """Return the endpoints to dial: the assigned relay or the known leader, then control processes.

        `is_fresh`: whether updates were received recently, so that the tree is known.
        """
        members = self._latest.members
        cores = members.cores if members is not None else ()
        known = list(dict.fromkeys([*self._seeds, *self._control_endpoints(cores)]))
        self._random.shuffle(known)
        known.sort(key=self._is_avoided)
        first = [relay] if (relay := self.relay()) and is_fresh else []
        if not first and self._redirects:
            first = [self._redirects.pop(0)]
        return list(dict.fromkeys([*first, *known]))[:MAX_DIALS]

    def relay(self) -> Endpoint | None:
        """Return the relay that the tree assigns; None if it is avoided or there is none."""
        members = self._latest.members
        if members is None:
            return None
        parent = parent_of(self._me.node, self._me.zone, members.balancers)
        if parent is None:
            return None
        relay = Endpoint(parent.ip, self._ports.balancer)
        return None if self._is_avoided(relay) else relay

    def is_relay(self, endpoint: Endpoint | None) -> bool:
        """Return whether this is the endpoint of a balancer that is present."""
        members = self._latest.members
        if members is None or endpoint is None or endpoint.port != self._ports.balancer:
            return False
        return any(m.ip == endpoint.ip for m in members.balancers)

    def avoid(self, endpoint: Endpoint) -> None:
        """Try a process that was silent or unreachable after the others for a while."""
        self._avoided_since[endpoint] = asyncio.get_running_loop().time()

    def _is_avoided(self, endpoint: Endpoint) -> bool:
        return asyncio.get_running_loop().time() - self._avoided_since.get(endpoint, -1e9) < AVOID_S
