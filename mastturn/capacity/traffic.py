"""Clients' work without clients: requests begin and end in the balancers' tables, at the target's pace."""

from __future__ import annotations

import random
from collections import Counter

from balancer.peer import Peer
from mastturn.capacity.fleet import Fleet, Machine

LOOKED_AT = 20  # balancers whose knowledge is held against what is so


class Traffic:
    """Requests arrive one by one; each is read at one upstream and answered by another, both at random.

    Reading and answering take spans that are drawn from exponential distributions, so that a fleet that
    begins with as many streams as are usual stays there. The driver's own time is booked on nobody.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        shape = fleet.shape
        self._fleet, self._shape, self._chance = fleet, shape, random.Random(seed)
        self._readers = [e["id"] for e in fleet.platform.entries if e["phase"] == "prefill"]
        self._runners = [e["id"] for e in fleet.platform.entries if e["phase"] == "decode"]
        self._runs = False
        self.begun = 0
        self._out: Counter[str] = Counter()  # calls of all balancers, by upstream

    def start(self, rate: float) -> None:
        """Requests come so often a second to all together, beginning with the usual number under way."""
        self._runs = True
        machines = self._fleet.live()
        for _ in range(round(rate * self._shape.read_s)):
            self._read(self._chance.choice(machines))
        for _ in range(round(rate * self._shape.stream_s)):
            self._run(self._chance.choice(machines))
        self._next(rate)

    def stop(self) -> None:
        """No more requests; those under way go on to their end."""
        self._runs = False

    def _after(self, mean_s: float) -> float:
        return self._fleet.loop.time() + self._chance.expovariate(1 / mean_s)

    def _next(self, rate: float) -> None:
        if self._runs:
            self.begun += 1
            self._read(self._chance.choice(self._fleet.live()))
            self._fleet.loop.at(self._after(1 / rate), self._next, rate)

    def _read(self, machine: Machine) -> None:
        peer = self._sent(machine, self._readers, self._shape.prompt_tokens)
        if peer is not None:
            self._fleet.loop.at(self._after(self._shape.read_s), self._is_read, machine, peer)

    def _is_read(self, machine: Machine, peer: Peer) -> None:
        self._ended(machine, peer, self._shape.prompt_tokens)
        self._run(machine)

    def _run(self, machine: Machine) -> None:
        peer = self._sent(machine, self._runners, 0)
        if peer is not None:
            self._fleet.loop.at(self._after(self._shape.stream_s), self._ended, machine, peer, 0)

    def _sent(self, machine: Machine, names: list[str], tokens: int) -> Peer | None:
        if machine.program.is_dead:
            return None
        plane = self._fleet.plane(machine)
        peer = plane.tiers.peer(self._chance.choice(names))
        if peer is not None:
            peer.on_call_sent(self._fleet.loop.time(), tokens)
            self._out[peer.entry.id] += 1
            machine.program.context.copy().run(plane.load_changed)
        return peer

    def _ended(self, machine: Machine, peer: Peer, tokens: int) -> None:
        if not machine.program.is_dead:
            peer.on_call_ended(self._fleet.loop.time(), tokens, True)
            self._out[peer.entry.id] -= 1
            machine.program.context.copy().run(self._fleet.plane(machine).load_changed)

    def wrong(self) -> dict[str, float]:
        """How far off some balancers are about others' calls, as a share of those, by the upstreams' part."""
        found, machines = {}, self._fleet.live()
        some = machines[:: max(len(machines) // LOOKED_AT, 1)]
        for part, names in (("reading", self._readers), ("answering", self._runners)):
            off = true = 0
            for machine in some:
                own, others = self._fleet.plane(machine).loads(), machine.role._peer_loads
                for name in names:
                    calls = max(self._out[name] - own.get(name, (0, 0))[0], 0)
                    off += abs(others.of(name)[0] - calls)
                    true += calls
            found[part] = round(off / max(true, 1), 4)
        return found
