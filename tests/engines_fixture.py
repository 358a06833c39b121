"""A small deployment and a test bench for `mastturn.engines`; round figures make exact times predictable."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from mastturn.engines.clock import START_S, SimulatedLoop
from mastturn.engines.deployment import Deployment
from mastturn.engines.engine import Engine
from mastturn.engines.jobs import Counters, Job

LLM: dict[str, Any] = {
    "batch": 4,
    "step_ms": 2.0,
    "step_ms_per_slot": 0.5,
    "context_ms_per_k": 0.0,
    "prefill_tokens_per_ms": 50.0,
    "pairs_ms_per_m": 0.0,
    "first_ms": 10.0,
    "stride": 10,
    "chunk": 1000,
    "block": 10,
    "kv_tokens": 20_000,
    "kv_bytes": 1000.0,
    "link_mbps": 8000.0,
    "setup_ms": 1.0,
    "prefill": 0.5,
    "handle_s": 5.0,
    "switch_s": 1.5,
}


def raw(**llm: Any) -> dict[str, Any]:
    return {
        "name": "bench-top",
        "services": [
            {
                "name": "llm",
                "servers": [{"zone": "a", "count": 2}, {"zone": "b", "count": 2}],
                "slots": 8,
                "queue": 8,
                "conn_cap": 100,
                "handshake_ms": 1.0,
                "llm": LLM | llm,
            }
        ],
        "classes": [
            {
                "name": "ask",
                "aim_ms": 500,
                "deadline_ms": 5000,
                "worth": 2,
                "late_worth": 0.5,
                "retries": 1,
                "attempts": 2,
                "stream": {
                    "pieces": {"mean": 4.0, "spread": 0.3, "max": 8.0},
                    "prompt_tokens": {"mean": 1000.0, "spread": 0.8, "max": 4000.0},
                    "resume": True,
                    "chain": [
                        {"tokens": {"mean": 300.0, "spread": 0.2, "max": 600.0}, "things": 2},
                        {"tokens": {"mean": 2000.0, "spread": 0.4, "max": 4000.0}, "things": 12, "skew": 0.3},
                    ],
                },
            }
        ],
        "traffic": [
            {"zone": "a", "mix": {"ask": 1.0}, "per_s": 6.0, "clients": 4, "shape": {"clump": 2.0}},
            {"zone": "b", "mix": {"ask": 1.0}, "per_s": 6.0, "clients": 4},
        ],
        "net": {"in_zone_ms": 0.1, "cross_zone_ms": 1.0, "client_ms": 1.0},
        "machines": [
            {"class": "front", "zone": "a", "count": 2},
            {"class": "front", "zone": "b", "count": 1},
            {"class": "core", "zone": "a", "count": 3},
        ],
        "length_s": 6.0,
        "lead_s": 5.0,
        "prices": {"read": 0.1, "kv_gb": 0.1, "handshake": 0.01},
        "goal": {"mean": 0.6, "window": 0.2, "class": 0.2},
    }


def deployment(**llm: Any) -> Deployment:
    return msgspec.convert(raw(**llm), Deployment)


@dataclass(eq=False)
class RecordingCaller:
    """Caller that records its notifications, with times in ms from the loop's start."""

    events: list[tuple[float, str]] = field(default_factory=list)
    handle: str = ""

    def _record(self, event: str) -> None:
        now = asyncio.get_running_loop().time()
        self.events.append((round((now - START_S) * 1000, 3), event))

    def prompt_read(self, handle: str) -> None:
        self.handle = handle
        self._record("read")

    def rejected(self, reason: str) -> None:
        self._record(reason)

    def event_sent(self, number: int) -> None:
        self._record(f"event {number}")

    def completed(self) -> None:
        self._record("end")

    def connection_lost(self) -> None:
        self._record("cut")


class Bench:
    """Engines on a simulated clock, and calls to them at given times in milliseconds."""

    def __init__(self, **llm: Any) -> None:
        self.loop, self.counters = SimulatedLoop(), Counters()
        self.deployment = deployment(**llm)
        self._count = 0

    def engine(self, phase: str, zone: str = "a", speed: float = 1.0) -> Engine:
        self._count += 1
        name = f"e{self._count}"
        return Engine(name, name, zone, speed, phase, self.deployment.service, self.counters)

    def call(
        self,
        at_ms: float,
        engine: Engine,
        own_tokens: int,
        chain: tuple[tuple[str, int], ...] = (),
        pieces: int = 2,
        priority: int = 5,
        ends_ms: float = 1e6,
        after: RecordingCaller | None = None,
        source: Engine | None = None,
        prefill_only: bool | None = None,
    ) -> RecordingCaller:
        """Make a call; `source` and `after`: decode with the handle that `after` got from `source`."""
        self._count += 1
        caller, name = RecordingCaller(), f"j{self._count}"

        def arrive() -> None:
            handle = after.handle if after is not None else ""
            stage = engine.phase == "prefill" if prefill_only is None else prefill_only
            ends = START_S + ends_ms / 1000
            job = Job(
                name, caller, chain, own_tokens, pieces, priority, ends, stage, handle=handle, source=source
            )
            engine.accept(job)

        self.do(at_ms, arrive)
        return caller

    def do(self, at_ms: float, event: Callable[[], object]) -> None:
        self.loop.call_at(START_S + at_ms / 1000, event)

    def run(self, ms: float = 60_000.0) -> None:
        async def wait() -> None:
            await asyncio.sleep(ms / 1000)

        try:
            self.loop.run_until_complete(wait())
        finally:
            self.loop.close()
        assert not self.loop.faults, self.loop.faults
