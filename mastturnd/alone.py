"""The platform's list while no control process is heard of: who asks for it, how often, and who is told.

All balancers that are alone share a part of the platform's rate. Where that lets each of them read the list
every few seconds they do, in schedule. Where they are too many, the first of each zone, by the order of the
relays, reads it for its zone and tells the others; whoever hears nothing of it reads it in its own schedule.
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

CONTROL_TIMEOUT_S = 1.8  # without news for so long we read the platform's list ourselves
RATE_SHARE = 0.25  # of the platform's rate that all balancers may use when they are alone
MIN_READ_INTERVAL_S = 1.5  # between two readings of one balancer
MAX_FULL_CYCLE_S = 6.0  # a schedule of all that is no longer than this needs no readers for others
MISSED_READS = 2.0  # so many of a reader's periods without its word, and we read ourselves
DEFAULT_PAGE_SIZE = 50  # upstreams on a page of the platform's list, until we have read it ourselves


@dataclass(frozen=True, slots=True)
class ReadSchedule:
    """When one balancer reads the list, in seconds; whom it tells, and whose word spares it."""

    period_s: float
    offset_s: float
    recipients: tuple[str, ...] = ()  # IPs
    reader_ip: str = ""  # the balancer that reads on behalf of this one
    suppressed_s: float = 0.0  # own reads are suppressed for this long after each list from the reader


def schedule_reads(me: Present, members: Sequence[Present], pages: int, pages_per_s: float) -> ReadSchedule:
    """The schedule of one balancer while all are alone; `calls_s`: pages a second that all may ask for."""
    count = max(len(members), 1)
    full_cycle_s = count * pages / pages_per_s
    index, own = next(((i, m) for i, m in enumerate(members) if m.node == me.node), (0, None))
    if full_cycle_s <= MAX_FULL_CYCLE_S or own is None:
        period = max(MIN_READ_INTERVAL_S, full_cycle_s)
        return ReadSchedule(period, period * index / count)
    zone_readers = heads_of(members)
    read_s = max(
        MIN_READ_INTERVAL_S, 2 * len(zone_readers) * pages / pages_per_s
    )  # half of the rate is theirs
    reader = zone_readers[own.zone]
    if reader is own:
        zone = tuple(m.ip for m in members if m.zone == own.zone and m is not own)
        return ReadSchedule(read_s, read_s * list(zone_readers).index(own.zone) / len(zone_readers), zone)
    suppressed_s = MISSED_READS * read_s
    return ReadSchedule(
        2 * full_cycle_s, suppressed_s + 2 * full_cycle_s * index / count, (), reader.ip, suppressed_s
    )


class FallbackListReader:
    """One balancer's part in it."""

    def __init__(
        self,
        me: Present,
        platform: PlatformList,
        latest: LatestUpdates,
        links: Links,
        is_fresh: Callable[[float], bool],
        on_update: Callable[[UpstreamNews, UpstreamChange | None], None],
        port: int,
    ) -> None:
        """`is_fresh`: whether a control process was heard of within so many seconds.

        `told`: a list that is new here, and what has changed in it. `port`: where balancers hear each other.
        """
        self._port = port
        self._me, self._platform, self._latest, self._links = me, platform, latest, links
        self._is_fresh, self._on_update = is_fresh, on_update
        self._pages_per_s = math.inf
        self._cold_times = ColdTimes()
        self._next_read_at: float | None = None
        self._reader_list_at = -1e9  # when our zone's reader was last heard
        self.upstream_count = 0  # upstreams

    def set_rate(self, pages_per_s: float) -> None:
        """So many pages a second of the platform's list may be asked for by all."""
        self._pages_per_s = pages_per_s * RATE_SHARE
        self._platform.set_rate(self._pages_per_s)

    def seconds_until_due(self, now: float, limit_s: float) -> float:
        """How long there is nothing to do."""
        return limit_s if self._next_read_at is None else min(max(self._next_read_at - now, 0.0), limit_s)

    async def read_if_due(self, now: float) -> None:
        """Read the list if we are alone and it is our schedule."""
        if self._is_fresh(CONTROL_TIMEOUT_S) or self._latest.configuration is None:
            self._next_read_at = None
            return
        schedule = self._schedule()
        if self._next_read_at is None:
            self._next_read_at = now + schedule.offset_s
        if schedule.reader_ip:
            self._next_read_at = max(self._next_read_at, self._reader_list_at + schedule.suppressed_s)
        if now >= self._next_read_at:
            self._next_read_at = now + schedule.period_s
            await self._read(schedule)

    def _schedule(self) -> ReadSchedule:
        pages = max(self._platform.pages, math.ceil(self.upstream_count / DEFAULT_PAGE_SIZE))
        members = self._latest.members
        return schedule_reads(
            self._me, members.balancers if members is not None else (), pages, self._pages_per_s
        )

    async def _read(self, schedule: ReadSchedule) -> None:
        try:
            entries = await self._platform.read()
        except PlatformError as error:
            logger.warning("event=list_unread error={!r}", str(error))
            return
        if self._is_fresh(CONTROL_TIMEOUT_S):
            return
        page = pack(self._cold_times.stabilize(entries, asyncio.get_running_loop().time()))
        is_new, news, kinds = self._store_page(page), self._latest.upstreams, self._links.kinds
        if news is None or not schedule.recipients:
            return
        frame = compress_frame(kinds.encode(news)) if is_new else kinds.encode(unchanged_list(news))
        for ip in schedule.recipients:
            self._links.send_frame(Endpoint(ip, self._port), frame)

    def on_message(self, ip: str, message: UpstreamNews | UpstreamChange) -> None:
        """A balancer's word on the list: that of our zone's reader counts while we are alone."""
        if self._is_fresh(CONTROL_TIMEOUT_S) or ip != self._schedule().reader_ip:
            return
        if isinstance(message, UpstreamChange):
            try:
                message = apply_change(self._latest.upstreams, message)
            except GapError:
                return  # we have another: its next change comes whole, or we read it ourselves
        self._reader_list_at = asyncio.get_running_loop().time()
        self._store_page(message.page)

    def _store_page(self, page: bytes) -> bool:
        """A list as the platform gave it, under a stamp of our own; whether it was new here."""
        known = self._latest.upstreams
        if known is not None and known.page == page:
            return False
        epoch, number = (known.epoch, known.number) if known is not None else (0, 0)
        news = UpstreamNews(epoch, number + 1, page)
        is_new = self._latest.store(news)
        if is_new:
            self._on_update(news, diff_lists(known, news))
        return is_new
