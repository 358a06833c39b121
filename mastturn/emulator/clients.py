"""Simulates clients (BRIEF, "What clients do"; WIRE, "Client behaviour"): arrivals, retries, departures.

Arrivals are drawn in advance and do not wait for responses (open loop). A try times out after a share of
the class's deadline, the whole request at its deadline. A failed try is retried only if its class is
repeatable; a refused try, or one that reached no balancer, is always retried.
"""

from __future__ import annotations

import math
from typing import Protocol

import numpy as np

from mastturn.emulator.calls import Call, ClientRequest, FinalOutcome, Loss, LossCause
from mastturn.emulator.chance import Stream, generator
from mastturn.emulator.day import Day
from mastturn.emulator.events import START_MS, Events
from mastturn.emulator.front import Front
from mastturn.emulator.judge import Judge, is_served
from mastturn.emulator.network import Network
from mastturn.emulator.watch import Trace

TENANT_BURST_MS = 2_000.0  # burst of a tenant, in ms of its rate, before it counts as over its share
UNREACHED_MS = 1.0  # until a client detects a refused connection
BURST_STEPS_MS = (3_000.0, 8_000.0)  # duration of one rate on a bursty day
MIN_RETRY_MS = 20.0  # a client with less time left does not retry


class RateWindow:
    """A time window in which the arrival rate is multiplied by a factor."""

    def __init__(self, start_ms: float, end_ms: float, factor: float, zone: int | None = None) -> None:
        self.start_ms, self.end_ms, self.factor, self.zone = start_ms, end_ms, factor, zone


class ClientEnvironment(Protocol):
    """The parts of the world that clients use."""

    day: Day
    events: Events
    front: Front
    judge: Judge
    network: Network
    trace: Trace | None

    def next_number(self) -> int:
        """Return a new request number."""


class Clients:
    """Simulates all clients of a day."""

    def __init__(self, world: ClientEnvironment, windows: list[RateWindow]) -> None:
        self._world = world
        self._rng = Stream(world.day.seed, "clients")
        self._firsts = draw_arrivals(world.day, windows)
        self._next = 0
        self.leave_share = 0.0  # share of clients that give up early; set by a trouble

    def begin(self) -> None:
        """Schedule the first arrival; each arrival schedules the next."""
        if self._firsts:
            self._world.events.at(self._firsts[0].arrived_ms, self._arrive)

    def _arrive(self, _: None) -> None:
        client_request = self._firsts[self._next]
        self._next += 1
        if self._next < len(self._firsts):
            self._world.events.at(self._firsts[self._next].arrived_ms, self._arrive)
        self._world.judge.client_requests.append(client_request)
        if self.leave_share and self._rng.uniform() < self.leave_share:
            client_request.leaves_ms = (
                client_request.arrived_ms + client_request.cls.aim_ms * self._rng.between(0.1, 0.9)
            )
        self._try(client_request)

    def _try(self, client_request: ClientRequest) -> None:
        world = self._world
        now = world.events.now
        client_request.tries += 1
        time_left_ms = client_request.arrived_ms + client_request.cls.deadline_ms - now
        remaining = min(world.day.clients.try_share * client_request.cls.deadline_ms, time_left_ms)
        balancer = world.front.select(client_request.zone)
        if balancer is None or (not balancer.alive):
            client_request.loss = Loss(0, LossCause.BALANCER_DIED)
            world.judge.counts["unreached by clients"] += 1
            world.events.after(UNREACHED_MS, self._on_response, (client_request, FinalOutcome.UNREACHED, 0.0))
            return
        call = Call(world.next_number(), client_request, balancer, self, remaining, now)
        world.events.after(world.network.client_delay_ms(), balancer.on_request, call)
        if client_request.leaves_ms < now + remaining:
            world.events.at(client_request.leaves_ms, self._leave, call)

    def _leave(self, call: Call) -> None:
        if not call.done:
            call.client_request.ended_ms = self._world.events.now
            call.client_request.loss = Loss(0, LossCause.LEFT)
            call.balancer.on_client_left(call)

    def on_final_outcome(self, call: Call, final: FinalOutcome, retry_after_ms: float) -> None:
        """Schedule the delivery of a balancer's response to the client."""
        client_request = call.client_request
        if client_request.loss is not None and client_request.loss.cause is LossCause.LEFT:
            return
        if final is FinalOutcome.SERVED:
            client_request.useful_ms = call.useful_ms
        else:
            client_request.loss = call.loss
        self._world.events.after(
            self._world.network.client_delay_ms(), self._on_response, (client_request, final, retry_after_ms)
        )

    def _on_response(self, answer: tuple[ClientRequest, FinalOutcome, float]) -> None:
        client_request, final, retry_after_ms = answer
        world = self._world
        now = world.events.now
        if world.trace is not None:
            world.trace.add_line(
                now, client_request, "client", "", f"try {client_request.tries} {final.value}"
            )
        client_request.ended_ms = now
        if final is FinalOutcome.SERVED:
            client_request.served_ms = now
            if not is_served(client_request):
                client_request.loss = Loss(0, LossCause.ON_THE_WAY)
            return
        parameters = world.day.clients
        harmless = final in (FinalOutcome.REFUSED, FinalOutcome.UNREACHED) or not client_request.cls.once
        if not harmless or client_request.tries > parameters.retries:
            return
        wait = parameters.backoff_ms
        if final is FinalOutcome.REFUSED and client_request.honours_retry_after:
            wait = max(wait, min(retry_after_ms, parameters.max_retry_after_ms))
        if now + wait < client_request.arrived_ms + client_request.cls.deadline_ms - MIN_RETRY_MS:
            world.judge.counts["later tries"] += 1
            world.events.after(wait, self._try, client_request)


