"""What processes answer to `/api/status`, held to a form: others' words, of any release or of a stranger."""

from __future__ import annotations

from typing import Any

from mastturnd.roles import BALANCER, CONTROL, current_name

TEXT, NUMBER, YES = (str,), (int,), (bool,)
MAYBE = (int, type(None))
_BOTH: dict[str, Any] = {"node": TEXT, "program": TEXT, "ver": NUMBER, "memory_kb": NUMBER}
_PRESENT = {"node": TEXT, "ip": TEXT, "zone": TEXT}
_MEMBER = {"node": TEXT, "ctl": TEXT, "zone": TEXT, "silent_ms": MAYBE}
_UPSTREAM = {"svc": TEXT, "part": TEXT, "state": TEXT, "calls": NUMBER, "tokens": NUMBER}
FORMS: dict[str, dict[str, Any]] = {
    CONTROL: _BOTH
    | {"zone": TEXT, "ctl": TEXT, "standing": TEXT, "epoch": NUMBER, "disk_well": YES}
    | {"members": [_MEMBER], "present": [_PRESENT], "upstreams": [_UPSTREAM]},
    BALANCER: _BOTH
    | {"ready": YES, "drained": YES, "fresh": YES, "told_by": TEXT, "in_flight": NUMBER, "ended": dict},
}


def is_status(told: dict[str, Any]) -> bool:
    """Whether an answer holds all that is shown of a process of its role."""
    role = told.get("role")
    name = current_name(role) if isinstance(role, str) else ""
    form = FORMS.get(name)
    if form is None or not _fits(told, form):
        return False
    if name == CONTROL:
        return _is(told.get("leads_ms"), MAYBE)  # earlier releases don't tell it
    return all(_is(count, NUMBER) for count in told["ended"].values())


def _fits(value: object, form: Any) -> bool:
    if isinstance(form, dict):
        return isinstance(value, dict) and all(k in value and _fits(value[k], f) for k, f in form.items())
    if isinstance(form, list):
        return isinstance(value, list) and all(_fits(v, form[0]) for v in value)
    if form is dict:
        return isinstance(value, dict)
    return _is(value, form)


def _is(value: object, types: tuple[type, ...]) -> bool:
    """A yes or no is no number."""
    return isinstance(value, types) and (not isinstance(value, bool) or bool in types)
