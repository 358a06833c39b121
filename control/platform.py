"""Reads the list of upstreams from the platform's API, page by page, within its rate limit."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from typing import Any
from urllib.parse import quote

from config.settings import Address
from control import cold_times
from dissemination.list_changes import encode_list
from passpost.discovery import DiscoveryConnection

CALL_TIMEOUT_S = 1.0  # for one page
MAX_PAGES = 256
# Of the platform's rate limit; the rest is left for other callers and differences between clocks.
RATE_SHARE = 0.8
RATE_WINDOW_S = 1.0  # the rate is kept within any window of this length
SPARE_CACHED_PAGES = 8
PAGE_ATTEMPTS = 3  # of a page after the first, so that pages already read are not lost


class PlatformError(Exception):
    """The list can't be read; the message says why."""


class PlatformList:
    """Client for the platform's list of upstreams."""

    def __init__(self, address: Address, calls_s: float = 50.0) -> None:
        """`calls_s`: pages that may be requested per second."""
        self._address = address
        self._connection = DiscoveryConnection(address)
        self.pages = 1  # of the last complete list; each is a call
        self.calls = 0  # total
        self._call_times: deque[float] = deque()
        self._missing: set[str] = set()  # ids that were on the list before last and not on the last one
        self._last: list[dict[str, Any]] = []
        # By call: its last body, and that parsed.
        self._page_cache: dict[str, tuple[bytes, dict[str, Any]]] = {}
        self.set_rate(calls_s)

    def set_rate(self, calls_s: float) -> None:
        """Set the number of calls per second."""
        self._max_calls = max(int(calls_s * RATE_WINDOW_S), 1)

    def set_address(self, address: Address) -> None:
        """Set the address of the platform."""
        if address != self._address:
            self._connection.close()
            self._address, self._connection = address, DiscoveryConnection(address)

    async def read(self) -> list[dict[str, Any]]:
        """Return all entries of the list; raises PlatformError."""
        entries: list[dict[str, Any]] = []
        target = "/upstreams"
        for number in range(1, MAX_PAGES + 1):
            page = await self._page_with_retries(target, PAGE_ATTEMPTS if number > 1 else 1)
            entries += [entry for entry in page.get("upstreams") or [] if isinstance(entry, dict)]
            cursor = page.get("next_cursor")
            if cursor is None:
                self.pages = number
                if len(self._page_cache) > 2 * number + SPARE_CACHED_PAGES:
                    self._page_cache.clear()  # drops pages that are no longer requested
                return self._merge(entries)
            target = f"/upstreams?page_token={quote(str(cursor), safe='')}"
        raise PlatformError("the list has too many pages")

    def _merge(self, entries: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Return a list of several pages with entries that are missing for the first time.

        The list may change while its pages are read: an entry that is missing once may have moved to another
        page.
        """
        if self.pages > 1:
            entries = list({str(entry.get("id")): entry for entry in entries}.values())
            listed = {str(entry.get("id")) for entry in entries}
            missing = {
                str(entry.get("id")): entry for entry in self._last if str(entry.get("id")) not in listed
            }
            entries += [entry for name, entry in missing.items() if name not in self._missing]
            self._missing = set(missing)
        self._last = entries
        return entries

    async def _page_with_retries(self, target: str, attempts: int) -> dict[str, Any]:
        """Return a page, retrying within the rate limit; raises PlatformError."""
        for attempts_left in range(attempts - 1, -1, -1):
            await self._wait_for_rate()
            try:
                return await self._page(target)
            except PlatformError:
                if not attempts_left:
                    raise
                await asyncio.sleep(RATE_WINDOW_S / self._max_calls)
        raise PlatformError("no attempt was made")

    async def _wait_for_rate(self) -> None:
        """Wait until the rate limit allows another call."""
        loop = asyncio.get_running_loop()
        while len(self._call_times) >= self._max_calls:
            wait = self._call_times[0] + RATE_WINDOW_S - loop.time()
            if wait <= 0:
                self._call_times.popleft()
            else:
                await asyncio.sleep(max(wait, 0.001))
        self._call_times.append(loop.time())

    async def _page(self, target: str) -> dict[str, Any]:
        self.calls += 1
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                response = await self._connection.get(target)
        except Exception as error:  # any failure means that this page can't be read
            self._connection.close()
            raise PlatformError(f"{type(error).__name__}: {error}") from None
        if response.status != 200:
            raise PlatformError(f"status {response.status}")
        cached = self._page_cache.get(target)
        if cached is not None and cached[0] == response.body:
            return cached[1]
        try:
            page = json.loads(response.body)
        except (ValueError, RecursionError):
            raise PlatformError("no JSON in the response") from None
        if not isinstance(page, dict) or not isinstance(page.get("upstreams"), list):
            raise PlatformError("no list of upstreams in the response")
        self._page_cache[target] = response.body, page
        return page


def pack(entries: list[dict[str, Any]]) -> bytes:
    """Encode the list for balancers; equal entries give equal bytes."""
    return encode_list([{k: v for k, v in entry.items() if v or k != cold_times.FIELD} for entry in entries])
