"""Drained balancers: the field `drained` of the configuration, a list of node names.

As part of the configuration it is stored, replicated and distributed with it, so it outlives any process.
Releases that do not know the field ignore it.
"""

from __future__ import annotations

import json
from typing import Any

FIELD = "drained"
MARK = b'"drained"'  # a body without it drains nobody and need not be parsed


def drained_nodes(raw: dict[str, Any]) -> tuple[str, ...] | None:
    """Return the drained balancers of a configuration's JSON; None if the field is not a list of strings."""
    found = raw.get(FIELD)
    if found is None:
        return ()
    if not isinstance(found, list) or not all(isinstance(name, str) and name for name in found):
        return None
    return tuple(found)


def is_drained(body: bytes, node: str) -> bool:
    """Return whether an accepted configuration drains this balancer."""
    if MARK not in body:
        return False
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError):
        return False
    return isinstance(raw, dict) and node in (drained_nodes(raw) or ())
