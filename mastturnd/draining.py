"""Which balancers take no new clients: `drained` of the configuration, a list of their names.

It is part of the configuration, so it is kept, agreed on and told like all of it: it outlives any process. A
balancer of before skips a field that it does not know.
"""

from __future__ import annotations

import json
from typing import Any

FIELD = "drained"
MARK = b'"drained"'  # a body without it names nobody, and need not be read again


def drained_nodes(raw: dict[str, Any]) -> tuple[str, ...] | None:
    """The drained balancers of a configuration's JSON; None where the field is no list of texts."""
    found = raw.get(FIELD)
    if found is None:
        return ()
    if not isinstance(found, list) or not all(isinstance(name, str) and name for name in found):
        return None
    return tuple(found)


def is_drained(body: bytes, node: str) -> bool:
    """Whether a configuration (a body that was taken) tells this balancer to take no new clients."""
    if MARK not in body:
        return False
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError):
        return False
    return isinstance(raw, dict) and node in (drained_nodes(raw) or ())
