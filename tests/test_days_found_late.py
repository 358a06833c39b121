"""A deadline that passes while an upstream has the request: no other is called, none is marked silent."""

from __future__ import annotations

import time

import pytest

import balancer.active_request
from tests.balancer_stage import FakeUpstream, configuration, reject, route, running_balancer
from tests.loopback import ReceivedRequest, Writer, run


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

    async def too_late(upstream: FakeUpstream, got: ReceivedRequest, writer: Writer) -> None:
        clock.ahead = 10.0
        await reject(upstream, got, writer)

    async def scene() -> None:
        handlers = [too_late] if phase == "prefill" else []
        readers = [FakeUpstream(f"reader-{n}", "prefill", *handlers) for n in range(3)]
        handlers = [too_late] if phase == "decode" else []
        runners = [FakeUpstream(f"runner-{n}", "decode", *handlers) for n in range(3)]
        shape = configuration(1, route(tries=3))
        async with running_balancer(*readers, *runners, config=shape) as harness:
            prompt = "Mastturn-Token-Count: 100,10\r\nMastturn-Prompt-Prefix: aa:60,bb:40\r\n"
            reply = await harness.ask(headers=f"Mastturn-Deadline-Ms: 2000\r\n{prompt}")
            upstreams = readers if phase == "prefill" else runners
            assert reply.status == 503
            assert sum(len(s.got) for s in upstreams) == 1
            assert sum(s.connections for s in upstreams) == 1
            peers = [harness.balancer.tiers.peer(s.name) for s in upstreams]
            assert not any(p.is_silent for p in peers if p is not None)

    run(scene())
