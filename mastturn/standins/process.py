"""A program of ours as a process: started, killed, stopped and continued by its own number, nobody else's."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from aiohttp import ClientError, ClientSession, ClientTimeout

from mastturn.files import LabError

READY_S = 15.0  # until a program has to be ready
END_S = 5.0  # until one that was told to end has to have ended
LOOK_S = 0.02  # between two looks


class Process:
    """One program; started again it has the same name and log."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name = name
        self.log = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None

    @property
    def runs(self) -> bool:
        """Whether there is a process."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        """The number of the process that was started last."""
        assert self._process is not None
        return self._process.pid

    @property
    def status(self) -> int | None:
        """How the last one ended."""
        return self._process.returncode if self._process is not None else None

    async def start(self, *words: str, environment: dict[str, str] | None = None) -> None:
        """Run `python -m WORDS`; what it writes goes to its log."""
        kept = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *words,
                env=kept | (environment or {}),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,  # Ctrl-C is for us: we end what we have started
            )

    async def until_ready(self, is_ready: Callable[[], Awaitable[bool]]) -> None:
        """Wait until it is; LabError if it ends or does not get ready."""
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            if not self.runs:
                raise LabError(f"{self.name} ended with {self.status}: {self.last_words()}")
            if await is_ready():
                return
            await asyncio.sleep(LOOK_S)
        raise LabError(f"{self.name} is not ready after {READY_S:.0f} s: {self.last_words()}")

    def last_words(self) -> str:
        """The last line of its log."""
        lines = self.log.read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else "it has written nothing"

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal, if it runs."""
        if self._process is not None and self.runs:
            self._process.send_signal(number)

    async def kill(self) -> None:
        """End it without a word."""
        if self._process is not None and self.runs:
            self._process.kill()
            await self._process.wait()

    async def stop(self) -> None:
        """Tell it to end, and kill it if it does not."""
        if self._process is None or not self.runs:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(END_S):
                await self._process.wait()
        except TimeoutError:
            await self.kill()


async def answers(address: str, target: str) -> bool:
    """Whether a program answers 200 there."""
    try:
        async with (
            ClientSession(timeout=ClientTimeout(total=1.0)) as session,
            session.get(f"http://{address}{target}") as answer,
        ):
            return answer.status == 200
    except (ClientError, OSError, TimeoutError):
        return False
