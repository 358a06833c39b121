"""Command line of the emulator: simulates days and writes the tables and plots of docs/placement.md."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path

from absl import flags

from mastturn.engines import compare, page
from mastturn.engines import days as built_in
from mastturn.engines.choosers import CHOOSERS
from mastturn.engines.deployment import load
from mastturn.engines.play import play
from mastturn.files import LabError

USAGE = """usage: python -m mastturn.engines VERB ... [--seeds=N] [--jobs=N] [--chooser=NAME] [--days=A,B]
  [--folder=DIR]
  play SITE DAY               print the score of one day as JSON; DAY: of the site, or built in (see `days`)
  days SITE DIR               write the built-in days as files that the bench can run
  compare SITE...             run all choosers on them; results to FOLDER/choosers-NAME.json
  hold SITE REPORT...         compare with reports of the bench (DAY.json, DAY-sSEED.json);
                              results to FOLDER/held-NAME.json
  page                        write the tables and plots of docs/placement.md from FOLDER"""


def _define_flags() -> flags.FlagValues:
    results = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_integer("seeds", 8, "Number of seeds, counted from 1.", 1, 1000, flag_values=results)
    flags.DEFINE_integer("seed", 1, "The seed of `play`.", 0, flag_values=results)
    flags.DEFINE_integer("jobs", 3, "Number of parallel processes.", 1, 64, flag_values=results)
    flags.DEFINE_list("days", [], "Days of `compare`; default: all.", flag_values=results)
    flags.DEFINE_enum("chooser", "ours", list(CHOOSERS), "Upstream chooser of `play`.", flag_values=results)
    flags.DEFINE_string("folder", "docs/placement", "Folder of results and plots.", flag_values=results)
    flags.DEFINE_string("page", "docs/placement.md", "Page to update.", flag_values=results)
    return results


def _play(options: flags.FlagValues, arguments: list[str]) -> None:
    deployment = load(Path(arguments[0]))
    day = {candidate.name: candidate for candidate in built_in.built_in_days(deployment)}.get(
        arguments[1]
    ) or deployment.day(arguments[1])
    print(json.dumps(asdict(play(deployment, day, options.seed, CHOOSERS[options.chooser])), indent=1))


def _days(options: flags.FlagValues, arguments: list[str]) -> None:
    for path in built_in.write(load(Path(arguments[0])), Path(arguments[1])):
        print(path)


def _compare(options: flags.FlagValues, arguments: list[str]) -> None:
    for site in arguments:
        results = compare.compare(Path(site), options.days, options.seeds, options.jobs)
        compare.save(results, Path(options.folder) / f"choosers-{results[0].site}.json")


def _hold(options: flags.FlagValues, arguments: list[str]) -> None:
    results = compare.compare_with_bench(
        Path(arguments[0]), [Path(r) for r in arguments[1:]], options.seeds, options.jobs
    )
    compare.save(results, Path(options.folder) / f"held-{results[0].site}.json")


def _page(options: flags.FlagValues, arguments: list[str]) -> None:
    page.write(Path(options.page), Path(options.folder))


VERBS: dict[str, tuple[Callable[[flags.FlagValues, list[str]], None], int]] = {
    "play": (_play, 2),
    "days": (_days, 2),
    "compare": (_compare, 1),
    "hold": (_hold, 2),
    "page": (_page, 0),
}


def main(argv: list[str]) -> int:
    """Run the command; returns 0, 1 for an unusable file, or 2 for a wrong call."""
    options = _define_flags()
    if "--help" in argv:
        print(USAGE)
        return 0
    try:
        verb, *arguments = options(argv)[1:] or [""]
        if verb not in VERBS or len(arguments) < VERBS[verb][1]:
            raise flags.Error("name a verb and what it needs")
    except flags.Error as error:
        print(f"{str(error).splitlines()[0]}; {USAGE}", file=sys.stderr)
        return 2
    try:
        VERBS[verb][0](options, arguments)
    except (LabError, OSError) as error:
        print(f"engines: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
