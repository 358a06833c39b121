"""Reads the platform's upstream list while no control process is reachable.

All balancers without a control process share a part of the platform's request rate. If that part lets each
of them read the list every few seconds, they all do, in turn. Otherwise the first balancer of each zone, in
relay order, reads the list for its zone and sends it to the others; a balancer that receives nothing from
that reader reads the list itself at its own scheduled time.
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
from dissemination.latest_updates import LatestUpdates
from dissemination.list_changes import apply_change, diff_lists, unchanged_list
from dissemination.messages import PresentBalancer, UpstreamChange, UpstreamListUpdate
from dissemination.relay_tree import heads_of
from transport.endpoint import Endpoint
from transport.links import Links
from transport.wire import compress_frame

CONTROL_TIMEOUT_S = 1.8  # without an update from a control process for this long, the list is read here
RATE_SHARE = 0.25  # of the platform's rate that all balancers together may use without a control process
MIN_READ_INTERVAL_S = 1.5  # between two reads of one balancer
MAX_FULL_CYCLE_S = 6.0  # if all balancers can read once within this, no zone readers are needed
MISSED_READS = 2.0  # after this many periods without a list from its reader, a balancer reads the list itself
DEFAULT_PAGE_SIZE = 50  # assumed upstreams per page until the list has been read here


@dataclass(frozen=True, slots=True)
class ReadSchedule:
    """When one balancer reads the list (in seconds), the recipients, and the reader that serves it."""

    period_s: float
    offset_s: float
    recipients: tuple[str, ...] = ()  # IPs
    reader_ip: str = ""  # the balancer that reads on behalf of this one
    suppressed_s: float = 0.0  # own reads wait this long after each list from the reader


def schedule_reads(
    me: PresentBalancer, members: Sequence[PresentBalancer], pages: int, pages_per_s: float
) -> ReadSchedule:
    """Return the read schedule of one balancer while no control process is reachable.

    `pages_per_s`: page requests per second that all balancers together may send.
    """
    count = max(len(members), 1)
    full_cycle_s = count * pages / pages_per_s
    index, own = next(((i, m) for i, m in enumerate(members) if m.node == me.node), (0, None))
    if full_cycle_s <= MAX_FULL_CYCLE_S or own is None:
        period = max(MIN_READ_INTERVAL_S, full_cycle_s)
        return ReadSchedule(period, period * index / count)
    zone_readers = heads_of(members)
    # Zone readers get half of the rate.
    read_s = max(MIN_READ_INTERVAL_S, 2 * len(zone_readers) * pages / pages_per_s)
    reader = zone_readers[own.zone]
    if reader is own:
        zone = tuple(m.ip for m in members if m.zone == own.zone and m is not own)
        return ReadSchedule(read_s, read_s * list(zone_readers).index(own.zone) / len(zone_readers), zone)
    suppressed_s = MISSED_READS * read_s
    return ReadSchedule(
        2 * full_cycle_s, suppressed_s + 2 * full_cycle_s * index / count, (), reader.ip, suppressed_s
    )


class FallbackListReader:
    """Reads the platform's list for one balancer, or receives it from the reader of its zone."""

    def __init__(
        self,
        me: PresentBalancer,
        platform: PlatformList,
        latest: LatestUpdates,
        links: Links,
        is_fresh: Callable[[float], bool],
        on_update: Callable[[UpstreamListUpdate, UpstreamChange | None], None],
        port: int,
    ) -> None:
        """`is_fresh`: whether a control process sent an update within the given seconds.

        `on_update`: called with a list that is new here and its difference from the previous list.
        `port`: the port on which balancers listen for each other.
        """
        self._port = port
        self._me, self._platform, self._latest, self._links = me, platform, latest, links
        self._is_fresh, self._on_update = is_fresh, on_update
        self._pages_per_s = math.inf
        self._cold_times = ColdTimes()
        self._next_read_at: float | None = None
        self._reader_list_at = -1e9  # time of the last list from the reader of this zone
        self.upstream_count = 0

    def set_rate(self, pages_per_s: float) -> None:
        """Set the page requests per second that the platform allows to all its clients."""
        self._pages_per_s = pages_per_s * RATE_SHARE
        self._platform.set_rate(self._pages_per_s)

    def seconds_until_due(self, now: float, limit_s: float) -> float:
        """Return the time until the next read, at most `limit_s`."""
        return limit_s if self._next_read_at is None else min(max(self._next_read_at - now, 0.0), limit_s)

    async def read_if_due(self, now: float) -> None:
        """Read the list if no control process is reachable and a read is due."""
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

    def on_message(self, ip: str, message: UpstreamListUpdate | UpstreamChange) -> None:
        """Handle a list from another balancer: only the zone's reader counts, and only without control."""
        if self._is_fresh(CONTROL_TIMEOUT_S) or ip != self._schedule().reader_ip:
            return
        if isinstance(message, UpstreamChange):
            try:
                message = apply_change(self._latest.upstreams, message)
            except GapError:
                return  # the base differs: the reader sends a full list next, or the list is read here
        self._reader_list_at = asyncio.get_running_loop().time()
        self._store_page(message.page)

    def _store_page(self, page: bytes) -> bool:
        """Store a list read from the platform under a number of its own; returns whether it was new here."""
        known = self._latest.upstreams
        if known is not None and known.page == page:
            return False
        epoch, number = (known.epoch, known.number) if known is not None else (0, 0)
        news = UpstreamListUpdate(epoch, number + 1, page)
        is_new = self._latest.store(news)
        if is_new:
            self._on_update(news, diff_lists(known, news))
        return is_new
