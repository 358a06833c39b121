"""Real balancer processes on loopback, told by configuration files as the platform tells them (DEPLOY)."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

from mastturn.standins.plan import Plan
from mastturn.standins.ports import free_port
from mastturn.standins.process import Process, answers


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
        self,
        name: str,
        discovery: str | list[str],
        known: dict[str, Any] | None,
        figures: dict[str, Any],
        folder: Path,
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
        self.process = Process(name, folder)

    async def start(self) -> None:
        """Start it, and wait until it is ready; LabError if it ends or does not get ready."""
        path = self._folder / f"{self.name}.json"
        seed = f"{time.time_ns() & 0xFFFFFFFFFFFFFFFF:016x}"
        path.write_text(json.dumps(self._config | {"seed": seed}))
        environment = {"EDGE_CONFIG": str(path), "TMPDIR": str(self._folder)}
        await self.process.start("passpost", environment=environment)
        await self.process.until_ready(lambda: answers(self.address, "/health/ready"))

    async def kill(self) -> None:
        """End it without a word."""
        await self.process.kill()

    async def stop(self) -> None:
        """Tell it to end, and kill it if it does not."""
        await self.process.stop()
