"""No order of events lets requests run on more than the allowance, and planted defects do."""

from __future__ import annotations

from dataclasses import replace

import pytest

from mastturn.allowance_check.search import DEFECTS, Bounds, Search

CALM = Bounds(tokens=1, replicas=2, requests=4, restarts=0, takeovers=0, losses=False, states=300_000)
SHOWN = {
    "early": replace(CALM, takeovers=1),
    "unfenced": replace(CALM, takeovers=1),
    "delta": CALM,
    "reborn": replace(CALM, restarts=1),
    "generous": CALM,
}


def test_no_token_is_granted_twice_in_any_order_of_events() -> None:
    """Part of what the command searches: `python -m mastturn.allowance_check search`."""
    result = Search(Bounds(tokens=2, requests=3, states=6_000)).run()
    assert result.steps is None and result.states >= 6_000
    whole = Search(replace(CALM, requests=3)).run()
    assert whole.steps is None and whole.whole


def test_every_defect_is_planted() -> None:
    assert SHOWN.keys() == DEFECTS.keys()


@pytest.mark.parametrize("defect", sorted(SHOWN))
def test_each_planted_defect_is_found(defect: str) -> None:
    result = Search(SHOWN[defect], defect).run()
    assert result.steps is not None, result.states
