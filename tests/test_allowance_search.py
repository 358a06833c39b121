"""No event order lets requests consume more than the allowance; each planted defect is detected."""

from __future__ import annotations

from dataclasses import replace

import pytest

from mastturn.allowance_check.search import DEFECTS, Bounds, Search

BASE_BOUNDS = Bounds(tokens=1, replicas=2, requests=4, restarts=0, takeovers=0, losses=False, states=300_000)
BOUNDS_BY_DEFECT = {
    "early": replace(BASE_BOUNDS, takeovers=1),
    "unfenced": replace(BASE_BOUNDS, takeovers=1),
    "delta": BASE_BOUNDS,
    "reborn": replace(BASE_BOUNDS, restarts=1),
    "generous": BASE_BOUNDS,
}


def test_no_token_is_granted_twice_in_any_order_of_events() -> None:
    """Searches part of the states of `python -m mastturn.allowance_check search`."""
    result = Search(Bounds(tokens=2, requests=3, states=6_000)).run()
    assert result.steps is None and result.states >= 6_000
    complete = Search(replace(BASE_BOUNDS, requests=3)).run()
    assert complete.steps is None and complete.complete


def test_every_defect_is_planted() -> None:
    assert BOUNDS_BY_DEFECT.keys() == DEFECTS.keys()


@pytest.mark.parametrize("defect", sorted(BOUNDS_BY_DEFECT))
def test_each_planted_defect_is_found(defect: str) -> None:
    result = Search(BOUNDS_BY_DEFECT[defect], defect).run()
    assert result.steps is not None, result.states
