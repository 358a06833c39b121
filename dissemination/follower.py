"""The side that hears: a connection to whoever tells us the news, and a new one when that is silent."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from loguru import logger

from config.errors import GapError
from dissemination.bulletin import LatestUpdates
from dissemination.lists import ListCopy, digest_of
from dissemination.messages import (
    Attach,
    ConfigurationNews,
    DoubtNews,
    EpochHeard,
    HoldingNews,
    LoadNews,
    LoadStep,
    MemberNews,
    Moved,
    Present,
    Pulse,
    Roll,
    Speaks,
    UpstreamChange,
    UpstreamNews,
)
from dissemination.relays import parent_of
from transport.endpoint import Endpoint
from transport.links import Links
from transport.wire import EDITION, STEPS_EDITION, Link

PULSE_INTERVAL_S = 0.3  # the control state is heard of so often
STALE_AFTER_S = 0.9  # without a newer pulse for so long whoever tells us is behind itself
PAUSE_S = 0.1  # between two attempts, more or less
SOON = (0.1, 0.4)  # of it, where we were told whom to ask
LED_S = 0.5  # whoever is sent on again sooner than this is sent in a circle, while nobody leads yet
MOST_DIALLED = 3  # one after the other, before we look anew whom to dial
MANY = 100  # so many balancers and more wait longer, so that all together ask 1,000 times a second at most
ROLL_S = 1.0  # we are heard of so often by whoever tells us
SETTLE_S = 1.0  # the tree has given us another place for so long before we move there
MEND_S = 0.5  # all is asked for again no sooner after the last time
SHUN_S = 4.0  # a process that was silent or out of reach is not asked for so long while there are others


@dataclass(frozen=True, slots=True)
class Ports:
    """On which ports the processes of each kind hear others; alike on all machines."""

    control: int
    balancer: int


class Follower:
    """Keeps one balancer attached; what it hears goes into the bulletin and to `told`."""

    def __init__(
        self,
        me: Present,
        links: Links,
        latest: LatestUpdates,
        ports: Ports,
        seeds: tuple[str, ...],
        told: Callable[[Any, Any], None],
        below: Callable[[], dict[str, Present]],
        attached: Callable[[], None],
        spoken: Callable[[], None],
        seed: int,
    ) -> None:
        """`seeds`: IPs of control processes. `told`: each newer piece of news, and what is new in it:
        an `UpstreamChange` of a list, the loads before a `LoadStep`. `below`: who hears us.

        `attached`: whoever tells us the news from now on knows nothing of us yet. `spoken`: it has said
        what edition it speaks.
        """
        self._me, self._links, self._latest, self._told, self._below = me, links, latest, told, below
        self._attached, self._spoken = attached, spoken
        self._list_copy = ListCopy()
        self._takes_steps = False
        self._mended_at = -1e9
        self._ports = ports
        self._seeds = self._controls(seeds)
        self._hints: list[Endpoint] = []
        self._was_led, self._moved_at = False, -1e9
        self._random = random.Random(seed)
        self._link: Link | None = None
        self._parent: Endpoint | None = None
        self._pulsed_at = -1e9
        self._ended = asyncio.Event()
        self._rolled: tuple[Any, float] = (None, -1e9)
        self._wanted: tuple[Endpoint | None, float] = (
            None,
            0.0,
        )  # the relay that the tree gives us, and since when
        self._shunned: dict[Endpoint, float] = {}  # when it was silent or out of reach

    def is_fresh(self, within_s: float = STALE_AFTER_S) -> bool:
        """Whether the control state was heard of a moment ago."""
        return asyncio.get_running_loop().time() - self._pulsed_at <= within_s

    def age_s(self) -> float | None:
        """Seconds since the control state was last heard of; None if it never was."""
        return asyncio.get_running_loop().time() - self._pulsed_at if self._pulsed_at > 0 else None

    def set_seeds(self, ips: tuple[str, ...]) -> None:
        """The settings name other seeds."""
        self._seeds = self._controls(ips)

    def _controls(self, ips: Iterable[str]) -> list[Endpoint]:
        """The control processes of machines."""
        return [Endpoint(ip, self._ports.control) for ip in ips]

    def parent(self) -> Endpoint | None:
        """Whoever tells us the news; None if nobody does."""
        return self._parent if self._link is not None else None

    def is_parent_link(self, link: Link) -> bool:
        """Whether this is the connection by which the news come."""
        return link is self._link

    def on_message(self, link: Link, message: Any) -> None:
        """A message by that connection."""
        now = asyncio.get_running_loop().time()
        match message:
            case Moved(ips):
                self._hints = self._controls(ips)
                self._was_led, self._moved_at = now - self._moved_at >= LED_S, now
                if self._parent is not None and (not ips or self._is_relay(self._parent)):
                    self._shun(self._parent)  # it is behind itself, or does not know who leads
                self._leave()
            case Pulse() if self._latest.store(message):
                self._pulsed_at = now
                self._told(message, None)
            case HoldingNews():
                self._told(message, None)
            case ConfigurationNews() | UpstreamNews() | MemberNews() | LoadNews() | DoubtNews():
                if self._latest.store(message):
                    self._told(message, None)
            case UpstreamChange() | LoadStep():
                self._heard_change(link, message, now)
            case Speaks(edition):
                self._takes_steps = edition >= STEPS_EDITION
                self._spoken()

    def _heard_change(self, link: Link, message: UpstreamChange | LoadStep, now: float) -> None:
        """A change: in force if it follows what we have; else all is told again."""
        try:
            if isinstance(message, LoadStep):
                before = self._latest.apply_step(message)
                if before is not None:
                    self._told(message, before)
                return
            known = self._latest.upstreams
            if known is None or (message.epoch, message.number) > (known.epoch, known.number):
                news = self._list_copy.apply(known, message)
                self._latest.store(news)
                self._told(news, message)
        except GapError as error:
            if now - self._mended_at >= MEND_S:
                self._mended_at = now
                logger.info("event=gap error={!r}", str(error))
                self._attach(link, whole=isinstance(message, UpstreamChange))

    def takes_steps(self) -> bool:
        """Whether whoever tells us the news takes our loads as steps."""
        return self._takes_steps and self._link is not None

    def on_closed(self, link: Link) -> None:
        """A connection is over."""
        if link is self._link:
            self._link = None
            self._ended.set()

    async def run(self) -> None:
        """Stay attached for ever."""
        while True:
            chosen, moves = self._choose(), False
            reached = await self._links.dial_any(chosen)
            for endpoint in chosen if reached is None else chosen[: chosen.index(reached[0])]:
                self._shun(endpoint)
            if reached is not None:
                self._parent, self._link = reached
                self._ended.clear()
                self._attach(self._link)
                moves = await self._stay(self._parent)
            if not moves:
                shares = SOON if self._hints and self._was_led else (0.5, 1.5)
                await asyncio.sleep(self._pause() * self._random.uniform(*shares))

    def _pause(self) -> float:
        """In seconds; many balancers that look for a primary must not take the time of those who make one."""
        members = self._latest.members
        return PAUSE_S * max(1.0, len(members.balancers) / MANY if members is not None else 1.0)

    # ---- where to

    def _relay(self) -> Endpoint | None:
        """The balancer that the tree gives us; None: the control state itself tells us."""
        members = self._latest.members
        if members is None:
            return None
        parent = parent_of(self._me.node, self._me.zone, members.balancers)
        if parent is None:
            return None
        relay = Endpoint(parent.ip, self._ports.balancer)
        return None if self._is_shunned(relay) else relay

    def _is_relay(self, endpoint: Endpoint | None) -> bool:
        members = self._latest.members
        if members is None or endpoint is None or endpoint.port != self._ports.balancer:
            return False
        return any(m.ip == endpoint.ip for m in members.balancers)

    def _choose(self) -> list[Endpoint]:
        """Whom to dial, one after the other until one takes us in.

        First the relay that the tree gives us, or the leader if we know it; then others of the control state.
        """
        members = self._latest.members
        cores = members.cores if members is not None else ()
        known = list(dict.fromkeys([*self._seeds, *self._controls(cores)]))
        self._random.shuffle(known)
        known.sort(key=self._is_shunned)
        first = [relay] if (relay := self._relay()) and self.is_fresh(2 * STALE_AFTER_S) else []
        if not first and self._hints:
            first = [self._hints.pop(0)]
        return list(dict.fromkeys([*first, *known]))[:MOST_DIALLED]

    def _shun(self, endpoint: Endpoint) -> None:
        self._shunned[endpoint] = asyncio.get_running_loop().time()

    def _is_shunned(self, endpoint: Endpoint) -> bool:
        return asyncio.get_running_loop().time() - self._shunned.get(endpoint, -1e9) < SHUN_S

    async def _stay(self, parent: Endpoint) -> bool:
        """Until the connection ends, is silent, or the tree has another place for us: True for that."""
        loop = asyncio.get_running_loop()
        since = loop.time()
        while self._link is not None:
            stale_at = max(self._pulsed_at, since) + STALE_AFTER_S
            try:
                async with asyncio.timeout(max(min(PULSE_INTERVAL_S, stale_at - loop.time()), 0.01)):
                    await self._ended.wait()
                return False
            except TimeoutError:
                pass
            now = loop.time()
            self._call_roll(now)
            if now - max(self._pulsed_at, since) >= STALE_AFTER_S:
                self._shun(parent)
                self._leave()
                return False
            if self._is_misplaced(parent, now):
                self._leave()
                return True
        return False

    def _is_misplaced(self, parent: Endpoint, now: float) -> bool:
        """Whether the tree has had another place for us for a while."""
        wanted = self._relay()
        if wanted != self._wanted[0]:
            self._wanted = wanted, now
        if now - self._wanted[1] <= SETTLE_S or not self.is_fresh():
            return False
        return wanted != parent if wanted is not None else self._is_relay(parent)

    def _leave(self) -> None:
        link, self._link = self._link, None
        if link is not None:
            link.close()
        self._ended.set()

    # ---- what we say

    def send(self, message: Any) -> None:
        """Tell whoever tells us the news, if anybody does."""
        if self._link is not None:
            self._link.send(message)

    def _attach(self, link: Link, whole: bool = False) -> None:
        """Say what we have; `whole`: the list is to come as if we had none."""
        known, listed = self._latest.configuration, None if whole else self._latest.upstreams
        self._takes_steps = False  # until they say so
        link.send(Speaks(EDITION, digest_of(listed)))
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
        if epoch := self._latest.epoch():
            link.send(EpochHeard(epoch))
        self._rolled = (None, -1e9)
        self._call_roll(asyncio.get_running_loop().time())
        self._attached()

    def _call_roll(self, now: float) -> None:
        """Say who is below us when that changes, and now and then that we are there."""
        if self._link is None:
            return
        everybody = {self._me.node: self._me, **self._below()}
        present = tuple(everybody[node] for node in sorted(everybody))
        if present != self._rolled[0] or now - self._rolled[1] >= ROLL_S:
            self._rolled = (present, now)
            self._link.send(Roll(self._me.node, present))
