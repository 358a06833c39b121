"""Answers `/metrics`; the metrics writer is imported on the first request, in a thread."""

from __future__ import annotations

import asyncio
import importlib
import sys
from collections.abc import Callable
from typing import Any

EXPOSITION_MODULE = "mastturnd.exposition"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


async def render_text(report: str, source: Any) -> bytes:
    """Return the metrics of `source`, as built by the module `report`, in text format."""
    # Takes 30 ms of processor time; in a thread, the event loop keeps running.
    if EXPOSITION_MODULE not in sys.modules:
        await asyncio.to_thread(importlib.import_module, EXPOSITION_MODULE)
    metrics: Callable[[Any], Any] = importlib.import_module(report).metrics
    body: bytes = sys.modules[EXPOSITION_MODULE].render(metrics(source))
    return body
