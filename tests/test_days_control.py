"""Days for the control state: alike for alike numbers, every kind and closing, overlapping, with changes."""

from __future__ import annotations

import tomllib
from pathlib import Path

from click.testing import CliRunner

from mastturn.days.__main__ import main
from mastturn.days.control import (
    CLOSINGS,
    CONTROL_KINDS,
    CUTS,
    LAST_S,
    OVERLAP_S,
    draw_control_day,
)
from mastturn.days.draw import LENGTH_S, Site
from mastturn.days.written import write_day

SITE = Site("mill-road", (), ["mill-llm"], ["ask"], {"trouble": {"goal": {"floor": 0.4}, "traffic": []}})
TURN = len(CONTROL_KINDS) * len(CLOSINGS)
DAYS = [draw_control_day(SITE, number) for number in range(4 * TURN)]


def test_a_number_always_gives_the_same_day() -> None:
    assert [draw_control_day(SITE, number) for number in range(30)] == DAYS[:30]


def test_a_day_reads_back_from_its_file_as_drawn() -> None:
    for day in DAYS:
        assert tomllib.loads(write_day(day)) == {"day": [day]}


def test_every_kind_meets_every_closing_within_one_turn() -> None:
    met = {(day["name"].split()[2].split("+")[0], day.get("closing", {}).get("kind")) for day in DAYS[:TURN]}
    assert met == {(kind.name, closing) for kind in CONTROL_KINDS for closing in CLOSINGS}


def test_every_form_of_a_cut_is_drawn() -> None:
    cuts = [t for day in DAYS for t in day["faults"] if t["kind"] == "core_cut"]
    drawn = {word for cut in cuts for word in str(cut.get("how", "")).split()}
    assert {form for form in CUTS if form} <= drawn
    assert max(cut["for_s"] for cut in cuts) > 20.0


def test_troubles_overlap_or_follow_one_another_closely() -> None:
    for day in DAYS:
        kinds = day["name"].split()[2].split("+")
        troubles = [t for t in day["plan"] + day["faults"] if t["kind"] in kinds]
        assert len(troubles) in (2, 3)
        for trouble in troubles:
            others = [t for t in troubles if t is not trouble]
            ends = [m for t in others for m in (t["at"], t["at"] + t.get("for_s", 1.0))]
            ends += [m - trouble.get("for_s", 1.0) for t in others for m in (t["at"],)]
            near = any(abs(trouble["at"] - moment) <= OVERLAP_S + 0.02 for moment in ends)
            assert near or trouble["at"] in (0.5, LAST_S) or any(t["at"] in (0.5, LAST_S) for t in others)


def test_operators_change_the_configuration_while_troubles_last() -> None:
    for day in DAYS:
        changes = [t for t in day["plan"] if t["kind"].startswith("config_")]
        begin = min(
            t["at"] for t in day["plan"] + day["faults"] if t not in changes and t["kind"] != "bad_config"
        )
        assert changes
        assert all(t["at"] <= LENGTH_S for t in changes)
        assert any(t["at"] >= begin - 1.01 for t in changes)


def test_the_command_writes_the_profile(tmp_path: Path) -> None:
    site = tmp_path / "site.toml"
    site.write_text(
        'name = "mill-road"\nservices = [{ name = "mill-llm" }]\nclasses = [{ name = "ask" }]\n'
        'troubles = [{ kind = "node_freeze" }]\n[[day]]\nname = "t"\nslot = "trouble"\nseed = 1\n',
        encoding="utf-8",
    )
    out = tmp_path / "days"
    args = ["draw", str(site), "--profile", "control", "--count", "5", "--out", str(out)]
    done = CliRunner().invoke(main, args)
    assert done.exit_code == 0, done.output
    assert len(list(out.glob("*.toml"))) == 5
