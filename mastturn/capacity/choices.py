"""What the choice of a pair costs by the upstreams of a service, and how often memory crosses zones.

One balancer that sees all calls of a service, in simulated time: requests arrive, are read, and are answered
for as long as at the target. No sockets; only the choices are timed.
"""

from __future__ import annotations

import heapq
import random
import time
from dataclasses import replace
from typing import Any

from balancer.peer import Peer
from balancer.prompt import Prompt
from balancer.tiers import DECODE, PREFILL, Tiers
from config.checking import parse_upstreams
from config.configuration import Upstream
from control.platform import pack
from mastturn.capacity.shapes import TARGET, Shape, list_entries
from mastturn.capacity.sources import spin_ns

SIZES = (20, 50, 104, 200, 400)  # upstreams of one service; 104 is the target's mean: 2,800 over 27 services
HELD_OUT = 800
WARM, MEASURED = 500, 1_000
SUBJECTS = 4  # for each upstream of the service
SERVICE = "svc"


def _entries(count: int) -> tuple[Upstream, ...]:
    raw = list_entries(replace(TARGET, upstreams=count))
    return tuple(replace(u, svc=SERVICE) for u in parse_upstreams(pack(raw))[0])


class _Service:
    """A service's upstreams, and what is under way at them."""

    def __init__(self, count: int, shape: Shape, seed: int) -> None:
        self._tiers, self._shape = Tiers(random.Random(seed), lambda name: True), shape
        self._tiers.update(_entries(count), 0.0)
        self._chance = random.Random(seed + 1)
        self._rate = shape.requests_s * count / shape.upstreams
        self._subjects = [b"%08x" % i for i in range(SUBJECTS * count)]
        self._ends: list[tuple[float, int, Peer, int]] = []
        self._count = 0
        self.spent, self.crossed, self.moved, self.now = 0.0, 0, 0, 0.0

    def play(self, requests: int) -> None:
        """So many requests, one after the other."""
        for _ in range(requests):
            self.now += self._chance.expovariate(self._rate)
            while self._ends and self._ends[0][0] <= self.now:
                at, _, peer, tokens = heapq.heappop(self._ends)
                peer.on_call_ended(at, tokens, True)
                if tokens:
                    self._run(at, peer)
            self._read()

    def _out(self, peer: Peer, at: float, mean_s: float, tokens: int) -> None:
        peer.on_call_sent(at, tokens)
        self._count += 1
        end = at + self._chance.expovariate(1 / mean_s)
        heapq.heappush(self._ends, (end, self._count, peer, tokens))

    def _read(self) -> None:
        tokens = self._shape.prompt_tokens
        prompt = Prompt(tokens, tokens // 2, self._chance.choice(self._subjects))
        began = time.process_time_ns()
        self._tiers.is_split(SERVICE)
        self._tiers.prefill_wait_s(SERVICE, self.now)
        self._tiers.decode_wait_s(SERVICE, self.now)
        self._tiers.prefill_cost(SERVICE, PREFILL, prompt, self.now)
        self._tiers.prefill_cost(SERVICE, DECODE, prompt, self.now)
        peer = self._tiers.pick_prefill(SERVICE, prompt, (), self.now)
        self.spent += (time.process_time_ns() - began) / 1e9
        assert peer is not None
        self._out(peer, self.now, self._shape.read_s, tokens)
        self._tiers.prefix_index.add(prompt.prefix, peer.entry.id)

    def _run(self, at: float, reader: Peer) -> None:
        began = time.process_time_ns()
        peer = self._tiers.pick_decode(SERVICE, None, reader.entry.zone, (), at)
        self.spent += (time.process_time_ns() - began) / 1e9
        assert peer is not None
        self.moved += 1
        self.crossed += peer.entry.zone != reader.entry.zone
        self._out(peer, at, self._shape.stream_s, 0)


def one(count: int, seed: int, warm: int = WARM, requests: int = MEASURED) -> dict[str, float]:
    """A service of so many upstreams: core seconds of a request's choices, moves between zones."""
    service = _Service(count, TARGET, seed)
    service.play(warm + round(service._rate * TARGET.stream_s))  # until as much is out as ever will be
    service.spent, service.crossed, service.moved = 0.0, 0, 0
    before = spin_ns()
    service.play(requests)
    spin = (before + spin_ns()) / 2
    return {
        "x": count,
        "cpu_s": service.spent / requests,
        "spin_ns": round(spin, 2),
        "between_zones": service.crossed / max(service.moved, 1),
        "moves": service.moved,
    }


def measured() -> dict[str, Any]:
    """All sizes, twice each; the largest take most of the two minutes of a core."""
    found = [one(size, seed) for seed in (1, 2) for size in (*SIZES, HELD_OUT)]
    return {"choices": found, "held_out": HELD_OUT, "subjects_an_upstream": SUBJECTS}
