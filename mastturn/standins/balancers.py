"""Runs real balancer processes on loopback, configured by files as on the platform (DEPLOY)."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

from mastturn.standins.plan import Plan
from mastturn.standins.ports import free_port
from mastturn.standins.process import Process, responds_ok


def settings(plan: Plan, tier: int, balancers: int) -> dict[str, Any]:
    """Return the settings of one tier's balancers, with the field names of the simulator's first message."""
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
                "name": request_class.name,
                "target": request_class.aim_ms,
                "deadline": request_class.deadline_ms,
                "effect": "fragile" if request_class.effect == "once" else "retryable",
                "worth": 1.0,
            }
            for request_class in plan.classes
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
    """A balancer process; it keeps its name and address across restarts."""

    def __init__(
        self,
        name: str,
        discovery: str | list[str],
        known: dict[str, Any] | None,
        settings_values: dict[str, Any],
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
            "settings": settings_values,
        }
        self.process = Process(name, folder)

    async def start(self) -> None:
        """Start the process and wait until it is ready; raises LabError if it exits or does not get ready."""
        path = self._folder / f"{self.name}.json"
        seed = f"{time.time_ns() & 0xFFFFFFFFFFFFFFFF:016x}"
        path.write_text(json.dumps(self._config | {"seed": seed}))
        environment = {"EDGE_CONFIG": str(path), "TMPDIR": str(self._folder)}
        await self.process.start("passpost", environment=environment)
        await self.process.wait_until_ready(lambda: responds_ok(self.address, "/health/ready"))

    async def kill(self) -> None:
        """Kill the process with SIGKILL."""
        await self.process.kill()

    async def stop(self) -> None:
        """Stop the process with SIGTERM, and kill it if it does not exit in time."""
        await self.process.stop()
