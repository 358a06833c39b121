"""Validates answers to `/api/status`, which may come from any release or from an unrelated program."""

from __future__ import annotations

from typing import Any

from mastturnd.roles import BALANCER, CONTROL, current_name

TEXT, NUMBER, BOOLEAN = (str,), (int,), (bool,)
OPTIONAL_NUMBER = (int, type(None))
_COMMON: dict[str, Any] = {"node": TEXT, "program": TEXT, "ver": NUMBER, "memory_kb": NUMBER}
_PRESENT = {"node": TEXT, "ip": TEXT, "zone": TEXT}
_MEMBER = {"node": TEXT, "ctl": TEXT, "zone": TEXT, "silent_ms": OPTIONAL_NUMBER}
_UPSTREAM = {"svc": TEXT, "part": TEXT, "state": TEXT, "calls": NUMBER, "tokens": NUMBER}
STATUS_SCHEMAS: dict[str, dict[str, Any]] = {
    CONTROL: _COMMON
    | {"zone": TEXT, "ctl": TEXT, "standing": TEXT, "epoch": NUMBER, "disk_well": BOOLEAN}
    | {"members": [_MEMBER], "present": [_PRESENT], "upstreams": [_UPSTREAM]},
    BALANCER: _COMMON
    | {
        "ready": BOOLEAN,
        "drained": BOOLEAN,
        "fresh": BOOLEAN,
        "told_by": TEXT,
        "in_flight": NUMBER,
        "ended": dict,
    },
}


def is_status(status: dict[str, Any]) -> bool:
    """Return whether an answer holds every field that is displayed for a process of its role."""
    role = status.get("role")
    name = current_name(role) if isinstance(role, str) else ""
    schema = STATUS_SCHEMAS.get(name)
    if schema is None or not _matches(status, schema):
        return False
    if name == CONTROL:
        return _has_type(status.get("leads_ms"), OPTIONAL_NUMBER)  # earlier releases do not send it
    return all(_has_type(count, NUMBER) for count in status["ended"].values())


def _matches(value: object, schema: Any) -> bool:
    if isinstance(schema, dict):
        return isinstance(value, dict) and all(
            k in value and _matches(value[k], f) for k, f in schema.items()
        )
    if isinstance(schema, list):
        return isinstance(value, list) and all(_matches(v, schema[0]) for v in value)
    if schema is dict:
        return isinstance(value, dict)
    return _has_type(value, schema)


def _has_type(value: object, types: tuple[type, ...]) -> bool:
    """Return whether a value has one of the types; a bool does not count as a number."""
    return isinstance(value, types) and (not isinstance(value, bool) or bool in types)
