"""What the scripts of the second review share: a small fleet and its upstreams, started and ended."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from stand_ins_2 import ROOT, ZONES, Fleet, Platform, Process, Record, call, entry

HELD, BROKEN, NOT_PLAYED = 0, 1, 2
LIMIT_S = 110.0
PHASES = ("prefill", "prefill", "decode", "decode", "decode")


class NotPlayedError(Exception):
    """The case could not run."""


@dataclass(slots=True)
class Surroundings:
    """The fleet of a case with its platform and upstreams."""

    folder: Path
    record: Record
    fleet: Fleet
    platform: Platform
    upstreams: dict[str, Process] = field(default_factory=dict)
    log: Path = Path()

    async def start_upstreams(self, phases: tuple[str, ...] = PHASES, **options: Any) -> None:
        """Start the upstreams `u-1`, `u-2` and so on; `options` are those of `upstream_2.py`."""
        self.log = self.folder / "upstreams.jsonl"
        for i, phase in enumerate(phases):
            self.add_upstream(f"u-{i + 1}", i + 1, phase, **options)
        for name, process in self.upstreams.items():
            await self.wait_for_upstream(name, process)

    def add_upstream(self, name: str, number: int, phase: str, **options: Any) -> None:
        """Start one upstream and put it on the platform's list."""
        address, capacity = self.fleet.stand_in(number), options.get("capacity", 64)
        given = {"id": name, "address": address, "phase": phase, "log": str(self.log)}
        values = given | {k: v(name) if callable(v) else v for k, v in options.items()}
        command = ["python3", "-S", str(Path(__file__).parent / "upstream_2.py"), json.dumps(values)]
        process = Process(name, command, self.folder, {})
        process.start()
        self.upstreams[name] = process
        self.platform.entries.append(entry(name, "llm", address, ZONES[number % 3], phase, capacity))

    async def wait_for_upstream(self, name: str, process: Process) -> None:
        """Wait until an upstream listens; raises NotPlayedError."""
        address = next(e["addr"] for e in self.platform.entries if e["id"] == name)
        for _ in range(100):
            if await call(address, "GET", "/healthz") is not None:
                return
            await asyncio.sleep(0.1)
        raise NotPlayedError(f"{name} doesn't listen: {process.log_text()}")

    async def start_fleet(self, configuration: dict[str, Any]) -> None:
        """Start the fleet with its first configuration; raises NotPlayedError."""
        self.fleet.start_all()
        if not await self.fleet.put(configuration, 0):
            raise NotPlayedError("the first configuration was not acknowledged")
        if not await self.fleet.wait_ready():
            raise NotPlayedError("the balancers did not become ready")
        self.record.write(f"{len(self.fleet.machines)} processes run; configuration 1 is acknowledged")

    def notes(self, what: str) -> list[dict[str, Any]]:
        """Return the lines of the upstreams' log of one kind."""
        if not self.log.exists():
            return []
        lines = (json.loads(line) for line in self.log.read_text(encoding="utf-8").splitlines())
        return [line for line in lines if line["what"] == what]

    async def end(self) -> None:
        """End everything that was started."""
        await self.fleet.stop_all()
        await asyncio.gather(*(process.stop() for process in self.upstreams.values()))


async def _play(case: Path, play: Callable[[Surroundings], Awaitable[int]], sizes: dict[str, int]) -> int:
    record = Record(case)
    with tempfile.TemporaryDirectory(prefix="review-2-") as name:
        fleet = Fleet(Path(name), **sizes)
        platform = Platform(fleet.stand_in(0))
        surroundings = Surroundings(Path(name), record, fleet, platform)
        playing = asyncio.current_task()
        assert playing is not None
        for number in (signal.SIGTERM, signal.SIGINT):  # also then all that was started is ended
            asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
        try:
            await platform.start()
            async with asyncio.timeout(LIMIT_S):
                result = await play(surroundings)
        except (NotPlayedError, TimeoutError, OSError) as error:
            record.write(f"not played: {type(error).__name__}: {error}")
            result = NOT_PLAYED
        except asyncio.CancelledError:
            record.write("not played: the script was told to stop")
            result = NOT_PLAYED
        except Exception:
            record.write(f"not played: {traceback.format_exc()}")
            result = NOT_PLAYED
        finally:
            await surroundings.end()
        texts = {HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_PLAYED: "the case could not run"}
        record.write(texts[result])
        return result


def run(case: str, play: Callable[[Surroundings], Awaitable[int]], **sizes: int) -> None:
    """Play a case and exit with its result; `case`: its script's `__file__`; `sizes`: those of a `Fleet`."""
    assert (ROOT / "mastturnd").is_dir()
    sys.exit(asyncio.run(_play(Path(case).resolve().parent, play, sizes)))
