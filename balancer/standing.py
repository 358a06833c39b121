"""What our calls tell of the upstreams: silence is looked after, failures go to `balancer.trust`."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from loguru import logger

from balancer.peer import Peer
from balancer.tiers import Tiers
from balancer.trust import HARD, SILENT, WINDOW_S, is_failure
from passpost.http1 import Response
from passpost.upstream import Upstreams
from umberworks.interface import Outcome

PROBE_S = 0.5  # between two looks whether a silent upstream can be reached again


def _nothing() -> None:
    """Nobody wants to be told."""


class Standing:
    """Keeps it for one balancer."""

    def __init__(self, tiers: Tiers, upstreams: Upstreams) -> None:
        self._tiers, self._upstreams = tiers, upstreams
        self.changed: Callable[[], None] = _nothing  # told when there are failures to report, or no longer

    def ended(self, peer: Peer, outcome: Outcome, answer: Response | None, good: bool) -> None:
        """A call of ours has ended there; `good`: nothing of its answer was spoilt."""
        self._tiers.trust.ended(peer, time.monotonic())
        if is_failure(outcome, answer, good):
            self._failed(peer, HARD)

    def unreached(self, peer: Peer) -> None:
        """No connection came up: as `silent`, but that is no sign of load."""
        self.silent(peer, HARD)

    def silent(self, peer: Peer, each: int = SILENT) -> None:
        """An upstream owes us a word for too long: it gets nothing new until it is heard or reached again.

        `each`: what a call that is out there counts.
        """
        if not peer.silent:
            peer.silent = True
            logger.warning("event=silent upstream={}", peer.entry.id)
            self._failed(peer, each * max(peer.server.in_flight, 1))  # each call that is out there is owed
            self._upstreams.close_idle_connections(peer.entry.id)
            asyncio.get_running_loop().call_later(PROBE_S, self._probe, peer)

    def _failed(self, peer: Peer, count: int) -> None:
        self._tiers.trust.failed(peer, time.monotonic(), count)
        self.changed()
        asyncio.get_running_loop().call_later(WINDOW_S, lambda: self.changed())  # it is out of date by then

    def _probe(self, peer: Peer) -> None:
        name = peer.entry.id
        if not peer.silent or self._tiers.peer(name) is not peer:
            return

        def found(reached: bool) -> None:
            if reached:
                peer.heard(time.monotonic())
                logger.info("event=reached_again upstream={}", name)
            else:
                asyncio.get_running_loop().call_later(PROBE_S, self._probe, peer)

        self._upstreams.probe(name, found)
