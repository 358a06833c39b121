"""What clients will ask for on a day, drawn ahead: two choosers meet the same requests.

Each zone's requests come in clumps at a pace that swings; who asks, for what and about what is drawn for each
one.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import numpy as np

from mastturn.emulator.chance import generator
from mastturn.engines.deployment import Day, RequestClass, Sheet, Size, Traffic, Trouble

Chain = tuple[tuple[str, int], ...]  # the shared parts of a prompt, in order: id, tokens


@dataclass(frozen=True, slots=True)
class Asked:
    """One request of a client; `at`: seconds of traffic."""

    number: int
    at: float
    kind: RequestClass
    zone: str
    client: int
    chain: Chain
    own: int  # tokens of the prompt that nobody else has
    pieces: int

    @property
    def tokens(self) -> int:
        """Of the whole prompt."""
        return sum(size for _, size in self.chain) + self.own


def drawn(size: Size, count: int, chance: np.random.Generator) -> list[int]:
    """Whole sizes of 1 and more."""
    if size.spread <= 0:
        return [max(round(size.mean), 1)] * count
    sigma = math.sqrt(math.log(1 + size.spread**2))
    found = chance.lognormal(math.log(size.mean) - sigma**2 / 2, sigma, count)
    most = size.max or math.inf
    return [max(round(min(float(x), most)), 1) for x in found]


def popular(things: int, skew: float) -> np.ndarray:
    """The share of each thing: the n-th most wanted has a weight of 1 / n ** skew."""
    weights = np.arange(1, things + 1, dtype=float) ** -skew
    return np.asarray(weights / weights.sum())


class _Subjects:
    """The shared parts of one kind of request; each subject always has the same parts before it."""

    def __init__(self, seed: int, kind: RequestClass) -> None:
        chance = generator(seed, "subjects", kind.name)
        self._chains: list[Chain] = [()]
        self._shares = np.array([1.0])
        roots: list[Chain] = [()]
        root_shares = np.array([1.0])
        for level, part in enumerate(kind.stream.chain):
            sizes = drawn(part.tokens, part.things, chance)
            if level == 0 and len(kind.stream.chain) > 1:
                roots = [((f"{kind.name}-0-{i}", sizes[i]),) for i in range(part.things)]
                root_shares = popular(part.things, part.skew)
                continue
            before = chance.choice(len(roots), size=part.things, p=root_shares)
            self._chains = [
                (*roots[int(before[i])], (f"{kind.name}-{level}-{i}", sizes[i])) for i in range(part.things)
            ]
            self._shares = popular(part.things, part.skew)

    def draw(self, count: int, chance: np.random.Generator) -> list[Chain]:
        """The shared parts of so many requests."""
        return [self._chains[int(i)] for i in chance.choice(len(self._chains), size=count, p=self._shares)]


def _moments(
    traffic: Traffic, thin: float, length: float, pressed: list[Trouble], chance: np.random.Generator
) -> list[float]:
    """When requests come from a zone; clumps of a geometric size, by thinning of an even stream."""
    shape = traffic.shape
    most = (1 + shape.swing) * max([1.0, *(t.x or 1.0 for t in pressed)])
    rate = traffic.per_s * thin / max(shape.clump, 1.0) * most
    found: list[float] = []
    at = 0.0
    while True:
        at += float(chance.exponential(1 / rate))
        if at >= length:
            return found
        swing = 1 + shape.swing * math.sin(2 * math.pi * (at / shape.period_s + shape.phase))
        now = swing * math.prod(t.x or 1.0 for t in pressed if t.at <= at < t.at + t.for_s)
        if chance.random() < now / most:
            found += [at] * int(chance.geometric(1 / max(shape.clump, 1.0)))


def _bursts(day: Day) -> list[Trouble]:
    return [t for t in (*day.faults, *day.plan) if t.kind == "burst"]


def draw(sheet: Sheet, day: Day, seed: int) -> list[Asked]:
    """All requests of a day, in order."""
    kinds = {k.name: k for k in sheet.classes}
    subjects = {k.name: _Subjects(seed, k) for k in sheet.classes}
    bursts = _bursts(day)
    found: list[Asked] = []
    for place, traffic in enumerate(day.traffic or sheet.traffic):
        streams: list[tuple[dict[str, float], list[Trouble], float]] = []
        here = [t for t in bursts if t.zone in ("", traffic.zone)]
        special = {t.kind_of_request for t in here if t.kind_of_request}
        total = sum(traffic.mix.values())
        calm = {k: v for k, v in traffic.mix.items() if k not in special}
        streams.append((calm, [t for t in here if not t.kind_of_request], sum(calm.values()) / total))
        for name in special & traffic.mix.keys():
            pressed = [t for t in here if t.kind_of_request in ("", name)]
            streams.append(({name: 1.0}, pressed, traffic.mix[name] / total))
        for number, (mix, pressed, share) in enumerate(streams):
            if not mix or not share:
                continue
            chance = generator(seed, "traffic", place, number)
            moments = _moments(traffic, sheet.thin * share, sheet.length(day), pressed, chance)
            names = list(mix)
            weights = np.array([mix[n] for n in names])
            chosen = chance.choice(len(names), size=len(moments), p=weights / weights.sum())
            for index, name in enumerate(names):
                mine = [at for at, c in zip(moments, chosen, strict=True) if c == index]
                kind = kinds[name]
                chains = subjects[name].draw(len(mine), chance)
                own = drawn(kind.stream.prompt_tokens, len(mine), chance)
                pieces = drawn(kind.stream.pieces, len(mine), chance)
                clients = chance.integers(0, traffic.clients, len(mine))
                found += [
                    Asked(0, at, kind, traffic.zone, int(c), chain, o, p)
                    for at, c, chain, o, p in zip(mine, clients, chains, own, pieces, strict=True)
                ]
    found.sort(key=lambda a: (a.at, a.zone, a.client))
    return [
        Asked(i + 1, a.at, a.kind, a.zone, a.client, a.chain, a.own, a.pieces) for i, a in enumerate(found)
    ]