# ---- arrivals drawn in advance -----------------------------------------------------------------------


def draw_arrivals(day: Day, windows: list[RateWindow]) -> list[ClientRequest]:
    """Return all client requests of a day by arrival time; each attribute has its own random stream."""
    seed, length = day.seed, day.fleet.length_ms
    times, zones = _times(day, windows, generator(seed, "arrivals"))
    count = len(times)
    classes = generator(seed, "classes").choice(len(day.classes), count, p=[c.portion for c in day.classes])
    brands = generator(seed, "brands").choice(len(day.brands), count, p=[b.sent_share for b in day.brands])
    works = _works(day, classes, generator(seed, "work"))
    honours_retry_after = generator(seed, "honours").random(count) < day.clients.honour_share
    leaving = generator(seed, "leaving")
    leaves = leaving.random(count) < day.clients.impatient_share
    patience = leaving.uniform(0.1, 0.9, count)
    means = np.array(
        [tier.calls for tier in day.tiers[1:]]
    )  # each rounded randomly to an integer next to its mean
    calls = np.maximum(1, np.floor(means + generator(seed, "calls").random((count, len(means)))))
    is_over_share = _over_share(times, brands, [b.quota_per_s for b in day.brands])
    client_requests = []
    for i in range(count):
        cls = day.classes[int(classes[i])]
        arrived = START_MS + float(times[i])
        worth = cls.worth * float(works[i]) / cls.work_ms
        if is_over_share[i]:
            worth *= day.clients.over_share_worth
        client_requests.append(
            ClientRequest(
                number=i,
                arrived_ms=arrived,
                cls=cls,
                class_number=int(classes[i]),
                brand=int(brands[i]),
                zone=day.network.zones[int(zones[i])],
                work_ms=float(works[i]),
                honours_retry_after=bool(honours_retry_after[i]),
                leaves_ms=arrived + cls.aim_ms * float(patience[i]) if leaves[i] else math.inf,
                over_share=bool(is_over_share[i]),
                worth=worth,
                calls=tuple(int(n) for n in calls[i]),
            )
        )
    assert not client_requests or client_requests[-1].arrived_ms <= START_MS + length
    return client_requests


def _times(day: Day, windows: list[RateWindow], rng: np.random.Generator) -> tuple[np.ndarray, np.ndarray]:
    """Return times and zones of a Poisson process with a varying rate, by thinning."""
    length, parameters = day.fleet.length_ms, day.clients
    max_rate = (1.0 + parameters.swing) * math.prod(max(w.factor, 1.0) for w in windows)
    count = int(rng.poisson(day.requests_per_s * max_rate * length / 1000))
    times = np.sort(rng.uniform(0.0, length, count))
    zones = rng.choice(len(day.network.zones), count, p=list(day.zone_weights))
    rates = _shape(times, day, rng)
    for window in windows:
        inside = (times >= window.start_ms) & (times < window.end_ms)
        if window.zone is not None:
            inside &= zones == window.zone % len(day.network.zones)
        rates = np.where(inside, rates * window.factor, rates)
    kept = rng.random(count) * max_rate < rates
    return times[kept], zones[kept]


def _shape(times: np.ndarray, day: Day, rng: np.random.Generator) -> np.ndarray:
    """Return the relative rate at each time, around 1: a sine wave or random steps."""
    parameters = day.clients
    if not parameters.bursty:
        phase = rng.uniform(0.0, 2 * math.pi)
        return np.asarray(1.0 + parameters.swing * np.sin(2 * math.pi * times / parameters.period_ms + phase))
    ends, levels, at = [], [], 0.0
    while at < day.fleet.length_ms:
        at += float(rng.uniform(*BURST_STEPS_MS))
        ends.append(at)
        levels.append(1.0 + parameters.swing * float(rng.uniform(-1.0, 1.0)))
    return np.asarray(np.array(levels)[np.searchsorted(np.array(ends), times, side="right")])


def _works(day: Day, which: np.ndarray, rng: np.random.Generator) -> np.ndarray:
    """Return the work of each request, drawn from its class's distribution and capped at `most_work`."""
    normals, uniforms = rng.standard_normal(len(which)), rng.random(len(which))
    works = np.empty(len(which))
    for number, cls in enumerate(day.classes):
        in_class = which == number
        if cls.spread == "pareto":
            shape = 1.0 + math.sqrt(1.0 + 1.0 / cls.variation**2)
            least = cls.work_ms * (shape - 1.0) / shape
            works[in_class] = least * (1.0 - uniforms[in_class]) ** (-1.0 / shape)
        else:
            variance = math.log(1.0 + cls.variation**2)
            works[in_class] = cls.work_ms * np.exp(math.sqrt(variance) * normals[in_class] - variance / 2)
    max_rate = day.site.most_work * np.array([cls.work_ms for cls in day.classes])
    return np.asarray(np.minimum(works, max_rate[which]))


def _over_share(times: np.ndarray, brands: np.ndarray, quotas: list[float]) -> list[bool]:
    """Return which requests exceed their tenant's quota over the whole fleet."""
    rates = [quota / 1000 for quota in quotas]
    levels = [rate * TENANT_BURST_MS for rate in rates]
    updated_ms = [0.0] * len(rates)
    is_over_share = []
    for time, brand in zip(times.tolist(), brands.tolist(), strict=True):
        rate = rates[brand]
        level = min(rate * TENANT_BURST_MS, levels[brand] + (time - updated_ms[brand]) * rate)
        updated_ms[brand] = time
        is_over_share.append(level < 1.0)
        levels[brand] = level if level < 1.0 else level - 1.0
    return is_over_share
