"""Upstream health as seen by calls: probes silent upstreams, and reports failures to `OutlierDetector`."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from loguru import logger

from balancer.outlier_detection import FAILURE_WEIGHT, SILENCE_WEIGHT, WINDOW_S, is_failure
from balancer.peer import Peer
from balancer.tiers import Tiers
from passpost.http1 import Response
from passpost.upstream import Upstreams
from umberworks.interface import Outcome

PROBE_INTERVAL_S = 0.5  # between two attempts to connect to a silent upstream


def _noop() -> None:
    """Do nothing."""


class UpstreamHealth:
    """Records how one balancer's calls ended, and probes silent upstreams."""

    def __init__(self, tiers: Tiers, upstreams: Upstreams) -> None:
        self._tiers, self._upstreams = tiers, upstreams
        self.on_change: Callable[[], None] = _noop  # called when reported failures are added or expire

    def on_call_ended(self, peer: Peer, outcome: Outcome, answer: Response | None, valid: bool) -> None:
        """Record a call's end; `valid`: no part of its answer was invalid."""
        self._tiers.outliers.on_call_ended(peer, time.monotonic())
        if is_failure(outcome, answer, valid):
            self._report_failure(peer, FAILURE_WEIGHT)

    def on_unreached(self, peer: Peer) -> None:
        """Handle a failed connection like silence, but with full weight, as it is no sign of load."""
        self.on_silent(peer, FAILURE_WEIGHT)

    def on_silent(self, peer: Peer, weight: int = SILENCE_WEIGHT) -> None:
        """Mark an upstream as silent: it gets nothing new until it sends data or can be reached.

        `weight`: of each call in flight to it, as a failure.
        """
        if not peer.is_silent:
            peer.is_silent = True
            logger.warning("event=silent upstream={}", peer.entry.id)
            self._report_failure(peer, weight * max(peer.server.in_flight, 1))  # each call in flight counts
            self._upstreams.close_idle_connections(peer.entry.id)
            asyncio.get_running_loop().call_later(PROBE_INTERVAL_S, self._probe, peer)

    def _report_failure(self, peer: Peer, weight: int) -> None:
        self._tiers.outliers.on_failure(peer, time.monotonic(), weight)
        self.on_change()
        asyncio.get_running_loop().call_later(WINDOW_S, lambda: self.on_change())  # it has expired by then

    def _probe(self, peer: Peer) -> None:
        name = peer.entry.id
        if not peer.is_silent or self._tiers.peer(name) is not peer:
            return

        def on_result(reached: bool) -> None:
            if reached:
                peer.on_data_received(time.monotonic())
                logger.info("event=reached_again upstream={}", name)
            else:
                asyncio.get_running_loop().call_later(PROBE_INTERVAL_S, self._probe, peer)

        self._upstreams.probe(name, on_result)
