"""Orders to upstreams: one holder, whose fencing token rises with every term."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass

from config.configuration import Upstream
from config.settings import parse_address
from passpost.http1 import InvalidResponseError, ResponseReader

CALL_S = 1.0


@dataclass(frozen=True, slots=True)
class Taken:
    """The upstream does it, or has it done already."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The upstream will not: its answer's status."""

    status: int


@dataclass(frozen=True, slots=True)
class Unclear:
    """No answer: it may have been taken."""

    reason: str


Outcome = Taken | Rejected | Unclear


async def is_there(upstream: Upstream) -> bool:
    """Whether a connection to an upstream comes up."""
    try:
        async with asyncio.timeout(CALL_S):
            _, writer = await asyncio.open_connection(*parse_address(upstream.addr))
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True


async def change_phase(upstream: Upstream, phase: str, owner: str, fence: int) -> Outcome:
    """Order an upstream to play another part."""
    body = json.dumps({"op": "phase", "phase": phase, "owner": owner, "fence": fence}).encode()
    head = (
        f"POST /api/order HTTP/1.1\r\nHost: {upstream.addr}\r\nMastturn-Target-Upstream: {upstream.id}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    try:
        async with asyncio.timeout(CALL_S):
            reader, writer = await asyncio.open_connection(*parse_address(upstream.addr))
            try:
                writer.write(head.encode("latin-1") + body)
                answers = ResponseReader()
                while data := await reader.read(4096):
                    if (answer := answers.feed(data)) is not None:
                        return Taken() if answer.status in (200, 202) else Rejected(answer.status)
                return Unclear("the connection ended")
            finally:
                writer.close()
    except (OSError, TimeoutError, InvalidResponseError) as error:
        return Unclear(f"{type(error).__name__}: {error}")
