from __future__ import annotations

import json
import subprocess
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result

from mastturn.cli import main
from mastturn.files import LabError
from mastturn.lab.bins import fill_bins, mixed_capacities
from mastturn.lab.run import Task, run_all, run_one
from mastturn.lab.scenario import find_scenario, shipped_scenarios
from mastturn.lab.stats import bootstrap, spearman
from mastturn.lab.versions import Versions

OWN = """
title = "A small day"
load_share = 0.4
length_s = 6.0
[fleet]
balancers_front = 2
machines_front = 4
stretch = 4.0
uneven = 0.1
length_s = 6.0
[[troubles]]
kind = "silent"
at_s = 2.0
for_s = 2.0
part = 0.3
"""


@pytest.fixture
def own(tmp_path: Path) -> Path:
    path = tmp_path / "own.toml"
    path.write_text(OWN)
    return path


def run_cli(*words: str | Path) -> Result:
    return CliRunner().invoke(main, [str(word) for word in words])


def test_every_shipped_scenario_is_there_at_its_sizes() -> None:
    names = {scenario.name for scenario in shipped_scenarios()}
    kinds = ("calm", "release", "lost-zone", "cut-off-zone", "cold-join", "herd", "overload", "busy-stretch")
    assert {f"{kind}-{size}" for kind in kinds for size in (3, 40, 200)} | {"fleet-200"} <= names
    day = find_scenario("fleet-200").day(1)
    inner = [len(machines) for machines in day.machines]
    assert 180 <= day.fleet.balancers_front + inner[0] + inner[1] <= 220
    assert day.fleet.length_ms == 60_000.0
    listing = run_cli("lab", "list")
    assert listing.exit_code == 0 and "fleet-200" in listing.output


@pytest.mark.parametrize(
    ("change", "words"),
    [
        (("length_s = 6.0\n[fleet]", "length_ms = 6.0\n[fleet]"), ["length_ms", "unknown key", "length_s"]),
        (("load_share = 0.4", "load_share = [0.6, 0.4]"), ["load_share", "reversed range"]),
        (("load_share = 0.4", "load_share = 'much'"), ["load_share", "got `str`"]),
        (("part = 0.3", "portion = 0.3"), ["portion", "unknown key"]),
        (("part = 0.3", "part = -0.3"), ["part", "negative"]),
        (("for_s = 2.0\n", ""), ["for_s", "is missing"]),
        (('kind = "silent"', 'kind = "flood"'), ["troubles", "flood"]),
        (("balancers_front = 2", "balancers_front = 0"), ["balancers_front", "1 and more"]),
        (("load_share = 0.4", "load_share = "), ["invalid TOML"]),
        (("title =", 'site = "mars"\ntitle ='), ["mars", "midlands-main"]),
    ],
)
def test_a_bad_scenario_is_one_line_that_names_file_key_and_what_is_allowed(
    own: Path, change: tuple[str, str], words: list[str]
) -> None:
    own.write_text(OWN.replace(*change))
    result = run_cli("lab", "run", own)
    assert result.exit_code == 2 and isinstance(result.exception, SystemExit)
    assert len(result.output.splitlines()) == 1
    for word in words:
        assert word in result.output


@pytest.mark.parametrize(
    "words",
    [
        ("lab", "run", "calm-7"),
        ("lab", "run", "no-such-thing"),
        ("lab", "run", "missing.toml"),
        ("lab", "run", "calm-3", "--seeds", "9..2"),
        ("lab", "run", "calm-3", "--seeds", "a..b"),
        ("lab", "run", "calm-3", "--version", "no-such-rev"),
        ("lab", "compare", "calm-3", "--base", "no-such-rev"),
        ("lab", "trace", "calm-3"),
        ("lab", "run", "calm-3", "--seed", "1", "--seeds", "1..2"),
    ],
)
def test_what_can_not_be_had_is_one_line_and_exit_status_2(words: tuple[str, ...]) -> None:
    result = run_cli(*words)
    assert result.exit_code == 2
    assert len(result.output.splitlines()) == 1 and result.output.startswith("mastturn: ")


