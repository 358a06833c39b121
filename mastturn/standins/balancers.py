"""Real balancer processes on loopback, told by configuration files as the platform tells them (DEPLOY)."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
import time
from pathlib import Path
from typing import Any

from aiohttp import ClientError, ClientSession

from mastturn.files import LabError
from mastturn.standins.plan import Plan

READY_S = 15.0  # until a balancer has to be ready
END_S = 5.0  # until one that was told to end has to have ended
LOOK_S = 0.02  # between two looks


def free_port() -> int:
    """A port that the system has free."""
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return int(found.getsockname()[1])


def settings(plan: Plan, tier: int, balancers: int) -> dict[str, Any]:
    """The settings of one tier's balancers, by the names of the simulator's first message."""
    return {
        "balancers": balancers,
        "tier": tier,
        "stages": ["front", "kitchen"],
        "azs": ["a"],
        "zone": "a",
        "discovery": "push",
        "tick": 5.0,
        "weights": "none",
        "classes": [
            {
                "name": kind.name,
                "target": kind.aim_ms,
                "deadline": kind.deadline_ms,
                "effect": "fragile" if kind.effect == "once" else "retryable",
                "worth": 1.0,
            }
            for kind in plan.classes
        ],
        "limits": {
            "attemptsCap": 4,
            "mayCancel": True,
            "mayDuplicate": False,
            "probes": True,
            "retryAfter": True,
            "maxRetryAfter": 2_000.0,
            "connectTimeout": 150.0,
            "connIdle": 15_000.0,
        },
        "contract": {
            "graceToAnswer": 20.0,
            "cold": 2_000.0,
            "coldFrom": 0.5,
            "overloadFactor": 2.5,
            "tipAfter": 2_000.0,
        },
        "telemetry": {"how": "answers", "fields": ["latency_ms", "util"]},
    }


class Balancer:
    """One balancer process; started again it has the same name and address."""

    def __init__(
        self, name: str, discovery: str, known: dict[str, Any], figures: dict[str, Any], folder: Path
    ) -> None:
        self.name, self._folder = name, folder
        self.address = f"127.0.0.1:{free_port()}"
        self._config = {
            "name": name,
            "listen": self.address,
            "discovery": discovery,
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
            "known": known,
            "settings": figures,
        }
        self._process: asyncio.subprocess.Process | None = None

    @property
    def log(self) -> Path:
        """What it has written."""
        return self._folder / f"{self.name}.log"

    async def start(self) -> None:
        """Start it, and wait until it is ready; LabError if it ends or does not get ready."""
        path = self._folder / f"{self.name}.json"
        seed = f"{time.time_ns() & 0xFFFFFFFFFFFFFFFF:016x}"
        path.write_text(json.dumps(self._config | {"seed": seed}))
        environment = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "passpost",
                env=environment | {"EDGE_CONFIG": str(path), "TMPDIR": str(self._folder)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,  # Ctrl-C is for us: we end what we have started
            )
        await self._wait_ready()

    async def _wait_ready(self) -> None:
        assert self._process is not None
        until = time.monotonic() + READY_S
        async with ClientSession() as session:
            while time.monotonic() < until:
                if self._process.returncode is not None:
                    raise LabError(f"{self.name} ended with {self._process.returncode}: {self._last_words()}")
                try:
                    async with session.get(f"http://{self.address}/health/ready") as answer:
                        if answer.status == 200:
                            return
                except (ClientError, OSError):
                    pass
                await asyncio.sleep(LOOK_S)
        raise LabError(f"{self.name} is not ready after {READY_S:.0f} s: {self._last_words()}")

    def _last_words(self) -> str:
        lines = self.log.read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else "it has written nothing"

    async def kill(self) -> None:
        """End it without a word."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    async def stop(self) -> None:
        """Tell it to end, and kill it if it does not."""
        if self._process is None or self._process.returncode is not None:
            return
        self._process.terminate()
        try:
            async with asyncio.timeout(END_S):
                await self._process.wait()
        except TimeoutError:
            await self.kill()
