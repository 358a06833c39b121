"""The platform's list of upstreams: asked by one of us, page by page, as often as its rate allows for."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from typing import Any
from urllib.parse import quote

from config.settings import Address
from control import cold_times
from dissemination.lists import page_of
from passpost.discovery import DiscoveryConnection

CALL_S = 1.0  # for one page
MOST_PAGES = 256
RATE_SHARE = 0.8  # of the platform's rate that the one caller uses; the rest is for others and its clock
RATE_S = 1.0  # the rate is kept within any such time
SPARE_PAGES = 8
TRIES = 3  # of a page after the first: what was read before it stays


class PlatformError(Exception):
    """No good list, in a few words."""


class PlatformList:
    """Asks the platform for its whole list."""

    def __init__(self, address: Address, calls_s: float = 50.0) -> None:
        """`calls_s`: so often a second a page may be asked for."""
        self._address = address
        self._line = DiscoveryConnection(address)
        self.pages = 1  # that the last whole list took: each is a call
        self.calls = 0  # in all
        self._calls: deque[float] = deque()
        self._missing: set[str] = set()  # that were on the list before last and not on the last one
        self._last: list[dict[str, Any]] = []
        self._pages: dict[str, tuple[bytes, dict[str, Any]]] = {}  # by call: its last answer, as read
        self.allow(calls_s)

    def allow(self, calls_s: float) -> None:
        """So many calls a second from now on."""
        self._most = max(int(calls_s * RATE_S), 1)

    def move(self, address: Address) -> None:
        """The settings name another address."""
        if address != self._address:
            self._line.close()
            self._address, self._line = address, DiscoveryConnection(address)

    async def read(self) -> list[dict[str, Any]]:
        """All entries as the platform tells them; raises PlatformError."""
        entries: list[dict[str, Any]] = []
        target = "/upstreams"
        for number in range(1, MOST_PAGES + 1):
            page = await self._surely(target, TRIES if number > 1 else 1)
            entries += [e for e in page.get("upstreams") or [] if isinstance(e, dict)]
            cursor = page.get("next_cursor")
            if cursor is None:
                self.pages = number
                if len(self._pages) > 2 * number + SPARE_PAGES:
                    self._pages.clear()  # of calls that are asked no more
                return self._whole(entries)
            target = f"/upstreams?page_token={quote(str(cursor), safe='')}"
        raise PlatformError("the list has no end")

    def _whole(self, entries: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """A list of many pages changes while it is read: what is missing once may be on another page."""
        if self.pages > 1:
            entries = list({str(e.get("id")): e for e in entries}.values())
            here = {str(e.get("id")) for e in entries}
            missing = {str(e.get("id")): e for e in self._last if str(e.get("id")) not in here}
            entries += [e for name, e in missing.items() if name not in self._missing]
            self._missing = set(missing)
        self._last = entries
        return entries

    async def _surely(self, target: str, tries: int) -> dict[str, Any]:
        """A page, asked for again if need be, within the rate."""
        for left in range(tries - 1, -1, -1):
            await self._turn()
            try:
                return await self._page(target)
            except PlatformError:
                if not left:
                    raise
                await asyncio.sleep(RATE_S / self._most)
        raise PlatformError("not asked")

    async def _turn(self) -> None:
        """Wait until a call is within the rate."""
        loop = asyncio.get_running_loop()
        while len(self._calls) >= self._most:
            wait = self._calls[0] + RATE_S - loop.time()
            if wait <= 0:
                self._calls.popleft()
            else:
                await asyncio.sleep(max(wait, 0.001))
        self._calls.append(loop.time())

    async def _page(self, target: str) -> dict[str, Any]:
        self.calls += 1
        try:
            async with asyncio.timeout(CALL_S):
                answer = await self._line.get(target)
        except Exception as error:  # whatever it is, this page is not to be had
            self._line.close()
            raise PlatformError(f"{type(error).__name__}: {error}") from None
        if answer.status != 200:
            raise PlatformError(f"status {answer.status}")
        known = self._pages.get(target)
        if known is not None and known[0] == answer.body:
            return known[1]
        try:
            page = json.loads(answer.body)
        except (ValueError, RecursionError):
            raise PlatformError("no JSON") from None
        if not isinstance(page, dict) or not isinstance(page.get("upstreams"), list):
            raise PlatformError("no list")
        self._pages[target] = answer.body, page
        return page


def pack(entries: list[dict[str, Any]]) -> bytes:
    """The list as it goes to the balancers, alike for alike entries."""
    return page_of([{k: v for k, v in e.items() if v or k != cold_times.FIELD} for e in entries])
