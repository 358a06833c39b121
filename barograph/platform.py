"""The platform's list of upstreams: asked by one of us, all pages, as often as its rate allows for."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from urllib.parse import quote

from passpost.discovery import Line
from screen.settings import Address

CALL_S = 1.0  # for one page
MOST_PAGES = 256


class PlatformError(Exception):
    """No good list, in a few words."""


class PlatformList:
    """Asks the platform for its whole list."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._line = Line(address)
        self.pages = 1  # that the last whole list took: each is a call
        self.calls = 0  # in all

    def move(self, address: Address) -> None:
        """The settings name another address."""
        if address != self._address:
            self._line.hang_up()
            self._address, self._line = address, Line(address)

    async def read(self) -> list[dict[str, Any]]:
        """All entries as the platform tells them, `cold_left_ms` left out; raises PlatformError."""
        entries: list[dict[str, Any]] = []
        target = "/upstreams"
        for number in range(1, MOST_PAGES + 1):
            page = await self._page(target)
            entries += [e for e in page.get("upstreams") or [] if isinstance(e, dict)]
            cursor = page.get("next_cursor")
            if cursor is None:
                self.pages = number
                return entries
            target = f"/upstreams?page_token={quote(str(cursor), safe='')}"
        raise PlatformError("the list has no end")

    async def _page(self, target: str) -> dict[str, Any]:
        self.calls += 1
        try:
            async with asyncio.timeout(CALL_S):
                answer = await self._line.get(target)
        except Exception as error:  # whatever it is, this page is not to be had
            self._line.hang_up()
            raise PlatformError(f"{type(error).__name__}: {error}") from None
        if answer.status != 200:
            raise PlatformError(f"status {answer.status}")
        try:
            page = json.loads(answer.body)
        except (ValueError, RecursionError):
            raise PlatformError("no JSON") from None
        if not isinstance(page, dict) or not isinstance(page.get("upstreams"), list):
            raise PlatformError("no list")
        return page


def pack(entries: list[dict[str, Any]]) -> bytes:
    """The list as it goes to the balancers, alike for alike entries."""
    kept = [{k: v for k, v in e.items() if k != "cold_left_ms"} for e in entries]
    kept.sort(key=lambda e: str(e.get("id")))
    return json.dumps({"upstreams": kept}, separators=(",", ":"), sort_keys=True).encode()
