"""A deadline that passes while an upstream has the request: no other is called, none is marked silent."""

from __future__ import annotations

import time

import pytest

import balancer.active_request
from tests.balancer_stage import Stage, configuration, playing, reject, route
from tests.loopback import Got, Writer, run


class Clock:
    """The monotonic clock of `active_request`, which a test can advance."""

    def __init__(self) -> None:
        self.ahead = 0.0

    def monotonic(self) -> float:
        return time.monotonic() + self.ahead


@pytest.mark.parametrize("phase", ["prefill", "decode"])
def test_after_its_deadline_a_rejected_request_is_told_to_nobody_else(
    monkeypatch: pytest.MonkeyPatch, phase: str
) -> None:
    clock = Clock()
    monkeypatch.setattr(balancer.active_request, "time", clock)

    async def too_late(stage: Stage, got: Got, writer: Writer) -> None:
        clock.ahead = 10.0
        await reject(stage, got, writer)

    async def scene() -> None:
        acts = [too_late] if phase == "prefill" else []
        readers = [Stage(f"reader-{n}", "prefill", *acts) for n in range(3)]
        acts = [too_late] if phase == "decode" else []
        runners = [Stage(f"runner-{n}", "decode", *acts) for n in range(3)]
        shape = configuration(1, route(tries=3))
        async with playing(*readers, *runners, config=shape) as play:
            prompt = "Mastturn-Token-Count: 100,10\r\nMastturn-Prompt-Prefix: aa:60,bb:40\r\n"
            reply = await play.ask(headers=f"Mastturn-Deadline-Ms: 2000\r\n{prompt}")
            stages = readers if phase == "prefill" else runners
            assert reply.status == 503
            assert sum(len(s.got) for s in stages) == 1
            assert sum(s.connections for s in stages) == 1
            peers = [play.balancer.tiers.peer(s.name) for s in stages]
            assert not any(p.is_silent for p in peers if p is not None)

    run(scene())
