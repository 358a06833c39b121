"""What a control process tells whoever asks at `ctl`, beside the operators' calls; all of it only reads."""

from __future__ import annotations

import asyncio
import importlib
import json
import sys
from typing import TYPE_CHECKING
from weakref import WeakKeyDictionary

from control.operators import OPERATOR_ROUTES
from mastturnd.pace import Pace
from transport.calls import Request, Response, json_response

if TYPE_CHECKING:
    from control.node import ControlNode
    from mastturnd.dashboard import Dashboard

_STATUS, _METRICS, _DASHBOARD = Pace(), Pace(), Pace()  # so that a stranger takes nothing from a collector
_pages: WeakKeyDictionary[ControlNode, Dashboard] = WeakKeyDictionary()  # made once somebody asks


def declare() -> None:
    """The calls are declared once this module is loaded; the program calls this to have it loaded."""


def _is_too_often(pace: Pace) -> bool:
    return not pace.allows(asyncio.get_running_loop().time())


def _wait() -> Response:
    return json_response(429, "asked too often; ask again in a second", Retry_After="1")


@OPERATOR_ROUTES.route("GET", "/api/status")
async def get_status(control: ControlNode, request: Request) -> Response:
    """This process's own word on who leads, what is kept here and who is present."""
    if _is_too_often(_STATUS):
        return _wait()
    from mastturnd import control_report

    return Response(200, json.dumps(control_report.status(control)).encode())


@OPERATOR_ROUTES.route("GET", "/metrics")
async def get_metrics(control: ControlNode, request: Request) -> Response:
    """The same as figures for a collector."""
    if _is_too_often(_METRICS):
        return _wait()
    from mastturnd import figures

    found = await figures.text("mastturnd.control_figures", control)
    return Response(200, found, content_type=figures.CONTENT_TYPE)


@OPERATOR_ROUTES.route("GET", "/dashboard")
async def get_dashboard(control: ControlNode, request: Request) -> Response:
    """A page for a browser on the whole fleet, as this process finds it."""
    if _is_too_often(_DASHBOARD):
        return _wait()
    if "mastturnd.dashboard" not in sys.modules:  # what asks others takes time and memory, once
        await asyncio.to_thread(importlib.import_module, "mastturnd.dashboard")
    from mastturnd.dashboard import Dashboard as Page

    if control not in _pages:
        _pages[control] = Page()
    return await _pages[control].page(control.settings)
