"""Runs a Python program as a child process, which is signalled only by its own process id."""

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

READY_TIMEOUT_S = 15.0  # time limit until a program is ready
STOP_TIMEOUT_S = 5.0  # time limit from SIGTERM to the exit
POLL_INTERVAL_S = 0.02  # interval between readiness checks


class Process:
    """A child process; it keeps its name and log across restarts."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name = name
        self.log = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        """Process id of the last start."""
        assert self._process is not None
        return self._process.pid

    @property
    def exit_status(self) -> int | None:
        """Exit status of the last process; None while it runs."""
        return self._process.returncode if self._process is not None else None

    async def start(self, *arguments: str, environment: dict[str, str] | None = None) -> None:
        """Run `python -m ARGUMENTS` with its output in the log."""
        inherited = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *arguments,
                env=inherited | (environment or {}),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,  # Ctrl-C reaches only the parent, which stops its children
            )

    async def wait_until_ready(self, is_ready: Callable[[], Awaitable[bool]]) -> None:
        """Wait until `is_ready` returns true; raises LabError if the process exits or does not get ready."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if not self.is_running:
                raise LabError(f"{self.name} exited with status {self.exit_status}: {self.last_log_line()}")
            if await is_ready():
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise LabError(f"{self.name} is not ready after {READY_TIMEOUT_S:.0f} s: {self.last_log_line()}")

    def last_log_line(self) -> str:
        """Return the last line of the log."""
        lines = self.log.read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else "its log is empty"

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self.is_running:
            self._process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process with SIGKILL."""
        if self._process is not None and self.is_running:
            self._process.kill()
            await self._process.wait()

    async def stop(self) -> None:
        """Stop the process with SIGTERM, and kill it if it does not exit in time."""
        if self._process is None or not self.is_running:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self._process.wait()
        except TimeoutError:
            await self.kill()


async def responds_ok(address: str, target: str) -> bool:
    """Whether a GET of `target` at `address` returns status 200."""
    try:
        async with (
            ClientSession(timeout=ClientTimeout(total=1.0)) as session,
            session.get(f"http://{address}{target}") as answer,
        ):
            return answer.status == 200
    except (ClientError, OSError, TimeoutError):
        return False
