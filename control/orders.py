"""Sends orders to upstreams, with a fencing token that rises with every term."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass

from config.configuration import Upstream
from config.settings import parse_address
from passpost.http1 import InvalidResponseError, ResponseReader

CALL_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class Taken:
    """The upstream executes the order or has already done so."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The upstream refuses the order with this HTTP status."""

    status: int


@dataclass(frozen=True, slots=True)
class Unclear:
    """No answer: the order may have been executed."""

    reason: str


Outcome = Taken | Rejected | Unclear


async def is_reachable(upstream: Upstream) -> bool:
    """Return whether a connection to an upstream can be established."""
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            _, writer = await asyncio.open_connection(*parse_address(upstream.addr))
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True


async def change_phase(upstream: Upstream, phase: str, owner: str, fence: int) -> Outcome:
    """Order an upstream to change its phase, and return the outcome."""
    body = json.dumps({"op": "phase", "phase": phase, "owner": owner, "fence": fence}).encode()
    head = (
        f"POST /api/order HTTP/1.1\r\nHost: {upstream.addr}\r\nMastturn-Target-Upstream: {upstream.id}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*parse_address(upstream.addr))
            try:
                writer.write(head.encode("latin-1") + body)
                parser = ResponseReader()
                while data := await reader.read(4096):
                    if (response := parser.feed(data)) is not None:
                        return Taken() if response.status in (200, 202) else Rejected(response.status)
                return Unclear("the connection was closed without a response")
            finally:
                writer.close()
    except (OSError, TimeoutError, InvalidResponseError) as error:
        return Unclear(f"{type(error).__name__}: {error}")
