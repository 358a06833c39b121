"""Figures for whoever asks at `/metrics`; what writes them is loaded by the first question, in a thread."""

from __future__ import annotations

import asyncio
import importlib
import sys
from collections.abc import Callable
from typing import Any

EXPOSITION_MODULE = "mastturnd.exposition"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


async def render_text(report: str, source: Any) -> bytes:
    """The figures of `owner` that the module `report` finds, in text form."""
    if (
        EXPOSITION_MODULE not in sys.modules
    ):  # 30 ms of processor time, in which the loop goes on with its work
        await asyncio.to_thread(importlib.import_module, EXPOSITION_MODULE)
    metrics: Callable[[Any], Any] = importlib.import_module(report).metrics
    body: bytes = sys.modules[EXPOSITION_MODULE].render(metrics(source))
    return body
