"""Draws the requests of a day in advance, so that all choosers get the same ones.

Requests of a zone arrive in clumps at a periodic rate; client, class and subject are drawn for each.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import numpy as np

from mastturn.emulator.chance import generator
from mastturn.engines.deployment import Day, Deployment, Fault, RequestClass, Size, Traffic

Chain = tuple[tuple[str, int], ...]  # shared parts of a prompt, in order: id, tokens


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request of a client; `at` is in seconds from the start of traffic."""

    number: int
    at: float
    kind: RequestClass
    zone: str
    client: int
    chain: Chain
    own_tokens: int  # tokens of the prompt that are not shared
    pieces: int

    @property
    def tokens(self) -> int:
        """Length of the prompt."""
        return sum(size for _, size in self.chain) + self.own_tokens


def draw_sizes(size: Size, count: int, rng: np.random.Generator) -> list[int]:
    """Draw `count` integer sizes of at least 1."""
    if size.spread <= 0:
        return [max(round(size.mean), 1)] * count
    sigma = math.sqrt(math.log(1 + size.spread**2))
    results = rng.lognormal(math.log(size.mean) - sigma**2 / 2, sigma, count)
    maximum = size.max or math.inf
    return [max(round(min(float(x), maximum)), 1) for x in results]


def popularity_shares(things: int, skew: float) -> np.ndarray:
    """Zipf shares: the n-th most popular item has a weight of 1 / n ** skew."""
    weights = np.arange(1, things + 1, dtype=float) ** -skew
    return np.asarray(weights / weights.sum())


class _Subjects:
    """The shared prompt prefixes of one request class; each subject always follows the same root."""

    def __init__(self, seed: int, kind: RequestClass) -> None:
        rng = generator(seed, "subjects", kind.name)
        self._chains: list[Chain] = [()]
        self._shares = np.array([1.0])
        roots: list[Chain] = [()]
        root_shares = np.array([1.0])
        for level, part in enumerate(kind.stream.chain):
            sizes = draw_sizes(part.tokens, part.things, rng)
            if level == 0 and len(kind.stream.chain) > 1:
                roots = [((f"{kind.name}-0-{i}", sizes[i]),) for i in range(part.things)]
                root_shares = popularity_shares(part.things, part.skew)
                continue
            before = rng.choice(len(roots), size=part.things, p=root_shares)
            self._chains = [
                (*roots[int(before[i])], (f"{kind.name}-{level}-{i}", sizes[i])) for i in range(part.things)
            ]
            self._shares = popularity_shares(part.things, part.skew)

    def draw(self, count: int, rng: np.random.Generator) -> list[Chain]:
        """Draw the shared parts of `count` requests."""
        return [self._chains[int(i)] for i in rng.choice(len(self._chains), size=count, p=self._shares)]


def _arrival_times(
    traffic: Traffic, thin: float, length: float, active_bursts: list[Fault], rng: np.random.Generator
) -> list[float]:
    """Arrival times in a zone: clumps of geometric size, by thinning a Poisson process."""
    shape = traffic.shape
    maximum = (1 + shape.swing) * max([1.0, *(t.x or 1.0 for t in active_bursts)])
    rate = traffic.per_s * thin / max(shape.clump, 1.0) * maximum
    results: list[float] = []
    at = 0.0
    while True:
        at += float(rng.exponential(1 / rate))
        if at >= length:
            return results
        swing = 1 + shape.swing * math.sin(2 * math.pi * (at / shape.period_s + shape.phase))
        rate_factor = swing * math.prod(t.x or 1.0 for t in active_bursts if t.at <= at < t.at + t.for_s)
        if rng.random() < rate_factor / maximum:
            results += [at] * int(rng.geometric(1 / max(shape.clump, 1.0)))


def _bursts(day: Day) -> list[Fault]:
    return [t for t in (*day.faults, *day.plan) if t.kind == "burst"]


def draw(deployment: Deployment, day: Day, seed: int) -> list[ClientRequest]:
    """Draw all requests of a day, by time of arrival."""
    kinds = {k.name: k for k in deployment.classes}
    subjects = {k.name: _Subjects(seed, k) for k in deployment.classes}
    bursts = _bursts(day)
    results: list[ClientRequest] = []
    for position, traffic in enumerate(day.traffic or deployment.traffic):
        streams: list[tuple[dict[str, float], list[Fault], float]] = []
        zone_bursts = [t for t in bursts if t.zone in ("", traffic.zone)]
        special = {t.kind_of_request for t in zone_bursts if t.kind_of_request}
        total = sum(traffic.mix.values())
        regular = {k: v for k, v in traffic.mix.items() if k not in special}
        streams.append(
            (regular, [t for t in zone_bursts if not t.kind_of_request], sum(regular.values()) / total)
        )
        for name in special & traffic.mix.keys():
            active_bursts = [t for t in zone_bursts if t.kind_of_request in ("", name)]
            streams.append(({name: 1.0}, active_bursts, traffic.mix[name] / total))
        for number, (mix, active_bursts, share) in enumerate(streams):
            if not mix or not share:
                continue
            rng = generator(seed, "traffic", position, number)
            arrivals = _arrival_times(
                traffic, deployment.thin * share, deployment.length(day), active_bursts, rng
            )
            names = list(mix)
            weights = np.array([mix[n] for n in names])
            chosen = rng.choice(len(names), size=len(arrivals), p=weights / weights.sum())
            for index, name in enumerate(names):
                times = [at for at, c in zip(arrivals, chosen, strict=True) if c == index]
                kind = kinds[name]
                chains = subjects[name].draw(len(times), rng)
                own_tokens = draw_sizes(kind.stream.prompt_tokens, len(times), rng)
                pieces = draw_sizes(kind.stream.pieces, len(times), rng)
                clients = rng.integers(0, traffic.clients, len(times))
                results += [
                    ClientRequest(0, at, kind, traffic.zone, int(c), chain, o, p)
                    for at, c, chain, o, p in zip(times, clients, chains, own_tokens, pieces, strict=True)
                ]
    results.sort(key=lambda request: (request.at, request.zone, request.client))
    return [
        ClientRequest(
            i + 1,
            request.at,
            request.kind,
            request.zone,
            request.client,
            request.chain,
            request.own_tokens,
            request.pieces,
        )
        for i, request in enumerate(results)
    ]
