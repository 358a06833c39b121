"""Overlapping days: reproducible by number, covering every kind and closing, with concurrent changes."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest
from click.testing import CliRunner

from mastturn.days.__main__ import main
from mastturn.days.control import CUTS
from mastturn.days.draw import LENGTH_S, Site
from mastturn.days.listed import LISTED_KINDS
from mastturn.days.overlap import CLOSINGS, LAST_S, OVERLAP_S, PROFILES, Profile, draw_overlapping_day
from mastturn.days.written import write_day

SITE = Site("mill-road", (), ["mill-llm"], ["ask"], {"trouble": {"goal": {"floor": 0.4}, "traffic": []}})
# The kinds of `fleetbench kinds`, without those that the sites here don't support.
BENCH_KINDS = frozenset(
    "ack_lost after_ack_kill after_ack_wipe answer_lost bad_config burst clock_step config_change "
    "config_race config_storm core_cut disk_full disk_slow disk_stall garble give_up handle_short "
    "herd_kill hup kv_slow node_cut node_freeze node_kill node_slow release replace_core "
    "replace_with_reuse reset_conns retry_abuse roll_term scale_in scale_out seed_turnover srv_crash "
    "srv_cut srv_grey srv_slow".split()
)


def cycle_length(profile: Profile) -> int:
    """Return the number of days after which each kind has been combined with each closing."""
    return len(profile.kinds) * len(CLOSINGS)


DAYS = {
    p.name: [draw_overlapping_day(SITE, p, number) for number in range(4 * cycle_length(p))] for p in PROFILES
}
each_profile = pytest.mark.parametrize("profile", PROFILES, ids=lambda p: p.name)


@each_profile
def test_a_number_always_gives_the_same_day(profile: Profile) -> None:
    assert [draw_overlapping_day(SITE, profile, number) for number in range(30)] == DAYS[profile.name][:30]


@each_profile
def test_a_day_reads_back_from_its_file_as_drawn(profile: Profile) -> None:
    for day in DAYS[profile.name]:
        assert tomllib.loads(write_day(day)) == {"day": [day]}


@each_profile
def test_every_kind_meets_every_closing_within_one_turn(profile: Profile) -> None:
    days = DAYS[profile.name][: cycle_length(profile)]
    combinations = {
        (day["name"].split()[2].split("+")[0], day.get("closing", {}).get("kind")) for day in days
    }
    assert combinations == {(kind.name, closing) for kind in profile.kinds for closing in CLOSINGS}


def test_all_that_the_bench_lists_is_drawn_in_every_variant() -> None:
    troubles = [t for day in DAYS["listed"] for t in day["plan"] + day["faults"]]
    assert {t["kind"] for t in troubles} >= BENCH_KINDS
    for kind in LISTED_KINDS:
        drawn = {str(t.get("how", "")) for t in troubles if t["kind"] == kind.name}
        assert {how for how in kind.hows if how} <= {part for how in drawn for part in prefixes(how)}


def prefixes(how: str) -> set[str]:
    """Return the word prefixes of a variant; targets and operators' actions follow the form."""
    words = how.split()
    return {" ".join(words[:n]) for n in range(1, len(words) + 1)}


def test_every_form_of_a_cut_is_drawn() -> None:
    cuts = [t for day in DAYS["control"] for t in day["faults"] if t["kind"] == "core_cut"]
    drawn = {word for cut in cuts for word in str(cut.get("how", "")).split()}
    assert {form for form in CUTS if form} <= drawn
    assert max(cut["for_s"] for cut in cuts) > 20.0


@each_profile
def test_troubles_overlap_or_follow_one_another_closely(profile: Profile) -> None:
    for day in DAYS[profile.name]:
        kinds = day["name"].split()[2].split("+")
        troubles = [t for t in day["plan"] + day["faults"] if t["kind"] in kinds]
        assert len(troubles) in (2, 3)
        for trouble in troubles:
            others = [t for t in troubles if t is not trouble]
            ends = [m for t in others for m in (t["at"], t["at"] + t.get("for_s", 1.0))]
            ends += [m - trouble.get("for_s", 1.0) for t in others for m in (t["at"],)]
            near = any(abs(trouble["at"] - moment) <= OVERLAP_S + 0.02 for moment in ends)
            assert near or trouble["at"] in (0.5, LAST_S) or any(t["at"] in (0.5, LAST_S) for t in others)


@each_profile
def test_operators_change_the_configuration_while_troubles_last(profile: Profile) -> None:
    for day in DAYS[profile.name]:
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
    result = CliRunner().invoke(main, args)
    assert result.exit_code == 0, result.output
    assert len(list(out.glob("*.toml"))) == 5
