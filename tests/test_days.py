"""Drawn days: reproducible by number, covering every kind and shape, and read back from a journal."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path

import pytest
from click.testing import CliRunner

from mastturn.days.__main__ import main
from mastturn.days.draw import (
    ADJACENT_S,
    CLOSINGS,
    CROWD_S,
    LATEST_S,
    LENGTH_S,
    SHAPES,
    draw_day,
    draw_days,
    read_site,
)
from mastturn.days.kinds import BY_NAME, KINDS
from mastturn.days.outcomes import read_outcomes, table
from mastturn.days.written import write_day
from mastturn.files import LabError

CYCLE_LENGTH = len(SHAPES) * len(KINDS)


def site_text(kinds: tuple[str, ...]) -> str:
    troubles = "\n".join(f'  {{ kind = "{kind}" }},' for kind in kinds)
    return f"""
name = "mill-road"
services = [{{ name = "mill-llm" }}]
classes = [{{ name = "ask" }}, {{ name = "tell" }}]
troubles = [
{troubles}
]
[[day]]
name = "trouble-1"
slot = "trouble"
seed = 3
goal = {{ floor = 0.4 }}
traffic = [{{ zone = "a", mix = {{ ask = 1.0 }}, per_s = 2.0, shape = {{ kind = "wave" }} }}]
"""


@pytest.fixture
def site_file(tmp_path: Path) -> Path:
    path = tmp_path / "mill-road.toml"
    path.write_text(site_text(tuple(kind.name for kind in KINDS)), encoding="utf-8")
    return path


def test_a_number_always_gives_the_same_day(site_file: Path) -> None:
    site = read_site(site_file)
    assert [*draw_days(site, range(40))] == [*draw_days(read_site(site_file), range(40))]
    assert draw_day(site, 1) != draw_day(site, 1 + CYCLE_LENGTH)


def test_a_day_reads_back_from_its_file_as_drawn(site_file: Path) -> None:
    site = read_site(site_file)
    for day in draw_days(site, range(CYCLE_LENGTH)):
        assert tomllib.loads(write_day(day)) == {"day": [day]}


def test_every_kind_comes_first_in_every_shape_within_one_turn(site_file: Path) -> None:
    firsts = set()
    for day in draw_days(read_site(site_file), range(CYCLE_LENGTH)):
        _, shape, kinds, _ = day["name"].split(" ")
        firsts.add((shape, kinds.split("+")[0]))
    assert firsts == {(shape, kind) for shape in SHAPES for kind in BY_NAME}


def test_every_closing_meets_every_shape(site_file: Path) -> None:
    combinations = {
        (day["name"].split(" ")[1], day.get("closing", {}).get("kind"))
        for day in draw_days(read_site(site_file), range(CYCLE_LENGTH))
    }
    assert combinations == {(shape, closing) for shape in SHAPES for closing in CLOSINGS}


def test_planned_work_and_faults_stand_apart_within_the_day(site_file: Path) -> None:
    for day in draw_days(read_site(site_file), range(CYCLE_LENGTH)):
        assert all(BY_NAME[t["kind"]].is_planned for t in day["plan"])
        assert not any(BY_NAME[t["kind"]].is_planned for t in day["faults"])
        assert all(0 < t["at"] <= LENGTH_S for t in day["plan"] + day["faults"])
        assert all(t["at"] <= LATEST_S + 3.0 for t in day["faults"])
        assert any(t["kind"].startswith("config") for t in day["plan"])


def test_twice_is_the_same_kind_twice_and_recovery_begins_at_the_end_of_another(site_file: Path) -> None:
    for day in draw_days(read_site(site_file), range(CYCLE_LENGTH)):
        _, shape, kinds, _ = day["name"].split(" ")
        first, *others = kinds.split("+")
        assert len(others) == (shape != "single")
        if shape == "twice":
            assert others == [first]
        faults = day["faults"]
        if shape == "recovery" and [t["kind"] for t in faults] == [first, *others] and "for_s" in faults[0]:
            end = faults[0]["at"] + faults[0]["for_s"]
            assert abs(faults[1]["at"] - min(end, LATEST_S + 3.0)) <= ADJACENT_S + 0.02


def test_a_crowded_day_holds_all_its_troubles_within_a_few_seconds(site_file: Path) -> None:
    site = read_site(site_file)
    for number in range(60):
        day = draw_day(site, number, crowd=5)
        assert day == draw_day(site, number, crowd=5)
        assert day["name"].split(" ")[1] == "crowd5"
        drawn = day["name"].split(" ")[2].split("+")
        entries = [t for t in day["plan"] + day["faults"] if t["kind"] in drawn]
        assert len(entries) >= 5
        faults = [t["at"] for t in day["faults"]]
        assert not faults or max(faults) - min(faults) <= CROWD_S


def test_a_site_without_a_kind_has_no_day_of_it(tmp_path: Path) -> None:
    path = tmp_path / "site.toml"
    path.write_text(site_text(("node_freeze", "disk_full")), encoding="utf-8")
    days = [*draw_days(read_site(path), range(60))]
    kinds = {t["kind"] for day in days for t in day["faults"]}
    assert kinds == {"node_freeze", "disk_full"}


def test_every_kind_can_be_drawn_for_a_site_that_names_few(tmp_path: Path) -> None:
    path = tmp_path / "site.toml"
    path.write_text(site_text(("node_freeze", "disk_full")), encoding="utf-8")
    kinds = {
        t["kind"]
        for day in draw_days(read_site(path, every=True), range(CYCLE_LENGTH))
        for t in day["faults"]
    }
    assert kinds == {k.name for k in KINDS if not k.is_planned and not k.part}
    path.write_text('contracts = ["base", "health"]' + site_text(("node_freeze",)), encoding="utf-8")
    site = read_site(path, every=True)
    days = [*draw_days(site, range(CYCLE_LENGTH))]
    assert {t["kind"] for day in days for t in day["plan"] + day["faults"]} == set(BY_NAME)
    assert [*draw_days(read_site(path, every=True), range(9))] == days[:9]
    assert draw_day(read_site(path), 3)["seed"] != days[3]["seed"]
    out = tmp_path / "days"
    result = CliRunner().invoke(main, ["draw", str(path), "--every", "--count", "9", "--out", str(out)])
    assert result.exit_code == 0
    assert [(out / f"{n:04d}.toml").read_text() for n in range(9)] == [write_day(d) for d in days[:9]]


def test_an_unknown_kind_or_a_missing_file_says_what_to_do(tmp_path: Path) -> None:
    path = tmp_path / "site.toml"
    path.write_text(site_text(("meteor",)), encoding="utf-8")
    with pytest.raises(LabError, match=r"\['meteor'\].*kinds\.py"):
        read_site(path)
    with pytest.raises(LabError, match="name a site file"):
        read_site(tmp_path / "none.toml")


def test_the_command_writes_one_file_a_day_and_refuses_a_missing_site(
    site_file: Path, tmp_path: Path
) -> None:
    out = tmp_path / "days"
    args = ["draw", str(site_file), "--first", "7", "--count", "2", "--out", str(out)]
    result = CliRunner().invoke(main, args)
    assert result.exit_code == 0
    assert sorted(p.name for p in out.iterdir()) == ["0007.toml", "0008.toml"]
    assert (out / "0007.toml").read_text() == write_day(draw_day(read_site(site_file), 7))
    result = CliRunner().invoke(main, ["draw", str(tmp_path / "no.toml"), "--out", str(out)])
    assert result.exit_code == 1 and "name a site file" in result.output


def entry(name: str, **values: object) -> dict[str, object]:
    day: dict[str, object] = {
        "name": name,
        "rules": {},
        "fault": None,
        "short": [],
        "prices": [],
        "served": 0.9,
        "gate": True,
    }
    return {"id": "e1", "site": "mill-road", "head": "0123456789", "days": [day | values]}


def test_the_table_counts_plays_and_shows_each_day_that_broke(tmp_path: Path) -> None:
    entries = [
        entry("drawn-0001 pair a+b open"),
        entry("drawn-0001 pair a+b open", rules={"LOST": 2}, gate=False),
        entry("drawn-0002 twice a+a open", prices=[["exits of its own", 3.0, 0.1]]),
        entry("trouble-1", rules={"LOST": 1}),
        entry("drawn-0003 single a kill_all", fault="slow") | {"dirty": True, "error": "given up"},
    ]
    for number, data in enumerate(entries):
        (tmp_path / f"{number}.json").write_text(json.dumps(data), encoding="utf-8")
    (tmp_path / "torn.json").write_text("{", encoding="utf-8")
    result = CliRunner().invoke(main, ["table", "--journal", str(tmp_path)])
    assert result.output.splitlines() == table(read_outcomes(tmp_path))
    assert "| mill-road | 0123456 | 3 | 2 | 1 | 1 | 0 |" in result.output
    assert "| mill-road | drawn-0001 pair a+b open | 0123456 | e1 | LOST 2 | 0.900 |" in result.output
    assert (
        "| mill-road | drawn-0002 twice a+a open | 0123456 | e1 | 3 ended by itself | 0.900 |"
        in result.output
    )
    assert (
        "| mill-road | drawn-0003 single a kill_all | 0123456+ | e1 | slow; given up | 0.900 |"
        in result.output
    )
    assert "trouble-1" not in result.output
