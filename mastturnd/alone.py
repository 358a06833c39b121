"""The platform's list while no control process is heard of: who asks for it, how often, and who is told.

All balancers that are alone share a part of the platform's rate. Where that lets each of them read the list
every few seconds they do, in turn. Where they are too many, the first of each zone, by the order of the
relays, reads it for its zone and tells the others; whoever hears nothing of it reads it in its own turn.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from loguru import logger

from config.errors import GapError
from control.cold_times import ColdTimes
from control.platform import PlatformError, PlatformList, pack
from dissemination.bulletin import LatestUpdates
from dissemination.lists import apply_change, diff_lists, unchanged_list
from dissemination.messages import Present, UpstreamChange, UpstreamNews
from dissemination.relays import heads_of
from transport.endpoint import Endpoint
from transport.links import Links
from transport.wire import compress_frame

ALONE_S = 1.8  # without news for so long we read the platform's list ourselves
SHARE = 0.25  # of the platform's rate that all balancers may use when they are alone
LEAST_S = 1.5  # between two readings of one balancer
EACH_S = 6.0  # a turn of all that is no longer than this needs no readers for others
MISSED = 2.0  # so many of a reader's periods without its word, and we read ourselves
PAGE = 50  # upstreams on a page of the platform's list, until we have read it ourselves


@dataclass(frozen=True, slots=True)
class Turn:
    """When one balancer reads the list, in seconds; whom it tells, and whose word spares it."""

    period: float
    offset: float
    tells: tuple[str, ...] = ()  # IPs
    reader: str = ""  # the IP of who reads for us
    spared_s: float = 0.0  # by each of its words


def turn_of(me: Present, members: Sequence[Present], pages: int, calls_s: float) -> Turn:
    """The turn of one balancer while all are alone; `calls_s`: pages a second that all may ask for."""
    count = max(len(members), 1)
    whole = count * pages / calls_s
    place, mine = next(((i, m) for i, m in enumerate(members) if m.node == me.node), (0, None))
    if whole <= EACH_S or mine is None:
        period = max(LEAST_S, whole)
        return Turn(period, period * place / count)
    heads = heads_of(members)
    read_s = max(LEAST_S, 2 * len(heads) * pages / calls_s)  # half of the rate is theirs
    reader = heads[mine.zone]
    if reader is mine:
        zone = tuple(m.ip for m in members if m.zone == mine.zone and m is not mine)
        return Turn(read_s, read_s * list(heads).index(mine.zone) / len(heads), zone)
    spared = MISSED * read_s
    return Turn(2 * whole, spared + 2 * whole * place / count, (), reader.ip, spared)


class LoneReader:
    """One balancer's part in it."""

    def __init__(
        self,
        me: Present,
        platform: PlatformList,
        latest: LatestUpdates,
        links: Links,
        is_fresh: Callable[[float], bool],
        told: Callable[[UpstreamNews, UpstreamChange | None], None],
        port: int,
    ) -> None:
        """`is_fresh`: whether a control process was heard of within so many seconds.

        `told`: a list that is new here, and what has changed in it. `port`: where balancers hear each other.
        """
        self._port = port
        self._me, self._platform, self._latest, self._links = me, platform, latest, links
        self._is_fresh, self._told = is_fresh, told
        self._calls_s = math.inf
        self._cold_times = ColdTimes()
        self._due: float | None = None
        self._spared_at = -1e9  # when our zone's reader was last heard
        self.listed = 0  # upstreams

    def allow(self, calls_s: float) -> None:
        """So many pages a second of the platform's list may be asked for by all."""
        self._calls_s = calls_s * SHARE
        self._platform.set_rate(self._calls_s)

    def wait_s(self, now: float, most: float) -> float:
        """How long there is nothing to do."""
        return most if self._due is None else min(max(self._due - now, 0.0), most)

    async def look(self, now: float) -> None:
        """Read the list if we are alone and it is our turn."""
        if self._is_fresh(ALONE_S) or self._latest.configuration is None:
            self._due = None
            return
        turn = self._turn()
        if self._due is None:
            self._due = now + turn.offset
        if turn.reader:
            self._due = max(self._due, self._spared_at + turn.spared_s)
        if now >= self._due:
            self._due = now + turn.period
            await self._read(turn)

    def _turn(self) -> Turn:
        pages = max(self._platform.pages, math.ceil(self.listed / PAGE))
        members = self._latest.members
        return turn_of(self._me, members.balancers if members is not None else (), pages, self._calls_s)

    async def _read(self, turn: Turn) -> None:
        try:
            entries = await self._platform.read()
        except PlatformError as error:
            logger.warning("event=list_unread error={!r}", str(error))
            return
        if self._is_fresh(ALONE_S):
            return
        page = pack(self._cold_times.stabilize(entries, asyncio.get_running_loop().time()))
        is_new, news, kinds = self._take(page), self._latest.upstreams, self._links.kinds
        if news is None or not turn.tells:
            return
        frame = compress_frame(kinds.encode(news)) if is_new else kinds.encode(unchanged_list(news))
        for ip in turn.tells:
            self._links.send_frame(Endpoint(ip, self._port), frame)

    def heard(self, ip: str, message: UpstreamNews | UpstreamChange) -> None:
        """A balancer's word on the list: that of our zone's reader counts while we are alone."""
        if self._is_fresh(ALONE_S) or ip != self._turn().reader:
            return
        if isinstance(message, UpstreamChange):
            try:
                message = apply_change(self._latest.upstreams, message)
            except GapError:
                return  # we have another: its next change comes whole, or we read it ourselves
        self._spared_at = asyncio.get_running_loop().time()
        self._take(message.page)

    def _take(self, page: bytes) -> bool:
        """A list as the platform gave it, under a stamp of our own; whether it was new here."""
        known = self._latest.upstreams
        if known is not None and known.page == page:
            return False
        epoch, number = (known.epoch, known.number) if known is not None else (0, 0)
        news = UpstreamNews(epoch, number + 1, page)
        is_new = self._latest.store(news)
        if is_new:
            self._told(news, diff_lists(known, news))
        return is_new
