"""Whole days in the emulator: the product's own code on simulated engines, and the scores of the days."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path

import msgspec
import pytest

from balancer.tiers import Tiers
from mastturn.engines import __main__ as command
from mastturn.engines import page
from mastturn.engines.choosers import CHOOSERS
from mastturn.engines.compare import BenchComparison, ChooserResult, read_results, save
from mastturn.engines.days import built_in_days, write
from mastturn.engines.demand import ClientRequest, draw, popularity_shares
from mastturn.engines.deployment import Closing, Day, Fault, load
from mastturn.engines.jobs import Counters
from mastturn.engines.judge import earned_share, score_day
from mastturn.engines.play import play
from mastturn.engines.records import Record
from mastturn.engines.troubles import is_modelled
from mastturn.files import LabError
from tests.engines_fixture import deployment

DAY = Day("day", 1)
OWN_SITE = Path("deploy/sites/quayside-desk.toml")


# ---- demand


def test_the_same_seed_asks_the_same_and_each_subject_has_one_chain() -> None:
    requests = draw(deployment(), DAY, 5)
    assert requests == draw(deployment(), DAY, 5) != draw(deployment(), DAY, 6)
    assert [a.at for a in requests] == sorted(a.at for a in requests)
    chains: dict[str, set[object]] = {}
    for asked in requests:
        chains.setdefault(asked.chain[-1][0], set()).add(asked.chain)
    assert all(len(score) == 1 for score in chains.values())
    assert popularity_shares(3, 1.0) == pytest.approx([6 / 11, 3 / 11, 2 / 11])


def test_a_burst_asks_more_while_it_lasts_and_leaves_the_rest_of_the_day_alone() -> None:
    burst = msgspec.structs.replace(DAY, faults=(Fault(at=2.0, kind="burst", for_s=2.0, x=3.0),))
    counts = {"calm": 0, "burst": 0}
    for seed in range(20):
        counts["calm"] += sum(2 <= a.at < 4 for a in draw(deployment(), DAY, seed))
        counts["burst"] += sum(2 <= a.at < 4 for a in draw(deployment(), burst, seed))
    assert 2.3 < counts["burst"] / counts["calm"] < 3.8


def test_parts_and_speeds_are_spread_over_the_zones_in_turn() -> None:
    site = load(OWN_SITE)
    assert [p for _, _, p in site.upstreams()] == ["prefill", "decode"] * 3
    assert [s for _, s, _ in site.upstreams()] == [1.0, 1.45] * 3
    thin = msgspec.structs.replace(deployment(), thin=0.5)
    assert [z for z, _, _ in thin.upstreams()] == ["a", "b"]


# ---- scoring


def _record(
    first_event_s: float | None,
    longest_pause_s: float = 0.0,
    is_complete: bool = True,
    refused: float | None = None,
) -> Record:
    kind = deployment().classes[0]
    record = Record(ClientRequest(1, 0.0, kind, "a", 0, (("root", 10),), 100, 2))
    record.first_event_s, record.longest_pause_s, record.is_complete, record.refused = (
        first_event_s,
        longest_pause_s,
        is_complete,
        refused,
    )
    record.retry_first_event_s = 0.1 if refused is not None else first_event_s
    record.end = "served" if is_complete else "failed"
    return record


@pytest.mark.parametrize(
    ("record", "share"),
    [
        (_record(0.5), 1.0),
        (_record(0.501), 0.25),
        (_record(0.1, longest_pause_s=0.31), 0.25),
        (_record(0.1, is_complete=False), 0.0),
        (_record(0.6, refused=0.125), (1 + 0.25) / 2),
        (_record(0.6, refused=0.126), 0.25),
    ],
)
def test_a_request_earns_by_its_aim_its_pauses_and_how_soon_it_was_refused(
    record: Record, share: float
) -> None:
    assert earned_share(record) == pytest.approx(share)


def test_worth_is_by_size_and_prices_are_taken_off() -> None:
    small, large = _record(0.1), _record(2.0)
    large.client_request = ClientRequest(2, 3.0, large.client_request.kind, "b", 0, (), 10_000, 8)
    score = score_day(deployment(), 6.0, [small, large], Counters(reread_tokens=5000), handshakes=4, calls=0)
    sizes = 110 + 10 * 2 * 10, 10_000 + 10 * 8 * 10
    mean = sum(sizes) / 2
    request_worth = [2 * (0.3 + 0.7 * s / mean) for s in sizes]
    assert score.day == pytest.approx((request_worth[0] + 0.25 * request_worth[1]) / sum(request_worth))
    assert score.zone == score.window - (1 - 0.25) / 2 == 0.25
    assert score.prices["read again"] == pytest.approx(0.5 / sum(request_worth))
    assert score.worth == pytest.approx(
        0.6 * score.day + 0.2 * score.window + 0.2 * score.kind - sum(score.prices.values())
    )


# ---- days


def test_a_day_is_served_repeats_itself_and_raises_nothing() -> None:
    first, second = play(deployment(), DAY, 3), play(deployment(), DAY, 3)
    first.seconds = second.seconds = 0.0
    assert first == second and not first.faults
    assert first.asked > 40 and first.in_aim > 0.95 * first.asked


@pytest.mark.parametrize("chooser", CHOOSERS)
def test_every_chooser_serves_a_day_with_every_trouble_that_is_modelled(chooser: str) -> None:
    injected = (
        Fault(at=1.0, kind="srv_crash", for_s=1.0, count=1),
        Fault(at=1.5, kind="kv_slow", for_s=1.0, count=1),
        Fault(at=2.0, kind="handle_short", for_s=1.0, count=1),
        Fault(at=2.0, kind="node_kill", for_s=0.5, count=1, how="power"),
        Fault(at=2.5, kind="release", count=1),
        Fault(at=3.0, kind="node_kill", on="core", how="leader drain"),
        Fault(at=3.5, kind="burst", for_s=1.0, x=2.0),
    )
    assert all(is_modelled(t) for t in injected)
    day = Day("all", 1, faults=injected, closing=Closing("kill_all", 0.5))
    score = play(deployment(), day, 2, CHOOSERS[chooser])
    assert not score.faults
    assert score.asked == score.in_aim + score.late + score.refused + score.failed
    assert score.in_aim > 0.6 * score.asked


def test_reading_where_parts_are_kept_reads_less_again_than_taking_turns() -> None:
    again = {}
    for name in ("ours", "round robin"):
        again[name] = sum(play(deployment(), DAY, seed, CHOOSERS[name]).again for seed in range(3))
    assert again["ours"] < 0.6 * again["round robin"]


def test_troubles_cost_and_a_slow_chooser_does_not_change_the_demand() -> None:
    hurt = Day("hurt", 1, faults=(Fault(at=1.0, kind="srv_crash", for_s=4.0, count=2, how="dark"),))
    well, ill = play(deployment(), DAY, 1), play(deployment(), hurt, 1)
    assert ill.worth < well.worth and ill.asked == well.asked

    class Worst(Tiers):
        """Always chooses the first eligible upstream, however busy."""

        def _draw(self, group, able, now):  # type: ignore[no-untyped-def]
            return able[0]

    assert play(deployment(), DAY, 1, Worst).asked == well.asked


def test_our_own_site_plays_and_its_days_can_be_written_for_the_bench(tmp_path: Path) -> None:
    site = load(OWN_SITE)
    assert {t.zone for t in site.traffic} == {"quay"} and len(built_in_days(site)) == 7
    names = [p.stem for p in write(site, tmp_path)]
    assert names == [d.name for d in built_in_days(site)]
    for path, day in zip(
        sorted(tmp_path.iterdir()), sorted(built_in_days(site), key=lambda d: d.name), strict=True
    ):
        read = msgspec.convert(_toml(path), Day)
        assert (read.name, read.faults, read.traffic) == (day.name, day.faults, day.traffic)


def _toml(path: Path) -> object:
    return tomllib.loads(path.read_text(encoding="utf-8"))


# ---- the command


def test_a_wrong_call_a_missing_site_and_an_unknown_day_name_the_remedy(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert command.main(["engines"]) == 2
    assert command.main(["engines", "play", str(tmp_path / "none.toml"), "full"]) == 1
    assert "name a site file" in capsys.readouterr().err
    with pytest.raises(LabError, match="name one of quiet-1"):
        load(OWN_SITE).day("sunny")
    (tmp_path / "bad.toml").write_text('name = "x"\n', encoding="utf-8")
    assert command.main(["engines", "play", str(tmp_path / "bad.toml"), "full"]) == 1
    assert "no sheet of split engines" in capsys.readouterr().err


def test_the_page_is_written_from_saved_figures(tmp_path: Path) -> None:
    played = [
        ChooserResult("s", day, name, seed, 0.8 - 0.1 * (name != "ours"), 900.0, 10, 1.0, 0, 0.1, ())
        for day in ("full", "burst")
        for name in CHOOSERS
        for seed in (1, 2)
    ]
    save(played, tmp_path / "choosers-s.json")
    assert read_results(tmp_path / "choosers-s.json") == played
    save([BenchComparison("s", "full", (0.80, 0.82), 0.84, 0.01, {}, {})], tmp_path / "held-s.json")
    text = "".join(f"<!-- table {n} -->\nold\n<!-- end -->\n" for n in ("choosers", "days", "held"))
    target = tmp_path / "page.md"
    target.write_text(text, encoding="utf-8")
    page.write(target, tmp_path)
    now = target.read_text(encoding="utf-8")
    assert "old" not in now and "| s | round robin | 0.700 | -0.100 ± 0.000 |" in now
    assert "| s | full | 0.800, 0.820 | 0.840 (0.010) | +0.030 | yes |" in now
    assert (tmp_path / "s.svg").exists() and json.loads((tmp_path / "held-s.json").read_text())
