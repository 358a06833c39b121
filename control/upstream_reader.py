"""Reads the platform's list while this process leads, and encodes it for balancers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from loguru import logger

from config.settings import Settings, parse_address
from control.cold_times import ColdTimes
from control.platform import RATE_SHARE, PlatformError, PlatformList, pack

READ_INTERVAL_S = 1.0  # bounds, with the lag of the list, how late a drain is published
MIN_INTERVAL_S = 0.02  # between two reads of a list of many pages, which takes longer to read

Entries = list[dict[str, Any]]


class UpstreamReader:
    """Reads the list repeatedly while this process leads."""

    def __init__(self, settings: Settings, on_read: Callable[[], None]) -> None:
        """`on_read`: called after the list has been read."""
        self._on_read = on_read
        self.entries: Entries = []
        self._cold_times = ColdTimes()
        self._shown: Entries = []  # the entries as balancers see them
        self._page = pack([])  # those entries, encoded
        address = parse_address(settings.cloud_api.addr)
        self._platform = PlatformList(address, settings.cloud_api.rate_per_s * RATE_SHARE)

    def reconfigure(self, settings: Settings) -> None:
        """Apply a changed settings file."""
        self._platform.set_address(parse_address(settings.cloud_api.addr))
        self._platform.set_rate(settings.cloud_api.rate_per_s * RATE_SHARE)

    def calls(self) -> int:
        """Return the number of calls to the platform's list."""
        return self._platform.calls

    def page(self, transform: Callable[[Entries, float], Entries]) -> bytes:
        """Return the encoded list; `transform`: maps entries and the time (s) to what balancers see."""
        shown = transform(self.entries, asyncio.get_running_loop().time())
        if shown != self._shown:  # unchanged entries are the same objects, so this comparison is cheap
            self._shown, self._page = shown, pack(shown)
        return self._page

    async def run(self, is_leading: asyncio.Event) -> None:
        """Read the list repeatedly while `is_leading` is set."""
        loop = asyncio.get_running_loop()
        last_error = ""
        while True:
            await is_leading.wait()
            started_at = loop.time()
            try:
                entries = await self._platform.read()
                self.entries = self._cold_times.stabilize(entries, loop.time())
            except PlatformError as error:
                if str(error) != last_error:
                    last_error = str(error)
                    logger.warning("event=list_unread error={!r}", last_error)
            else:
                last_error = ""
                self._on_read()
            elapsed_s = loop.time() - started_at if self._platform.pages > 1 else 0.0
            await asyncio.sleep(max(READ_INTERVAL_S - elapsed_s, MIN_INTERVAL_S))
