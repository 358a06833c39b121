"""What a balancer tells whoever asks at the address of its readiness; loaded when somebody first asks.

All of it only reads. A question is a head of at most 4 kB, answered once, and the connection ends.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Coroutine
from typing import Any
from urllib.parse import parse_qs

from loguru import logger

from mastturnd import balancer_report, explaining, figures
from mastturnd.pace import Pace
from mastturnd.reported import ReportedRole
from transport.calls import REASONS

_PACES = {target: Pace() for target in ("/api/status", "/api/explain", "/metrics")}
_tasks: set[asyncio.Task[None]] = set()


def take(role: ReportedRole, head: bytes, transport: asyncio.Transport) -> bool:
    """Answer a question and end its connection; False if it is none of ours."""
    words = head.split(b"\r\n", 1)[0].split(b" ")
    if len(words) != 3 or words[0] != b"GET":
        return False
    target, _, query = words[1].decode("latin-1").partition("?")
    if target not in _PACES:
        return False
    loop = asyncio.get_running_loop()
    if not _PACES[target].allows(loop.time()):
        _write(transport, 429, _error("asked too often; ask again in a second"))
    elif target == "/metrics":
        _later(_figures(role, transport), transport)
    elif target == "/api/status":
        _write(transport, 200, json.dumps(balancer_report.status(role)).encode())
    else:
        _later(_explain(role, query, transport), transport)
    return True


def _later(work: Coroutine[Any, Any, None], transport: asyncio.Transport) -> None:
    """Have an answer written; a fault costs that question alone."""

    async def guarded() -> None:
        try:
            await work
        except Exception:
            logger.exception("event=call_failed")
            _write(transport, 500, _error("the call failed; see the log"))

    task = asyncio.get_running_loop().create_task(guarded())
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)


async def _figures(role: ReportedRole, transport: asyncio.Transport) -> None:
    _write(transport, 200, await figures.text("mastturnd.balancer_figures", role), figures.CONTENT_TYPE)


async def _explain(role: ReportedRole, query: str, transport: asyncio.Transport) -> None:
    wanted = (parse_qs(query[:200]).get("next") or ["0"])[0]
    if not wanted.isascii() or not wanted.isdigit() or int(wanted[:6]) > explaining.MOST_CHOICES:
        _write(transport, 400, _error(f"next is no number up to {explaining.MOST_CHOICES}; give one"))
        return
    found = explaining.standing(role.balancer, role.settings.node)
    if int(wanted):
        if explaining.is_recording(role.balancer):
            _write(transport, 429, _error("choices are being recorded already; ask again in a moment"))
            return
        found["choices"] = await explaining.record(role.balancer, int(wanted))
    _write(transport, 200, json.dumps(found).encode())


def _error(text: str) -> bytes:
    return json.dumps({"error": text}).encode()


def _write(
    transport: asyncio.Transport, status: int, body: bytes, content_type: str = "application/json"
) -> None:
    if transport.is_closing():
        return
    reason = REASONS[status]
    transport.write(
        f"HTTP/1.1 {status} {reason}\r\nContent-Type: {content_type}\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode("latin-1")
        + body
    )
    transport.close()
