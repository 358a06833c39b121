"""Interface through which reports read a balancer's role."""

from __future__ import annotations

from typing import Any, Protocol

from balancer.balancer import Balancer
from config.settings import Settings


class ReportedRole(Protocol):
    """A balancer's role as reports see it; they only read."""

    @property
    def settings(self) -> Settings:
        """The settings of this process."""

    @property
    def balancer(self) -> Balancer:
        """The data plane."""

    def report_state(self) -> dict[str, Any]:
        """Return the control state and the link to the parent and followers."""
