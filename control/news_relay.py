"""The leader's news for balancers that can't reach the leader: a member that can passes them on.

A leader may be heard by the other members and be out of reach for balancers: its zone may refuse new
connections and keep the established ones, or two zones may have no path while a third reaches both. A
balancer that was sent on to the leader and comes back is taken in by the member that it comes to.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from loguru import logger

from dissemination.bulletin import LatestUpdates
from dissemination.feed import Feed
from dissemination.follower import ROLL_S, STALE_AFTER_S
from dissemination.holdings import Holdings
from dissemination.messages import (
    Attach,
    ConfigurationNews,
    DoubtNews,
    HoldingNews,
    LoadNews,
    MemberNews,
    Moved,
    Present,
    Pulse,
    RelayAttach,
    Roll,
    UpstreamNews,
)
from transport.endpoint import Endpoint
from transport.links import Links
from transport.wire import Link

RETURN_S = 5.0  # a balancer that comes back within this has not reached the leader
REFER_S = 10.0  # those that are told here try the leader itself again so often
IDLE_S = 2.0  # without a balancer for so long nothing is asked of the leader any more
SILENT_S = 2.5  # a balancer that says nothing for so long has gone


class Referrals:
    """Which balancers were sent on to a leader a moment ago."""

    def __init__(self) -> None:
        self._sent_at: dict[tuple[str, str], float] = {}  # by balancer's node and leader's IP, in seconds

    def add(self, node: str, leader_ip: str, now: float) -> None:
        """A balancer is sent on."""
        self._sent_at = {key: at for key, at in self._sent_at.items() if now - at <= RETURN_S}
        self._sent_at[node, leader_ip] = now

    def has_come_back(self, node: str, leader_ip: str, now: float) -> bool:
        """Whether a balancer that asks now was sent to this leader a moment ago."""
        return now - self._sent_at.get((node, leader_ip), -1e9) <= RETURN_S


class NewsRelay:
    """Hears the news from the leader over the members' connection, and feeds them to balancers."""

    def __init__(
        self,
        identity: str,
        links: Links,
        control_port: int,
        latest: LatestUpdates,
        feed: Feed,
        holdings: Holdings,
        attached: Callable[[], None],
    ) -> None:
        """`attached`: the leader is to be told now what the balancers below us report."""
        self._identity, self._links, self._control_port = identity, links, control_port
        self._latest, self._feed, self._holdings = latest, feed, holdings
        self._attached = attached
        self._referrals = Referrals()
        self._leader_ip = ""
        self._link: Link | None = None  # to the leader, while we pass its news on
        self._attached_at = self._pulsed_at = self._wanted_at = self._referred_at = -1e9
        self._rolled: tuple[tuple[Present, ...], float] = (), -1e9

    def is_running(self) -> bool:
        """Whether the leader tells us its news."""
        return self._link is not None

    def refer(self, link: Link, message: Attach, leader_ip: str) -> None:
        """A balancer asks for the news: it is sent to the leader; one that comes back is taken in."""
        now = asyncio.get_running_loop().time()
        if self._referrals.has_come_back(message.node, leader_ip, now):
            self._wanted_at = now
            if self._is_fresh(leader_ip, now):
                self._feed.attach(link, message)
                link.send(HoldingNews(self._holdings.all()))
                return
            self._attach(leader_ip, now)  # it asks again soon, when we know what is new
        self._referrals.add(message.node, leader_ip, now)
        link.send(Moved((leader_ip,)))

    def heard(self, link: Link, message: Any) -> bool:
        """A message of the leader; False if it is no news, or not by the connection that we hear them by."""
        if link is not self._link:
            return False
        match message:
            case Moved():
                self.stop()
            case HoldingNews(holdings):
                if new := self._holdings.add(holdings):
                    self._feed.broadcast(HoldingNews(new))
            case UpstreamNews():
                if self._latest.store(message):
                    self._feed.broadcast_list(message, None)
            case ConfigurationNews() | MemberNews() | LoadNews() | DoubtNews() | Pulse():
                if self._latest.store(message):
                    self._feed.broadcast(message)
                    if isinstance(message, Pulse):
                        self._pulsed_at = asyncio.get_running_loop().time()
            case _:
                return False
        return True

    def report(self, message: Any) -> None:
        """What the balancers below us say, on to the leader."""
        if self._link is not None:
            self._link.send(message)

    def look(self, leader_ip: str) -> None:
        """Another leads; called every few tens of milliseconds.

        A balancer may be on its way back to us: a `Roll` without anybody would end it all at the leader.
        """
        if self._link is None:
            return
        now = asyncio.get_running_loop().time()
        self._feed.drop_silent(now, SILENT_S)
        present = self._present()
        if present:
            self._wanted_at = now
        if leader_ip != self._leader_ip or now - self._wanted_at > IDLE_S:
            self.stop()
        elif now - self._referred_at >= REFER_S:
            self._refer_all(now)
        elif present and (present != self._rolled[0] or now - self._rolled[1] >= ROLL_S):
            self._rolled = present, now
            self._link.send(Roll(self._identity, present))

    def ended(self, link: Link) -> None:
        """A connection is over; balancers that hear nothing more from us ask again."""
        if link is self._link:
            self._link = None

    def stop(self) -> None:
        """Pass on nothing more."""
        if self._link is not None:
            self._link.send(Roll(self._identity, ()))
            logger.info("event=news_relay_ended leader={}", self._leader_ip)
        self._link = None

    def _is_fresh(self, leader_ip: str, now: float) -> bool:
        is_its = self._link is not None and leader_ip == self._leader_ip
        return is_its and now - self._pulsed_at <= STALE_AFTER_S

    def _attach(self, leader_ip: str, now: float) -> None:
        """Ask the leader for its news, by the connection on which it was heard last."""
        link = self._links.find(Endpoint(leader_ip, self._control_port))
        is_asked = link is self._link and now - self._attached_at <= STALE_AFTER_S
        if link is None or is_asked:
            return
        self.stop()
        logger.info("event=news_relay_begun leader={}", leader_ip)
        self._link, self._leader_ip = link, leader_ip
        self._attached_at = self._referred_at = now
        known, listed = self._latest.configuration, self._latest.upstreams
        present = self._present()
        self._rolled = present, now
        link.send(
            RelayAttach(
                self._identity,
                known.ver if known is not None else 0,
                listed.epoch if listed is not None else 0,
                listed.number if listed is not None else 0,
                present,
            )
        )
        self._attached()

    def _refer_all(self, now: float) -> None:
        """The way to the leader may be free again: whoever does not reach it comes back."""
        self._referred_at = now
        for balancer in self._feed.child_nodes():
            self._referrals.add(balancer, self._leader_ip, now)
        self._feed.redirect_all(Moved((self._leader_ip,)))

    def _present(self) -> tuple[Present, ...]:
        present = self._feed.present()
        return tuple(present[node] for node in sorted(present))
