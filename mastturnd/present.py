"""Who is present, as the primary says it: asked again while what it says may still change by itself.

Its word trails the balancers' own: after a start or a take-over one that serves is named a moment later, and
while one primary follows another nobody names anybody.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from mastturnd import fleet_status
from mastturnd.wrong import NoAnswerError

WAIT_SHARE = 1 / 3  # of the whole time: one primary's word that doesn't suit is asked for again for so long
RETRY_DELAY_S = 0.4  # a process answers eight times a second, to all who ask
Balancers = list[dict[str, Any]]  # each with `node`, `ip` and `zone`


def wait_for_balancers(
    ctl: list[str], within_s: float, is_sufficient: Callable[[Balancers], bool]
) -> Balancers:
    """Those that the primary names, once they suit; else those of its last word, after a part of `within_s`.

    A new primary has that part anew, and one that names nobody at all has the whole: a fleet without any is
    rarer than one that looks for its primary. Raises NoAnswerError where nobody leads, or nobody answers,
    within the whole of it (s).
    """
    started = since = time.monotonic()
    epoch = -1
    while True:
        error = None
        try:
            found = fleet_status.gather(ctl, None)
        except NoAnswerError as failure:
            error = failure
        now = time.monotonic()
        if error is None and found["leader"]:
            named: Balancers = found["balancers"]
            if found["epoch"] != epoch:
                epoch, since = found["epoch"], now
            wait_limit_s = within_s * (WAIT_SHARE if named else 1)
            if is_sufficient(named) or now - since >= wait_limit_s or now - started >= within_s:
                return named
        elif now - started >= within_s:
            raise error or NoAnswerError(
                f"nobody leads within {within_s:g} s, so who is present can't be known",
                "see that a majority of the control processes runs",
            )
        time.sleep(RETRY_DELAY_S)


def wait_for_fleet(ctl: list[str], readyz_port: int | None, within_s: float) -> dict[str, Any]:
    """All that `fleet_status.gather` finds, once who leads knows who is present.

    After a part of `within_s` (s) the last look counts; raises NoAnswerError where nobody answers then.
    """
    until = time.monotonic() + within_s * WAIT_SHARE
    while True:
        try:
            found = fleet_status.gather(ctl, readyz_port)
        except NoAnswerError:
            if time.monotonic() >= until:
                raise
        else:
            if fleet_status.is_settled(found) or time.monotonic() >= until:
                return found
        time.sleep(RETRY_DELAY_S)


def contains_node(node: str) -> Callable[[Balancers], bool]:
    """Whether a balancer is among them."""
    return lambda found: any(b["node"] == node for b in found)
