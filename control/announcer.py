"""Announces the leader to seeds that are not members, which new processes may ask first.

Such a seed may be without a disk and know only what it is sent.
"""

from __future__ import annotations

from config.settings import Settings
from consensus.messages import ViewUpdate
from consensus.views import View
from transport.endpoint import Endpoint
from transport.links import Links

ANNOUNCE_INTERVAL_S = 1.0


class Announcer:
    """Sends the current view to the seeds that are not members of it."""

    def __init__(self, links: Links) -> None:
        self._links = links
        self._announced_at = -1e9

    def tick(self, view: View, settings: Settings, now: float) -> None:
        """Send the view if the announcement is due; `now` in seconds."""
        if now - self._announced_at < ANNOUNCE_INTERVAL_S:
            return
        self._announced_at = now
        members = {member.ip for member in view.members if member is not None}
        known = ViewUpdate(view.leader().identity, "", view, view.epoch)
        for ip in sorted(set(settings.seed_ips) - members - {settings.ip}):
            self._links.send(Endpoint(ip, settings.control_port), known)
