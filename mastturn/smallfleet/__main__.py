"""`python3 -m mastturn.smallfleet --seconds 8`: a small whole fleet, from its start to its end."""

from __future__ import annotations

import asyncio
import json
import logging
import sys
import tempfile
from pathlib import Path

from absl import flags

from mastturn.files import LabError
from mastturn.smallfleet.layout import program_of
from mastturn.smallfleet.play import Play, as_json, left

USAGE = (
    "usage: python3 -m mastturn.smallfleet"
    " [--seconds=S] [--calm] [--folder=DIR] [--other=DIR] [--shared] [--json]"
)


def _flags() -> flags.FlagValues:
    found = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_float("seconds", 8.0, "How long clients ask.", 1.0, 86_400.0, flag_values=found)
    flags.DEFINE_bool("calm", False, "Kill nobody.", flag_values=found)
    flags.DEFINE_string("folder", "", "Keep settings, disks and logs there.", flag_values=found)
    flags.DEFINE_string("other", "", "Another checkout, whose program core-b and edge-b run.", found)
    flags.DEFINE_bool("shared", False, "Control processes and balancers share machines.", flag_values=found)
    flags.DEFINE_bool("json", False, "Print the result as one JSON object at the end.", flag_values=found)
    return found


def _say(text: str) -> None:
    print(text, flush=True)


def _other(name: str) -> Path | None:
    """The checkout of that name; raises LabError where it holds no program of ours."""
    if not name:
        return None
    folder = Path(name).resolve()
    if not program_of(folder):
        raise LabError(f"{folder} holds no mastturnd/: name a checkout of this project")
    return folder


async def _play(folder: Path, given: flags.FlagValues) -> int:
    play = Play(folder, _say, _other(given.other), given.shared)
    result = await play.run(given.seconds, not given.calm)
    if given.json:
        _say(json.dumps(as_json(result)))
    else:
        ends = "  ".join(f"{end} {getattr(result, end)}" for end in ("served", "refused", "failed", "cut"))
        _say(f"{ends}  ran twice {result.ran_twice}  first event {result.first_ms:.0f} ms (median)")
        peaks = ", ".join(f"{name} {peak}" for name, peak in result.memory_mb.items())
        _say(f"peak memory in MB: {peaks}")
        for line in result.unclean:
            _say(line)
    rest = left(play.pids())
    _say("all that was started has ended" if not rest else f"still there: {rest}")
    return 0 if result.is_good and not rest else 1


def main(argv: list[str]) -> int:
    """Exit code 0 if all went well, 1 if something was lost or did not start, 2 for a wrong call."""
    given = _flags()
    if "--help" in argv:
        print(USAGE)
        return 0
    try:
        rest = given(argv)[1:]
        if rest:
            raise flags.Error(f"what is {rest[0]!r}")
    except flags.Error as error:
        print(f"{str(error).splitlines()[0]}; {USAGE}", file=sys.stderr)
        return 2
    logging.getLogger("aiohttp").setLevel(logging.ERROR)
    try:
        if given.folder:
            folder = Path(given.folder).resolve()
            folder.mkdir(parents=True, exist_ok=True)
            if any(folder.iterdir()):
                raise LabError(f"{folder} is not empty: name a new folder")
            return asyncio.run(_play(folder, given))
        with tempfile.TemporaryDirectory(prefix="mastturn-") as name:
            return asyncio.run(_play(Path(name), given))
    except LabError as error:
        print(f"smallfleet: {error}", file=sys.stderr)
        return 1
    except OSError as error:
        print(f"smallfleet: {error}; free the address, or name another folder", file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main(sys.argv))
