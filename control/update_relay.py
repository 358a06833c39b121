"""Relays the leader's updates to balancers that can't reach the leader.

A leader may be reachable for the other members and not for balancers: its zone may refuse new connections and
keep established ones, or two zones may have no path while a third reaches both. A member redirects a balancer
to the leader first; if the balancer returns, that member relays the updates to it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from loguru import logger

from dissemination.cached_prefixes import Holdings
from dissemination.feed import Feed
from dissemination.follower import ROLL_INTERVAL_S, STALE_AFTER_S
from dissemination.latest_updates import LatestUpdates
from dissemination.messages import (
    Attach,
    CachedPrefixUpdate,
    ConfigurationUpdate,
    FailureUpdate,
    LeaderHeartbeat,
    LoadUpdate,
    MembershipUpdate,
    PresenceReport,
    PresentBalancer,
    Redirect,
    RelayAttach,
    UpstreamListUpdate,
)
from transport.endpoint import Endpoint
from transport.links import Links
from transport.wire import Link

RETURN_WINDOW_S = 5.0  # a balancer that returns within this has not reached the leader
REDIRECT_INTERVAL_S = 10.0  # relayed balancers are redirected to the leader this often, to try it again
IDLE_TIMEOUT_S = 2.0  # the relay stops after this long without a balancer
SILENCE_TIMEOUT_S = 2.5  # a balancer that sends nothing for this long is dropped


class Redirects:
    """Remembers which balancers were recently redirected to which leader."""

    def __init__(self) -> None:
        # Time (s) by the node of the balancer and the IP of the leader.
        self._redirected_at: dict[tuple[str, str], float] = {}

    def add(self, node: str, leader_ip: str, now: float) -> None:
        """Record that a balancer is redirected."""
        self._redirected_at = {
            key: at for key, at in self._redirected_at.items() if now - at <= RETURN_WINDOW_S
        }
        self._redirected_at[node, leader_ip] = now

    def has_come_back(self, node: str, leader_ip: str, now: float) -> bool:
        """Return whether a balancer that attaches now was recently redirected to this leader."""
        return now - self._redirected_at.get((node, leader_ip), -1e9) <= RETURN_WINDOW_S


class UpdateRelay:
    """Receives updates from the leader over the members' connection and feeds them to balancers."""

    def __init__(
        self,
        identity: str,
        links: Links,
        control_port: int,
        latest: LatestUpdates,
        feed: Feed,
        holdings: Holdings,
        on_attached: Callable[[], None],
    ) -> None:
        """`on_attached`: called when the leader has to be sent the reports of attached balancers again."""
        self._identity, self._links, self._control_port = identity, links, control_port
        self._latest, self._feed, self._holdings = latest, feed, holdings
        self._on_attached = on_attached
        self._redirects = Redirects()
        self._leader_ip = ""
        self._link: Link | None = None  # to the leader, while its updates are relayed
        self._attached_at = self._pulsed_at = self._last_child_at = self._redirected_at = -1e9
        self._last_roll: tuple[tuple[PresentBalancer, ...], float] = (), -1e9

    def is_running(self) -> bool:
        """Return whether updates are received from the leader."""
        return self._link is not None

    def attach_or_redirect(self, link: Link, message: Attach, leader_ip: str) -> None:
        """Redirect a balancer to the leader, or attach it here if it has just returned from there."""
        now = asyncio.get_running_loop().time()
        if self._redirects.has_come_back(message.node, leader_ip, now):
            self._last_child_at = now
            if self._is_fresh(leader_ip, now):
                self._feed.attach(link, message)
                link.send(CachedPrefixUpdate(self._holdings.all()))
                return
            self._attach(leader_ip, now)  # the balancer asks again soon, when updates have arrived
        self._redirects.add(message.node, leader_ip, now)
        link.send(Redirect((leader_ip,)))

    def on_message(self, link: Link, message: Any) -> bool:
        """Handle a message of the leader; returns False for other messages and other connections."""
        if link is not self._link:
            return False
        match message:
            case Redirect():
                self.stop()
            case CachedPrefixUpdate(holdings):
                if new := self._holdings.add(holdings):
                    self._feed.broadcast(CachedPrefixUpdate(new))
            case UpstreamListUpdate():
                if self._latest.store(message):
                    self._feed.broadcast_list(message, None)
            case (
                ConfigurationUpdate()
                | MembershipUpdate()
                | LoadUpdate()
                | FailureUpdate()
                | LeaderHeartbeat()
            ):
                if self._latest.store(message):
                    self._feed.broadcast(message)
                    if isinstance(message, LeaderHeartbeat):
                        self._pulsed_at = asyncio.get_running_loop().time()
            case _:
                return False
        return True

    def forward_report(self, message: Any) -> None:
        """Forward a report of an attached balancer to the leader."""
        if self._link is not None:
            self._link.send(message)

    def tick(self, leader_ip: str) -> None:
        """Check the relay while another process leads; called every few tens of milliseconds.

        A `PresenceReport` is not sent while nobody is present: it would end the relay at the leader, and a
        balancer may be on its way back.
        """
        if self._link is None:
            return
        now = asyncio.get_running_loop().time()
        self._feed.drop_silent(now, SILENCE_TIMEOUT_S)
        present = self._present()
        if present:
            self._last_child_at = now
        if leader_ip != self._leader_ip or now - self._last_child_at > IDLE_TIMEOUT_S:
            self.stop()
        elif now - self._redirected_at >= REDIRECT_INTERVAL_S:
            self._redirect_all(now)
        elif present and (present != self._last_roll[0] or now - self._last_roll[1] >= ROLL_INTERVAL_S):
            self._last_roll = present, now
            self._link.send(PresenceReport(self._identity, present))

    def on_closed(self, link: Link) -> None:
        """Handle the end of a connection; balancers that get no more updates attach elsewhere."""
        if link is self._link:
            self._link = None

    def stop(self) -> None:
        """Stop relaying."""
        if self._link is not None:
            self._link.send(PresenceReport(self._identity, ()))
            logger.info("event=news_relay_ended leader={}", self._leader_ip)
        self._link = None

    def _is_fresh(self, leader_ip: str, now: float) -> bool:
        is_current = self._link is not None and leader_ip == self._leader_ip
        return is_current and now - self._pulsed_at <= STALE_AFTER_S

    def _attach(self, leader_ip: str, now: float) -> None:
        """Subscribe to the leader's updates, over the connection that received data last."""
        link = self._links.find(Endpoint(leader_ip, self._control_port))
        is_requested = link is self._link and now - self._attached_at <= STALE_AFTER_S
        if link is None or is_requested:
            return
        self.stop()
        logger.info("event=news_relay_begun leader={}", leader_ip)
        self._link, self._leader_ip = link, leader_ip
        self._attached_at = self._redirected_at = now
        known, listed = self._latest.configuration, self._latest.upstreams
        present = self._present()
        self._last_roll = present, now
        link.send(
            RelayAttach(
                self._identity,
                known.ver if known is not None else 0,
                listed.epoch if listed is not None else 0,
                listed.number if listed is not None else 0,
                present,
            )
        )
        self._on_attached()

    def _redirect_all(self, now: float) -> None:
        """Redirect all balancers to the leader in case it is reachable again; the others return."""
        self._redirected_at = now
        for balancer in self._feed.child_nodes():
            self._redirects.add(balancer, self._leader_ip, now)
        self._feed.redirect_all(Redirect((self._leader_ip,)))

    def _present(self) -> tuple[PresentBalancer, ...]:
        present = self._feed.present()
        return tuple(present[node] for node in sorted(present))
