"""Command `python3 -m mastturn.smallfleet --seconds 8`: runs a small fleet and stops it again."""

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
from mastturn.smallfleet.play import SmallFleet, as_json, still_running

USAGE = (
    "usage: python3 -m mastturn.smallfleet"
    " [--seconds=S] [--calm] [--folder=DIR] [--other=DIR] [--shared] [--json]"
)


def _define_flags() -> flags.FlagValues:
    flag_values = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_float(
        "seconds", 8.0, "How long clients send requests.", 1.0, 86_400.0, flag_values=flag_values
    )
    flags.DEFINE_bool("calm", False, "Kill no process.", flag_values=flag_values)
    flags.DEFINE_string("folder", "", "Folder for settings, disks and logs.", flag_values=flag_values)
    flags.DEFINE_string("other", "", "Another checkout, whose program core-b and edge-b run.", flag_values)
    flags.DEFINE_bool(
        "shared", False, "Control processes and balancers share machines.", flag_values=flag_values
    )
    flags.DEFINE_bool(
        "json", False, "Print the result as one JSON object at the end.", flag_values=flag_values
    )
    return flag_values


def _log(text: str) -> None:
    print(text, flush=True)


def _other_checkout(name: str) -> Path | None:
    """Return the path of a checkout, None without a name; raises LabError if it holds no program."""
    if not name:
        return None
    folder = Path(name).resolve()
    if not program_of(folder):
        raise LabError(f"{folder} holds no mastturnd/: name a checkout of this project")
    return folder


async def _run_fleet(folder: Path, options: flags.FlagValues) -> int:
    fleet = SmallFleet(folder, _log, _other_checkout(options.other), options.shared)
    result = await fleet.run(options.seconds, not options.calm)
    if options.json:
        _log(json.dumps(as_json(result)))
    else:
        end_counts = "  ".join(
            f"{end} {getattr(result, end)}" for end in ("served", "refused", "failed", "cut")
        )
        _log(f"{end_counts}  ran twice {result.ran_twice}  first event {result.first_ms:.0f} ms (median)")
        peaks = ", ".join(f"{name} {peak}" for name, peak in result.memory_mb.items())
        _log(f"peak memory in MB: {peaks}")
        for line in result.unclean:
            _log(line)
    remaining = still_running(fleet.pids())
    _log("all that was started has ended" if not remaining else f"still running: {remaining}")
    return 0 if result.is_good and not remaining else 1


def main(argv: list[str]) -> int:
    """Run the command; returns 0 on success, 1 on lost requests or a failed start, 2 on a usage error."""
    options = _define_flags()
    if "--help" in argv:
        print(USAGE)
        return 0
    try:
        remaining = options(argv)[1:]
        if remaining:
            raise flags.Error(f"unknown argument {remaining[0]!r}")
    except flags.Error as error:
        print(f"{str(error).splitlines()[0]}; {USAGE}", file=sys.stderr)
        return 2
    logging.getLogger("aiohttp").setLevel(logging.ERROR)
    try:
        if options.folder:
            folder = Path(options.folder).resolve()
            folder.mkdir(parents=True, exist_ok=True)
            if any(folder.iterdir()):
                raise LabError(f"{folder} is not empty: name a new folder")
            return asyncio.run(_run_fleet(folder, options))
        with tempfile.TemporaryDirectory(prefix="mastturn-") as name:
            return asyncio.run(_run_fleet(Path(name), options))
    except LabError as error:
        print(f"smallfleet: {error}", file=sys.stderr)
        return 1
    except OSError as error:
        print(f"smallfleet: {error}; free the address, or name another folder", file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main(sys.argv))
