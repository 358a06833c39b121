"""What reports read off a balancer's role."""

from __future__ import annotations

from typing import Any, Protocol

from balancer.balancer import Balancer
from config.settings import Settings


class ReportedRole(Protocol):
    """A balancer's role, as its reports see it; they change nothing."""

    @property
    def settings(self) -> Settings:
        """Of this process."""

    @property
    def balancer(self) -> Balancer:
        """The data plane."""

    def report_state(self) -> dict[str, Any]:
        """Where the news come from, and who is below."""