def test_a_run_is_written_with_its_digest_and_units_and_is_the_same_again(own: Path, tmp_path: Path) -> None:
    files = [tmp_path / "one.json", tmp_path / "two.json", tmp_path / "other.json"]
    for file, seed in zip(files, ("3", "3", "4"), strict=True):
        assert run_cli("lab", "run", own, "--seed", seed, "--json", file).exit_code == 0
    one, two, other = (json.loads(file.read_bytes()) for file in files)
    assert one == two and one["digest"] != other["digest"]
    assert one["score"]["unit"] and 0 < one["score"]["value"] <= 1
    assert set(one["rules"]) == {"lost", "duplicate", "drain", "cold"}
    assert {"whole", "worst_window", "worst_class", "worst_tenant"} == set(one["parts"])
    lost = sum(item["worth_share"] for item in one["losses"])
    assert lost == pytest.approx(1 - one["parts"]["whole"]["value"], abs=1e-4)


def test_runs_side_by_side_are_those_one_after_another(own: Path) -> None:
    tasks = [Task(str(own), seed, "module", "module") for seed in (1, 2, 3)]
    completed = list[Any]()
    assert list(run_all(tasks, 2, completed.append)) == [run_one(task) for task in tasks]
    assert len(completed) == 3


def test_what_is_done_is_kept_though_a_later_run_fails(own: Path, tmp_path: Path) -> None:
    out = tmp_path / "out"
    assert run_cli("lab", "run", own, "--seeds", "1..2", "--jobs", "1", "--out", out).exit_code == 0
    saved = sorted(path.name for path in out.rglob("*.json"))
    assert saved == ["seed-1.json", "seed-2.json"]
    broken = run_one(Task(str(own), 1, "x", str(tmp_path)))  # a folder without a module
    assert "holds no umberworks" in broken["fault"] or "No module" in broken["fault"]


def test_a_version_from_git_is_compared_with_what_is_here(own: Path, tmp_path: Path) -> None:
    import umberworks

    root = tmp_path / "repo"
    source = Path(str(umberworks.__file__)).parent
    target = root / "umberworks"
    target.mkdir(parents=True)
    for path in source.glob("*.py"):
        (target / path.name).write_text(path.read_text())
    git = ["git", "-C", str(root), "-c", "user.name=a", "-c", "user.email=a@localhost"]
    for words in (["init", "-q"], ["add", "-A"], ["commit", "-qm", "first"]):
        subprocess.run([*git, *words], check=True)
    rules = target / "choice.py"
    rules.write_text(rules.read_text().replace("DRAWS = 4", "DRAWS = 1"))
    with Versions(root) as versions:
        before, after = (
            run_one(Task(str(own), 1, name, versions.folder(name), False)) for name in ("HEAD", ".")
        )
        with pytest.raises(LabError, match="no such commit"):
            versions.folder("no-such")
    assert before["digest"] == run_one(Task(str(own), 1, "module", "module"))["digest"]
    assert before["digest"] != after["digest"]


def test_compare_says_so_when_no_difference_is_seen(own: Path, tmp_path: Path) -> None:
    file = tmp_path / "seen.json"
    result = run_cli(
        "lab", "compare", own, "--base", "random", "--new", "random", "--seeds", "1..3", "--json", file
    )
    assert result.exit_code == 0 and "no difference seen" in result.output
    seen = json.loads(file.read_bytes())
    assert seen[0]["difference"] == {"mean": 0.0, "low": 0.0, "high": 0.0, "count": 3}


