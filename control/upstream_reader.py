"""The platform's list as the leader reads it, and as it goes to the balancers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from loguru import logger

from config.settings import Settings, parse_address
from control.cold_times import ColdTimes
from control.platform import RATE_SHARE, PlatformError, PlatformList, pack

LIST_S = 1.0  # the platform's list is read so often; a drain is told within this and its lag
LEAST_S = 0.02  # between two readings of a list of many pages, which takes longer

Entries = list[dict[str, Any]]


class UpstreamReader:
    """Reads the list again and again while this process leads."""

    def __init__(self, settings: Settings, listed: Callable[[], None]) -> None:
        """`listed`: the list has been read."""
        self._listed = listed
        self.entries: Entries = []
        self._cold_times = ColdTimes()
        self._dressed: Entries = []  # the entries as balancers are to see them,
        self._page = pack([])  # and as they go to them
        address = parse_address(settings.cloud_api.addr)
        self._platform = PlatformList(address, settings.cloud_api.rate_per_s * RATE_SHARE)

    def reconfigure(self, settings: Settings) -> None:
        """The settings file has changed."""
        self._platform.set_address(parse_address(settings.cloud_api.addr))
        self._platform.set_rate(settings.cloud_api.rate_per_s * RATE_SHARE)

    def calls(self) -> int:
        """How often the platform was asked for a page of its list."""
        return self._platform.calls

    def page(self, dress: Callable[[Entries, float], Entries]) -> bytes:
        """The list as it goes to balancers; `dress`: how they are to see its entries at a time (s)."""
        dressed = dress(self.entries, asyncio.get_running_loop().time())
        if dressed != self._dressed:  # entries that were told again as they were are the same objects
            self._dressed, self._page = dressed, pack(dressed)
        return self._page

    async def run(self, leads: asyncio.Event) -> None:
        """Read whenever `leads` is set."""
        loop = asyncio.get_running_loop()
        unread = ""
        while True:
            await leads.wait()
            began = loop.time()
            try:
                entries = await self._platform.read()
                self.entries = self._cold_times.stabilize(entries, loop.time())
            except PlatformError as error:
                if str(error) != unread:
                    unread = str(error)
                    logger.warning("event=list_unread error={!r}", unread)
            else:
                unread = ""
                self._listed()
            took = loop.time() - began if self._platform.pages > 1 else 0.0
            await asyncio.sleep(max(LIST_S - took, LEAST_S))
