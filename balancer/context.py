"""The part of a balancer that its requests and their upstream calls depend on."""

from __future__ import annotations

from typing import Protocol

from balancer.peer import Peer
from balancer.priority import PriorityEstimator
from balancer.prompt import Prompt
from balancer.request_counters import RequestCounters
from balancer.request_machine import Budget, Handle
from balancer.tiers import Tiers
from balancer.upstream_health import UpstreamHealth
from config.settings import Settings
from passpost.upstream import Upstreams


class RequestContext(Protocol):
    """The balancer as seen by its open requests."""

    @property
    def settings(self) -> Settings:
        """The settings of this process."""

    @property
    def counters(self) -> RequestCounters:
        """Counters of requests and how they ended."""

    @property
    def tiers(self) -> Tiers:
        """The upstreams by service and phase, and the selection among them."""

    @property
    def health(self) -> UpstreamHealth:
        """Records the ends of calls as evidence on upstreams."""

    @property
    def priorities(self) -> PriorityEstimator:
        """Computes the `Priority` of upstream calls."""

    @property
    def upstreams(self) -> Upstreams:
        """Connections to upstreams."""

    def budget(self, service: str) -> Budget:
        """Return the retry budget of a service."""

    def load_changed(self) -> None:
        """Note that a call was sent or has ended."""

    def on_prompt_cached(self, peer: Peer, prompt: Prompt) -> None:
        """Note that an upstream has prefilled or fetched a prompt."""

    def free_handle(self, handle: Handle) -> None:
        """Free the KV cache behind a handle that will not be fetched."""

    def on_request_ended(self, number: int) -> None:
        """Drop a request that has its final answer."""
