"""The command of the control state's checks: what it plays, keeps, draws and says."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from mastturn.control_check.__main__ import SEARCHES, main
from mastturn.control_check.history import History
from mastturn.control_check.kept import Series, read_series, summarize, takeovers_table, write_series
from mastturn.control_check.shape import Shape, Takeover
from mastturn.files import LabError


def call(*words: str) -> tuple[int, str]:
    done = CliRunner().invoke(main, list(words))
    return done.exit_code, done.output


def history(seed: int, *gaps: tuple[str, float], broken: str = "") -> History:
    found = tuple(Takeover(trouble, took) for trouble, took in gaps)
    return History(seed, broken, broken, 0.0, 2, 1, 3, found, (160.0,), (), 0.0)


def test_histories_are_played_kept_and_drawn(tmp_path: Path) -> None:
    kept, picture = tmp_path / "new" / "three.json", tmp_path / "three.png"
    status, said = call("play", "--count", "2", "--jobs", "1", "--out", str(kept))
    assert status == 0 and "| 3 machines, 1 ms a sync | 0 to 1 | 0 |" in said
    status, drawn = call("draw", str(kept), "--out", str(picture))
    assert status == 0 and drawn == said and picture.read_bytes().startswith(b"\x89PNG")


def test_a_table_says_what_took_longer_than_the_aim() -> None:
    one, two = history(4, ("kill", 600.0), ("kill", 1_600.0)), history(5, ("kill", 700.0), ("kill+hang", 9.0))
    series = summarize(Shape(3, 1), [one, two])
    assert (series.first, series.last, series.acknowledged, series.reads, series.views) == (4, 5, 4, 2, 6)
    table = takeovers_table([series])
    assert "| killed | 3: 700, 1,600, 1,600; 1 above |" in table
    assert "| two troubles at once | 1: 9, 9, 9 |" in table and "| wiped | - |" in table


def test_a_broken_rule_is_said_and_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    found = [history(7, broken="no loss: 3 after 4")]
    monkeypatch.setattr("mastturn.control_check.__main__.play_all", lambda *_: found)
    status, said = call("play", "--count", "1")
    assert status == 1 and "a rule is broken: 7: no loss: 3 after 4" in said


def test_what_is_no_series_is_refused(tmp_path: Path) -> None:
    bad = tmp_path / "bad.json"
    bad.write_text('{"machines": 3}')
    with pytest.raises(LabError, match="make one with play --out"):
        read_series(bad)
    status, said = call("draw", str(bad))
    assert status == 1 and "is no series of histories" in said


def test_a_search_says_how_far_it_went() -> None:
    status, said = call("search", "three", "--states", "300", "--jobs", "1")
    row = said.splitlines()[-1]
    assert status == 0 and row.startswith("| 3 | 2 | 1 | 1 | ") and "no: all of fewer than" in row
    assert {b.machines for b in SEARCHES.values()} == {3, 5}


def test_series_come_back_as_they_were(tmp_path: Path) -> None:
    series: Series = summarize(Shape(5, 2, sync_ms=5.0), [history(1, ("wipe", 812.25))])
    write_series(tmp_path / "five.json", series)
    assert read_series(tmp_path / "five.json") == series and series.gaps == {"wipe": [812.2]}
