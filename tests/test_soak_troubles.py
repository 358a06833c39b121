"""Troubles of a soak that overlap: none of them breaks the soak itself."""

from __future__ import annotations

import asyncio
import random
import time
from pathlib import Path

import pytest

from mastturn.files import LabError
from mastturn.smallfleet.layout import lay_out
from mastturn.soak import surroundings
from mastturn.soak.fleet import Fleet
from mastturn.soak.plan import Plan
from mastturn.soak.play import play
from mastturn.soak.records import Records, Span
from mastturn.soak.surroundings import Surroundings
from mastturn.soak.troubles import Troubles
from tests.loopback import run

UPSTREAMS = 6


@pytest.fixture(autouse=True)
def brief(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(surroundings, "CRASH_S", 0.0)
    monkeypatch.setattr(surroundings, "UNLISTED_S", 0.0)
    monkeypatch.setattr(surroundings, "DRAIN_S", 0.0)


@pytest.mark.parametrize("seed", range(10))
def test_upstreams_that_crash_and_leave_at_once_never_share_an_address(seed: int) -> None:
    async def overlap() -> None:
        around = Surroundings(lay_out(UPSTREAMS + 4), UPSTREAMS, seed, Records())
        await around.start()
        dice = random.Random(seed)
        troubles = [around.crash, around.leave] * UPSTREAMS
        dice.shuffle(troubles)
        try:
            await asyncio.gather(*(trouble(dice) for trouble in troubles))
            addresses = [upstream.address for upstream in around.listed]
            assert len(set(addresses)) == len(addresses) >= surroundings.SMALLEST
        finally:
            around.stop()

    run(overlap())


def test_a_trouble_that_fails_fails_the_soak(tmp_path: Path) -> None:
    async def fail() -> None:
        layout = lay_out(UPSTREAMS)
        around = Surroundings(layout, UPSTREAMS, 1, Records())
        troubles = Troubles(Fleet(layout, tmp_path, Records()), around, 1, lambda text: None, "crash")
        around.crash = broken  # type: ignore[method-assign]
        await troubles.run(1.1)

    async def broken(dice: random.Random) -> None:
        raise OSError("address already in use")

    with pytest.raises(OSError, match="already in use"):
        run(fail())


def test_a_control_process_loses_its_disk_only_in_calm(tmp_path: Path) -> None:
    records = Records()
    fleet = Fleet(lay_out(UPSTREAMS), tmp_path, records)
    assert fleet.control_calm_s() == float("inf")
    now = time.monotonic()
    records.spans = [Span("kill", "core-a", now - 9.0, now - 8.0), Span("kill", "edge-a", now - 1.0, now)]
    assert fleet.control_calm_s() == pytest.approx(8.0, abs=0.5)
    records.spans.append(Span("stop", "core-b", now - 1.0))
    assert fleet.control_calm_s() < 0.0


def test_a_folder_of_an_earlier_soak_is_refused(tmp_path: Path) -> None:
    (tmp_path / "core-a").mkdir()
    with pytest.raises(LabError, match="not empty; name another folder"):
        play(Plan(1), lambda text: None, tmp_path)
