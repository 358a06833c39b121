"""What a request and its calls use of the balancer that they belong to."""

from __future__ import annotations

from typing import Protocol

from balancer.pair import Budget, Handle
from balancer.peer import Peer
from balancer.prompt import Prompt
from balancer.request_counters import RequestCounters
from balancer.standing import UpstreamHealth
from balancer.tiers import Tiers
from balancer.urgency import Urgency
from config.settings import Settings
from passpost.upstream import Upstreams


class RequestContext(Protocol):
    """The balancer, as the requests that are open on it see it."""

    @property
    def settings(self) -> Settings:
        """Of this process."""

    @property
    def counters(self) -> RequestCounters:
        """Counts of requests and their ends."""

    @property
    def tiers(self) -> Tiers:
        """The upstreams by part, and the choice among them."""

    @property
    def health(self) -> UpstreamHealth:
        """What the ends of calls say of upstreams."""

    @property
    def urgency(self) -> Urgency:
        """The ranks that calls tell."""

    @property
    def upstreams(self) -> Upstreams:
        """Connections to upstreams."""

    def budget(self, service: str) -> Budget:
        """What pays for extra arrivals at a service."""

    def load_changed(self) -> None:
        """A call was sent, or has ended."""

    def on_prompt_cached(self, peer: Peer, prompt: Prompt) -> None:
        """An upstream has read or fetched a prompt for us."""

    def free(self, handle: Handle) -> None:
        """Free memory that nobody will fetch."""

    def on_request_ended(self, number: int) -> None:
        """A request has its answer."""
