"""The receiving side: keeps a connection to a parent, and replaces it when the parent is silent."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from loguru import logger

from config.errors import GapError
from dissemination.latest_updates import LatestUpdates
from dissemination.list_changes import ListCopy, digest_of
from dissemination.messages import (
    Attach,
    CachedPrefixUpdate,
    ConfigurationUpdate,
    EpochNotice,
    FailureUpdate,
    Hello,
    LeaderHeartbeat,
    LoadStep,
    LoadUpdate,
    MembershipUpdate,
    PresenceReport,
    PresentBalancer,
    Redirect,
    UpstreamChange,
    UpstreamListUpdate,
)
from dissemination.parent_choice import ParentChoice, Ports
from transport.endpoint import Endpoint
from transport.links import Links
from transport.wire import EDITION, STEPS_EDITION, Link

PULSE_INTERVAL_S = 0.3  # interval between the pulses of the control plane
STALE_AFTER_S = 0.9  # a parent without a newer pulse for this long is itself out of date
RETRY_DELAY_S = 0.1  # mean delay between two attempts
REDIRECT_RETRY_SHARE = (0.1, 0.4)  # range of the share of that delay after a redirect
# Above so many balancers delays grow, so that all together make at most 1,000 attempts a second.
LARGE_FLEET = 100
DETACHED_LOG_INTERVAL_S = 5.0  # a balancer without updates logs whom it asks at most this often
ROLL_INTERVAL_S = 1.0  # a child reports to its parent at least this often
REPARENT_DELAY_S = 1.0  # the tree has to assign another parent for this long before the follower moves
RESYNC_INTERVAL_S = 0.5  # at least this long between two requests for complete state


class Follower:
    """Keeps a balancer attached to a parent, and stores the updates that it receives."""

    def __init__(
        self,
        me: PresentBalancer,
        links: Links,
        latest: LatestUpdates,
        ports: Ports,
        seeds: tuple[str, ...],
        notify: Callable[[Any, Any], None],
        below: Callable[[], dict[str, PresentBalancer]],
        on_attached: Callable[[], None],
        on_hello: Callable[[], None],
        seed: int,
    ) -> None:
        """`seeds`: IPs of control processes. `below`: returns the balancers attached below this one.

        `notify`: called with each newer update and what it changes: the `UpstreamChange` of a list, the
        previous loads of a `LoadStep`. `on_attached`: called when a new parent has to be sent all reports.
        `on_hello`: called when the parent has sent its edition.
        """
        self._me, self._links, self._latest, self._notify, self._below = me, links, latest, notify, below
        self._on_attached, self._on_hello = on_attached, on_hello
        self._list_copy = ListCopy()
        self._takes_steps = False
        self._resynced_at = -1e9
        self._random = random.Random(seed)
        self._choice = ParentChoice(me, latest, ports, seeds, self._random)
        self._link: Link | None = None
        self._parent: Endpoint | None = None
        self._pulsed_at = -1e9
        self._closed = asyncio.Event()
        self._detached_logged_at = -1e9  # or when updates last arrived
        self._last_roll: tuple[Any, float] = (None, -1e9)
        self._wanted_relay: tuple[Endpoint | None, float] = (None, 0.0)  # assigned relay, and since when

    def is_fresh(self, within_s: float = STALE_AFTER_S) -> bool:
        """Return whether a pulse was received within this time."""
        return asyncio.get_running_loop().time() - self._pulsed_at <= within_s

    def age_s(self) -> float | None:
        """Return the seconds since the last pulse; None if there was none."""
        return asyncio.get_running_loop().time() - self._pulsed_at if self._pulsed_at > 0 else None

    def set_seeds(self, ips: tuple[str, ...]) -> None:
        """Replace the seeds."""
        self._choice.set_seeds(ips)

    def suggest(self, ips: tuple[str, ...]) -> None:
        """Handle the leader's IP, from a control process that has dialled here; ignored while attached."""
        if not self.is_fresh():
            logger.info("event=leader_suggested ips={}", ",".join(ips))
            self._choice.suggest(ips)

    def parent(self) -> Endpoint | None:
        """Return the endpoint of the parent; None while not attached."""
        return self._parent if self._link is not None else None

    def is_parent_link(self, link: Link) -> bool:
        """Return whether this is the connection to the parent."""
        return link is self._link

    def on_message(self, link: Link, message: Any) -> None:
        """Handle a message of the parent."""
        now = asyncio.get_running_loop().time()
        match message:
            case Redirect(ips):
                self._choice.redirect(ips, self._parent)
                self._close_link()
            case LeaderHeartbeat() if self._latest.store(message):
                self._pulsed_at = now
                self._notify(message, None)
            case CachedPrefixUpdate():
                self._notify(message, None)
            case (
                ConfigurationUpdate()
                | UpstreamListUpdate()
                | MembershipUpdate()
                | LoadUpdate()
                | FailureUpdate()
            ):
                if self._latest.store(message):
                    self._notify(message, None)
            case UpstreamChange() | LoadStep():
                self._apply_change(link, message, now)
            case Hello(edition):
                self._takes_steps = edition >= STEPS_EDITION
                self._on_hello()

    def _apply_change(self, link: Link, message: UpstreamChange | LoadStep, now: float) -> None:
        """Apply a list change or load step; if it doesn't follow the known state, request all of it."""
        try:
            if isinstance(message, LoadStep):
                before = self._latest.apply_step(message)
                if before is not None:
                    self._notify(message, before)
                return
            known = self._latest.upstreams
            if known is None or (message.epoch, message.number) > (known.epoch, known.number):
                update = self._list_copy.apply(known, message)
                self._latest.store(update)
                self._notify(update, message)
        except GapError as error:
            if now - self._resynced_at >= RESYNC_INTERVAL_S:
                self._resynced_at = now
                logger.info("event=gap error={!r}", str(error))
                self._attach(link, whole=isinstance(message, UpstreamChange))

    def takes_steps(self) -> bool:
        """Return whether the parent takes load steps."""
        return self._takes_steps and self._link is not None

    def on_closed(self, link: Link) -> None:
        """Handle the end of a connection."""
        if link is self._link:
            self._link = None
            self._closed.set()

    async def run(self) -> None:
        """Stay attached to a parent forever."""
        while True:
            candidates, is_reparenting = self._choice.candidates(self.is_fresh(2 * STALE_AFTER_S)), False
            reached = await self._links.dial_any(candidates)
            for endpoint in candidates if reached is None else candidates[: candidates.index(reached[0])]:
                self._choice.avoid(endpoint)
            self._log_detached(candidates)
            if reached is not None:
                self._parent, self._link = reached
                self._closed.clear()
                self._attach(self._link)
                is_reparenting = await self._follow_parent(self._parent)
            if not is_reparenting:
                shares = REDIRECT_RETRY_SHARE if self._choice.follows_redirect() else (0.5, 1.5)
                await asyncio.sleep(self._retry_delay_s() * self._random.uniform(*shares))

    def _log_detached(self, asked: list[Endpoint]) -> None:
        """Log whom this process asks while it gets no updates, at most every few seconds."""
        now = asyncio.get_running_loop().time()
        if self.is_fresh(DETACHED_LOG_INTERVAL_S) or self._detached_logged_at < 0:
            self._detached_logged_at = now
        if now - self._detached_logged_at < DETACHED_LOG_INTERVAL_S:
            return
        self._detached_logged_at = now
        logger.warning("event=detached age_s={} asked={}", self.age_s(), ",".join(map(str, asked)))

    def _retry_delay_s(self) -> float:
        """Return the delay in seconds; large fleets wait longer, to leave time for electing a primary."""
        members = self._latest.members
        return RETRY_DELAY_S * max(1.0, len(members.balancers) / LARGE_FLEET if members is not None else 1.0)

    async def _follow_parent(self, parent: Endpoint) -> bool:
        """Follow the parent until it is lost; returns True if the tree has assigned another one."""
        loop = asyncio.get_running_loop()
        since = loop.time()
        while self._link is not None:
            stale_at = max(self._pulsed_at, since) + STALE_AFTER_S
            try:
                async with asyncio.timeout(max(min(PULSE_INTERVAL_S, stale_at - loop.time()), 0.01)):
                    await self._closed.wait()
                return False
            except TimeoutError:
                pass
            now = loop.time()
            self._send_roll(now)
            if now - max(self._pulsed_at, since) >= STALE_AFTER_S:
                self._choice.avoid(parent)
                self._close_link()
                return False
            if self._is_misplaced(parent, now):
                self._close_link()
                return True
        return False

    def _is_misplaced(self, parent: Endpoint, now: float) -> bool:
        """Return whether the tree has assigned another parent for a while."""
        wanted_relay = self._choice.relay()
        if wanted_relay != self._wanted_relay[0]:
            self._wanted_relay = wanted_relay, now
        if now - self._wanted_relay[1] <= REPARENT_DELAY_S or not self.is_fresh():
            return False
        return wanted_relay != parent if wanted_relay is not None else self._choice.is_relay(parent)

    def _close_link(self) -> None:
        link, self._link = self._link, None
        if link is not None:
            link.close()
        self._closed.set()

    # ---- messages to the parent

    def send(self, message: Any) -> None:
        """Send a message to the parent, if there is one."""
        if self._link is not None:
            self._link.send(message)

    def _attach(self, link: Link, whole: bool = False) -> None:
        """Send what this process already has; `whole`: request the complete list."""
        known, listed = self._latest.configuration, None if whole else self._latest.upstreams
        self._takes_steps = False  # until the parent sends its edition
        link.send(Hello(EDITION, digest_of(listed)))
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
            link.send(EpochNotice(epoch))
        self._last_roll = (None, -1e9)
        self._send_roll(asyncio.get_running_loop().time())
        self._on_attached()

    def _send_roll(self, now: float) -> None:
        """Report who is present below this process: on changes, and regularly as a sign of life."""
        if self._link is None:
            return
        members = {self._me.node: self._me, **self._below()}
        present = tuple(members[node] for node in sorted(members))
        if present != self._last_roll[0] or now - self._last_roll[1] >= ROLL_INTERVAL_S:
            self._last_roll = (present, now)
            self._link.send(PresenceReport(self._me.node, present))
