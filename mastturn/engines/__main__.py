"""Play days of split engines in simulated time, and write docs/placement.md's tables and plots."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path

from absl import flags

from mastturn.engines import compare, page
from mastturn.engines import days as own
from mastturn.engines.choosers import CHOOSERS
from mastturn.engines.deployment import load
from mastturn.engines.play import play
from mastturn.files import LabError

USAGE = """usage: python -m mastturn.engines VERB ... [--seeds=N] [--jobs=N] [--chooser=NAME] [--days=A,B]
  [--folder=DIR]
  play SITE DAY               one day, as JSON; DAY: one of the site's or of our own (see `days`)
  days SITE DIR               write those days of our own as files that the bench plays
  compare SITE...             all choosers on them; figures to FOLDER/choosers-NAME.json
  hold SITE REPORT...         beside the bench's reports (DAY.json, DAY-sSEED.json); to FOLDER/held-NAME.json
  page                        the tables and plots of docs/placement.md, from FOLDER"""


def _flags() -> flags.FlagValues:
    found = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_integer("seeds", 8, "How many seeds, from 1 on.", 1, 1000, flag_values=found)
    flags.DEFINE_integer("seed", 1, "The seed of `play`.", 0, flag_values=found)
    flags.DEFINE_integer("jobs", 3, "Processes side by side.", 1, 64, flag_values=found)
    flags.DEFINE_list("days", [], "Days of `compare`; all if none is named.", flag_values=found)
    flags.DEFINE_enum("chooser", "ours", list(CHOOSERS), "Who chooses in `play`.", flag_values=found)
    flags.DEFINE_string("folder", "docs/placement", "Where figures and plots are.", flag_values=found)
    flags.DEFINE_string("page", "docs/placement.md", "The page.", flag_values=found)
    return found


def _play(given: flags.FlagValues, rest: list[str]) -> None:
    sheet = load(Path(rest[0]))
    day = {d.name: d for d in own.own_days(sheet)}.get(rest[1]) or sheet.day(rest[1])
    print(json.dumps(asdict(play(sheet, day, given.seed, CHOOSERS[given.chooser])), indent=1))


def _days(given: flags.FlagValues, rest: list[str]) -> None:
    for path in own.write(load(Path(rest[0])), Path(rest[1])):
        print(path)


def _compare(given: flags.FlagValues, rest: list[str]) -> None:
    for site in rest:
        found = compare.compare(Path(site), given.days, given.seeds, given.jobs)
        compare.save(found, Path(given.folder) / f"choosers-{found[0].site}.json")


def _hold(given: flags.FlagValues, rest: list[str]) -> None:
    found = compare.hold(Path(rest[0]), [Path(r) for r in rest[1:]], given.seeds, given.jobs)
    compare.save(found, Path(given.folder) / f"held-{found[0].site}.json")


def _page(given: flags.FlagValues, rest: list[str]) -> None:
    page.write(Path(given.page), Path(given.folder))


VERBS: dict[str, tuple[Callable[[flags.FlagValues, list[str]], None], int]] = {
    "play": (_play, 2),
    "days": (_days, 2),
    "compare": (_compare, 1),
    "hold": (_hold, 2),
    "page": (_page, 0),
}


def main(argv: list[str]) -> int:
    """Exit code 0, 1 for a file that can't be used, 2 for a wrong call."""
    given = _flags()
    if "--help" in argv:
        print(USAGE)
        return 0
    try:
        verb, *rest = given(argv)[1:] or [""]
        if verb not in VERBS or len(rest) < VERBS[verb][1]:
            raise flags.Error("name a verb and what it needs")
    except flags.Error as error:
        print(f"{str(error).splitlines()[0]}; {USAGE}", file=sys.stderr)
        return 2
    try:
        VERBS[verb][0](given, rest)
    except (LabError, OSError) as error:
        print(f"engines: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
