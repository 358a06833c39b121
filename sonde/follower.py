"""The side that hears: a connection to whoever tells us the news, and a new one when that is silent."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from screen.links import Links
from screen.wire import Link
from sonde.bulletin import Bulletin
from sonde.messages import Attach, ConfigurationNews, MemberNews, Moved, Present, Pulse, Roll, UpstreamNews
from sonde.relays import parent_of

PULSE_S = 0.3  # the control state is heard of so often
STALE_S = 0.9  # without a newer pulse for so long whoever tells us is behind itself
PAUSE_S = 0.1  # between two attempts, more or less
ROLL_S = 1.0  # we are heard of so often by whoever tells us
SETTLE_S = 1.0  # news of members are let settle before we move to another relay


class Follower:
    """Keeps one balancer attached; what it hears goes into the bulletin and to `told`."""

    def __init__(
        self,
        me: Present,
        links: Links,
        bulletin: Bulletin,
        seeds: tuple[str, ...],
        told: Callable[[Any], None],
        below: Callable[[], dict[str, Present]],
        seed: int,
    ) -> None:
        """`seeds`: IPs of control processes. `told`: each newer piece of news. `below`: who hears us."""
        self._me, self._links, self._bulletin, self._told, self._below = me, links, bulletin, told, below
        self._seeds = list(seeds)
        self._hints: list[str] = []
        self._random = random.Random(seed)
        self._link: Link | None = None
        self._parent = ""  # its IP
        self._pulsed_at = -1e9
        self._ended = asyncio.Event()
        self._rolled: tuple[Any, float] = (None, -1e9)
        self._members_at = 0.0
        self._avoid = ""  # a relay that was stale, until the members change

    def is_fresh(self, within_s: float = STALE_S) -> bool:
        """Whether the control state was heard of a moment ago."""
        return asyncio.get_running_loop().time() - self._pulsed_at <= within_s

    def seeds(self, ips: tuple[str, ...]) -> None:
        """The settings name other seeds."""
        self._seeds = list(ips)

    def parent(self) -> str:
        """The IP of whoever tells us the news; empty if nobody does."""
        return self._parent if self._link is not None else ""

    def hears(self, link: Link) -> bool:
        """Whether this is the connection by which the news come."""
        return link is self._link

    def heard(self, link: Link, message: Any) -> None:
        """A message by that connection."""
        now = asyncio.get_running_loop().time()
        match message:
            case Moved(ips):
                self._hints = [ip for ip in ips if ip != self._me.ip]
                self._leave()
            case Pulse() if self._bulletin.take(message):
                self._pulsed_at = now
                self._told(message)
            case MemberNews() if self._bulletin.take(message):
                self._members_at, self._avoid = now, ""
                self._told(message)
            case ConfigurationNews() | UpstreamNews() if self._bulletin.take(message):
                self._told(message)

    def ended(self, link: Link) -> None:
        """A connection is over."""
        if link is self._link:
            self._link = None
            self._ended.set()

    async def run(self) -> None:
        """Stay attached for ever."""
        while True:
            ip = self._choose()
            if ip is not None and (link := await self._links.dial(ip)) is not None:
                self._ended.clear()
                self._link, self._parent = link, ip
                self._attach(link)
                await self._stay(ip)
            else:
                self._failed(ip)
            await asyncio.sleep(PAUSE_S * self._random.uniform(0.5, 1.5))

    # ---- where to

    def _relay(self) -> Present | None:
        members = self._bulletin.members
        if members is None:
            return None
        parent = parent_of(self._me.node, self._me.zone, members.balancers)
        return None if parent is None or parent.ip == self._avoid else parent

    def _choose(self) -> str | None:
        """The relay that the tree gives us, or one of the control state: the leader if we know it."""
        relay = self._relay()
        if relay is not None and self.is_fresh(2 * STALE_S):
            return relay.ip
        if self._hints:
            return self._hints.pop(0)
        members = self._bulletin.members
        known = list(dict.fromkeys([*self._seeds, *(members.cores if members is not None else ())]))
        known = [ip for ip in known if ip != self._me.ip]
        return self._random.choice(known) if known else None

    def _failed(self, ip: str | None) -> None:
        relay = self._relay()
        if relay is not None and relay.ip == ip:
            self._avoid = relay.ip

    async def _stay(self, ip: str) -> None:
        """Until the connection ends, is silent, or the tree has another place for us."""
        loop = asyncio.get_running_loop()
        since = loop.time()
        while self._link is not None:
            try:
                async with asyncio.timeout(PULSE_S):
                    await self._ended.wait()
                return
            except TimeoutError:
                pass
            now = loop.time()
            self._call_roll(now)
            if now - max(self._pulsed_at, since) > STALE_S:
                self._failed(ip)
                self._leave()
                return
            relay = self._relay()
            wanted = relay.ip if relay is not None else None
            is_relay = any(m.ip == ip for m in self._balancers())
            settled = now - self._members_at > SETTLE_S and self.is_fresh()
            if settled and ((wanted is not None and wanted != ip) or (wanted is None and is_relay)):
                self._leave()
                return

    def _balancers(self) -> list[Present]:
        members = self._bulletin.members
        return list(members.balancers) if members is not None else []

    def _leave(self) -> None:
        link, self._link = self._link, None
        if link is not None:
            link.close()
        self._ended.set()

    # ---- what we say

    def _attach(self, link: Link) -> None:
        known, listed = self._bulletin.configuration, self._bulletin.upstreams
        link.send(
            Attach(
                self._me.node,
                self._me.ip,
                self._me.zone,
                known.ver if known is not None else 0,
                listed.epoch if listed is not None else 0,
                listed.number if listed is not None else 0,
            )
        )
        self._rolled = (None, -1e9)
        self._call_roll(asyncio.get_running_loop().time())

    def _call_roll(self, now: float) -> None:
        """Say who is below us when that changes, and now and then that we are there."""
        if self._link is None:
            return
        everybody = {self._me.node: self._me, **self._below()}
        present = tuple(everybody[node] for node in sorted(everybody))
        if present != self._rolled[0] or now - self._rolled[1] >= ROLL_S:
            self._rolled = (present, now)
            self._link.send(Roll(self._me.node, present))
