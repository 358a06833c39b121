"""Read-only HTTP calls on the readiness address of a balancer; imported on the first request.

A request head is limited to 4 kB. One request is answered per connection, which is then closed.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Coroutine
from typing import Any
from urllib.parse import parse_qs

from loguru import logger

from mastturnd import balancer_report, explaining, figures
from mastturnd.pace import RateLimiter
from mastturnd.reported import ReportedRole
from transport.http_server import REASONS

_RATE_LIMITERS = {target: RateLimiter() for target in ("/api/status", "/api/explain", "/metrics")}
_tasks: set[asyncio.Task[None]] = set()


def handle_request(role: ReportedRole, head: bytes, transport: asyncio.Transport) -> bool:
    """Answer a request and close its connection; returns False if the path is not served here."""
    request_line = head.split(b"\r\n", 1)[0].split(b" ")
    if len(request_line) != 3 or request_line[0] != b"GET":
        return False
    target, _, query = request_line[1].decode("latin-1").partition("?")
    if target not in _RATE_LIMITERS:
        return False
    loop = asyncio.get_running_loop()
    if not _RATE_LIMITERS[target].allows(loop.time()):
        _write(transport, 429, _error("asked too often; ask again in a second"))
    elif target == "/metrics":
        _run_in_background(_write_metrics(role, transport), transport)
    elif target == "/api/status":
        _write(transport, 200, json.dumps(balancer_report.status(role)).encode())
    else:
        _run_in_background(_write_explanation(role, query, transport), transport)
    return True


def _run_in_background(work: Coroutine[Any, Any, None], transport: asyncio.Transport) -> None:
    """Write a response in a task; an exception fails only that request."""

    async def guarded() -> None:
        try:
            await work
        except Exception:
            logger.exception("event=call_failed")
            _write(transport, 500, _error("the call failed; see the log"))

    task = asyncio.get_running_loop().create_task(guarded())
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)


async def _write_metrics(role: ReportedRole, transport: asyncio.Transport) -> None:
    _write(
        transport, 200, await figures.render_text("mastturnd.balancer_figures", role), figures.CONTENT_TYPE
    )


async def _write_explanation(role: ReportedRole, query: str, transport: asyncio.Transport) -> None:
    requested = (parse_qs(query[:200]).get("next") or ["0"])[0]
    if (
        not requested.isascii()
        or not requested.isdigit()
        or int(requested[:6]) > explaining.MAX_RECORDED_CHOICES
    ):
        _write(transport, 400, _error(f"next is no number up to {explaining.MAX_RECORDED_CHOICES}; give one"))
        return
    explanation = explaining.describe_groups(role.balancer, role.settings.node)
    if int(requested):
        if explaining.is_recording(role.balancer):
            _write(transport, 429, _error("choices are being recorded already; ask again in a moment"))
            return
        explanation["choices"] = await explaining.record(role.balancer, int(requested))
    _write(transport, 200, json.dumps(explanation).encode())


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
