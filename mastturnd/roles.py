"""Names of the program's roles, and their former names."""

from __future__ import annotations

BALANCER, CONTROL = "balancer", "control"
ROLES = (BALANCER, CONTROL)
FORMER_NAMES = {"barograph": CONTROL, "windvane": BALANCER}  # accepted for one release


def current_name(name: str) -> str:
    """Return the current name of a role, whichever release named it."""
    return FORMER_NAMES.get(name, name)
