"""Waits for the primary's list of present balancers while that list may still change by itself.

The list lags behind the balancers: after a start or a change of primary, a serving balancer appears a moment
later, and without a primary no balancer is listed.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from mastturnd import fleet_status
from mastturnd.wrong import NoAnswerError

WAIT_SHARE = 1 / 3  # share of the time for which one primary's insufficient list is polled
RETRY_DELAY_S = 0.4  # a process answers eight status requests a second in total
Balancers = list[dict[str, Any]]  # each with `node`, `ip` and `zone`


def wait_for_balancers(
    ctl: list[str], within_s: float, is_sufficient: Callable[[Balancers], bool]
) -> Balancers:
    """Return the balancers that the primary lists, as soon as they are sufficient; else its last list.

    The wait for one primary ends after WAIT_SHARE of `within_s`, and starts again with each new primary. A
    primary that lists no balancer gets all of `within_s`: a fleet without balancers is rarer than one between
    two primaries. Raises NoAnswerError if there is no primary, or no answer, within `within_s` seconds.
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
                f"nobody leads within {within_s:g} s, so the present balancers are not known",
                "see that a majority of the control processes runs",
            )
        time.sleep(RETRY_DELAY_S)


def wait_for_fleet(ctl: list[str], readyz_port: int | None, within_s: float) -> dict[str, Any]:
    """Return the result of `fleet_status.gather` once the primary knows which balancers are present.

    After WAIT_SHARE of `within_s` (seconds) the last result counts; raises NoAnswerError if there is none.
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
    """Return a predicate: whether a balancer is in a list."""
    return lambda found: any(b["node"] == node for b in found)
