"""Names of the program's roles, and those that earlier releases used for them."""

from __future__ import annotations

BALANCER, CONTROL = "balancer", "control"
ROLES = (BALANCER, CONTROL)
FORMER_NAMES = {"barograph": CONTROL, "windvane": BALANCER}  # accepted for one release


def current_name(name: str) -> str:
    """The name of a role today, whatever release named it."""
    return FORMER_NAMES.get(name, name)