def test_a_request_is_followed_from_its_first_byte_to_its_last(own: Path) -> None:
    result = run_cli("lab", "trace", own, "--seed", "3", "--request", "5")
    assert result.exit_code == 0
    for word in ("taken", "attempt 0 sent", "basket", "kitchen", "try 1"):
        assert word in result.output
    box = run_cli("lab", "trace", own, "--server", "kitchen-0")
    assert "kitchen-0" in box.output and box.exit_code == 0
    assert run_cli("lab", "trace", own, "--server", "cellar-0").exit_code == 2
    assert run_cli("lab", "trace", own, "--request", "999999").exit_code == 2


def test_a_bootstrap_holds_the_mean_and_ranks_agree_with_themselves() -> None:
    interval = bootstrap([1.0, 2.0, 3.0, 4.0, 5.0] * 8)
    assert interval.mean == 3.0 and 2.4 < interval.low < 3.0 < interval.high < 3.6
    assert bootstrap([-1.0, 1.0] * 5).contains_zero()
    assert spearman([1, 2, 3, 4], [10, 20, 30, 40]) == pytest.approx(1.0)
    assert spearman([1, 2, 3, 4], [4, 3, 2, 1]) == pytest.approx(-1.0)
    assert spearman([1, 1, 2, 3], [5, 5, 6, 7]) == pytest.approx(1.0)


def test_two_draws_bound_the_maximum_load_over_non_uniform_bins() -> None:
    """Theorem 3: ln ln n / ln d + O(1) for d of 2 or more; one draw goes far beyond."""
    one, two, four = (fill_bins(mixed_capacities(4_000), draws, 1) for draws in (1, 2, 4))
    assert two.max_load <= two.bound + 1.5
    assert four.max_load <= two.max_load < one.max_load
    with pytest.raises(ValueError, match="1 or more"):
        fill_bins([], 2, 1)


def test_a_report_is_one_page_with_pictures_and_the_causes(own: Path, tmp_path: Path) -> None:
    out = tmp_path / "out"
    assert run_cli("lab", "run", own, "--seeds", "1..2", "--out", out).exit_code == 0
    assert run_cli("lab", "run", own, "--seed", "1", "--version", "random", "--out", out).exit_code == 0
    assert run_cli("lab", "report", out).exit_code == 0
    text = (out / "report.html").read_text()
    assert text.count("data:image/png;base64,") == 4  # versions, course, boxes, latency
    assert "http" not in text.replace("http-equiv", "")  # nothing is fetched
    assert "Lost worth by cause" in text and "random" in text
    assert run_cli("lab", "report", tmp_path / "none").exit_code == 2


def test_versions_in_a_journal_are_played_and_held_against_its_figures(tmp_path: Path) -> None:
    import hashlib

    import umberworks
    from mastturn.lab.validate import rank_correlation, read_journal, score_versions

    journal, source = tmp_path / "journal", Path(str(umberworks.__file__)).parent
    (journal / "blobs").mkdir(parents=True)
    files = []
    for path in sorted(source.glob("*.py")):
        digest = hashlib.sha256(path.read_bytes()).hexdigest()
        (journal / "blobs" / f"{digest[:16]}.txt").write_bytes(path.read_bytes())
        files.append({"path": f"umberworks/{path.name}", "sha256": digest})
    days = [{"name": "disco+vast", "G": 0.9}, {"name": "unknown", "G": 0.1}]
    (journal / "1.json").write_text(json.dumps({"policy": files, "days": days}))
    (journal / "2.json").write_text(json.dumps({"policy": [], "days": days}))
    versions = read_journal(journal)
    assert [(v.days, len(v.files_by_path)) for v in versions] == [({"disco+vast": [0.9]}, len(files))]
    found = score_versions(versions, tmp_path, [1], 1, lambda _: None)
    assert found[0].kind == "disco+vast" and found[0].bench == 0.9 and 0.3 < found[0].emulated < 1
    assert rank_correlation(found) != rank_correlation(found)  # of one pair there is none
    with pytest.raises(LabError, match="no such folder"):
        read_journal(tmp_path / "none")
