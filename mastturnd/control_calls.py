"""Read-only HTTP calls of a control process at `ctl`, in addition to the operators' calls."""

from __future__ import annotations

import asyncio
import importlib
import json
import sys
from typing import TYPE_CHECKING
from weakref import WeakKeyDictionary

from control.operators import OPERATOR_ROUTES
from mastturnd.pace import RateLimiter
from transport.http_server import Request, Response, json_response

if TYPE_CHECKING:
    from control.node import ControlNode
    from mastturnd.dashboard import Dashboard

# Separate, so that other callers do not use up the collector's share.
_STATUS_LIMITER, _METRICS_LIMITER, _DASHBOARD_LIMITER = (RateLimiter(), RateLimiter(), RateLimiter())
_pages: WeakKeyDictionary[ControlNode, Dashboard] = WeakKeyDictionary()  # created on the first request


def register() -> None:
    """Register the routes; importing this module has done so, and the caller needs only the import."""


def _is_rate_limited(limiter: RateLimiter) -> bool:
    return not limiter.allows(asyncio.get_running_loop().time())


def _too_many_requests() -> Response:
    return json_response(429, "asked too often; ask again in a second", Retry_After="1")


@OPERATOR_ROUTES.route("GET", "/api/status")
async def get_status(control: ControlNode, request: Request) -> Response:
    """Answer with this process's view of the primary, its stored state and the balancers present."""
    if _is_rate_limited(_STATUS_LIMITER):
        return _too_many_requests()
    from mastturnd import control_report

    return Response(200, json.dumps(control_report.status(control)).encode())


@OPERATOR_ROUTES.route("GET", "/metrics")
async def get_metrics(control: ControlNode, request: Request) -> Response:
    """Answer with the same state as metrics."""
    if _is_rate_limited(_METRICS_LIMITER):
        return _too_many_requests()
    from mastturnd import figures

    body = await figures.render_text("mastturnd.control_figures", control)
    return Response(200, body, content_type=figures.CONTENT_TYPE)


@OPERATOR_ROUTES.route("GET", "/dashboard")
async def get_dashboard(control: ControlNode, request: Request) -> Response:
    """Answer with an HTML page on the whole fleet as this process sees it."""
    if _is_rate_limited(_DASHBOARD_LIMITER):
        return _too_many_requests()
    if "mastturnd.dashboard" not in sys.modules:  # slow to import, so it is done in a thread
        await asyncio.to_thread(importlib.import_module, "mastturnd.dashboard")
    from mastturnd.dashboard import Dashboard as Page

    if control not in _pages:
        _pages[control] = Page()
    return await _pages[control].page(control.settings)
