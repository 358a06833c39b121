"""Simulates one balancer process: an instance of the module, its connections and its calls.

It stands in for `passpost`: it sends only what the module decided, and reports the single outcome of each
attempt to it. The processor time of the balancer itself is not modelled; docs/emulator.md describes the
effect.
"""

from __future__ import annotations

import math
from typing import Any, Protocol

from mastturn.emulator.attempts import Attempts, may_have_executed
from mastturn.emulator.calls import Attempt, Call, FinalOutcome, Loss, LossCause
from mastturn.emulator.contract import MAX_ACTIONS, BoxState, ContractViolation, Decider, Version
from mastturn.emulator.day import Day
from mastturn.emulator.discovery import Agent, Entry, Phase, Registry
from mastturn.emulator.events import Events
from mastturn.emulator.judge import Judge
from mastturn.emulator.machine import Box
from mastturn.emulator.network import Network
from mastturn.emulator.reports import LoadReport
from mastturn.emulator.told import KnownServers
from mastturn.emulator.watch import Trace

SWEEP_MS = 1_000.0  # interval of the sweep for idle connections


class BalancerEnvironment(Protocol):
    """The parts of the world that a balancer uses."""

    day: Day
    events: Events
    judge: Judge
    network: Network
    version: Version
    trace: Trace | None
    boxes: dict[str, Box]

    def settings(self, tier: int) -> Any:
        """Return the settings of an instance that calls a tier."""

    def module_seed(self, tier: int, number: int, life: int) -> int:
        """Return the seed of an instance."""

    def member(self, entry: Entry) -> Any:
        """Convert a list entry to the module's contract type."""

    def truth(self, server: str) -> BoxState:
        """Return the true state of a box."""

    def deliver_request(self, attempt: Attempt) -> bool:
        """Deliver a complete request to its box; return whether the box rejects it."""

    def reset_wait_ms(self) -> float:
        """Return the time until the connection of a request is reset."""


class Balancer:
    """One balancer across its successive processes."""

    def __init__(
        self, world: BalancerEnvironment, tier: int, number: int, zone: str, registry: Registry
    ) -> None:
        self.world, self.tier, self.number, self.zone = world, tier, number, zone
        self.name = f"{world.day.tiers[tier].name}-balancer-{number}"
        self.registry = registry
        self.agent = Agent(registry, self, world.events)
        self.alive = self.leaving = False
        self.life = 0
        self.calls: dict[int, Call] = {}
        self._module: Decider | None = None
        self.known_servers = KnownServers(registry)
        interface = world.version.interface
        self._interface = interface
        self.attempts = Attempts(self, world.day.tiers[tier].idle_ms, interface)
        self._do = {
            interface.Send: self.attempts.send,
            interface.SetTimer: self._set_timer,
            interface.Refuse: self._refuse,
            interface.Fail: self._fail,
            interface.Cancel: self.attempts.cancel,
            interface.Subscribe: self._subscribe,
            interface.Log: self._log,
        }
        if hasattr(interface, "Probe"):
            self._do[interface.Probe] = self.attempts.probe

    # ---- process -----------------------------------------------------------------------------

    def start(self) -> None:
        """Start a new process with the balancer's last known server list (DEPLOY, `known`)."""
        world = self.world
        self.life += 1
        self.alive, self.leaving = True, False
        self.agent.reset()
        self.known_servers.reset()
        settings = world.settings(self.tier)
        seed = world.module_seed(self.tier, self.number, self.life)
        self._module = world.version.make(settings, seed, world.truth)
        known = tuple(e for e in self.registry.entries.values() if e.phase is Phase.READY)
        self.known_servers.record(known, world.events.now)
        self.dispatch(
            self._interface.ListUpdate(self._interface.ListKind.SAVED, tuple(map(world.member, known)))
        )
        world.events.after(SWEEP_MS, self._sweep, self.life)

    def stop(self) -> None:
        """Kill the process: its requests are lost and its callers' connections are reset."""
        self.alive = False
        self.life += 1
        calls = list(self.calls.values())
        self.calls.clear()
        for call in calls:
            for attempt in call.attempts:
                if not attempt.over:
                    attempt.over = True
                    attempt.outcome = "balancer died"
                    self.attempts.close_connection(attempt)
            if not call.done:
                call.done = True
                call.loss = Loss(self.tier, LossCause.BALANCER_DIED)
                call.caller.on_final_outcome(call, FinalOutcome.RESET, 0.0)
        self.attempts.drop_all()
        self.agent.reset()
        self._module = None

    def _sweep(self, life: int) -> None:
        if life == self.life:
            self.attempts.pool.sweep(self.world.events.now)
            self.world.events.after(SWEEP_MS, self._sweep, life)

    @property
    def in_flight(self) -> int:
        """Attempts in flight."""
        return self.attempts.in_flight

    def on_response(self, answer: tuple[Attempt, bool, Loss | None, LoadReport | None, float]) -> None:
        """Handle an upstream's response."""
        self.attempts.on_response(answer)

    def on_box_reset(self, attempt: Attempt) -> None:
        """Handle the reset of an attempt whose box's process has ended."""
        self.attempts.on_reset(attempt)

    def is_cut_from(self, box: Box) -> bool:
        """Whether the network between this balancer and a box is cut."""
        return self.world.network.is_cut(self.zone, box.zone)

    # ---- the module ------------------------------------------------------------------------------

    def dispatch(self, event: Any) -> None:
        """Pass an event to the decision module and execute the actions that it returns."""
        module = self._module
        if module is None:
            return
        now = self.world.events.now
        try:
            actions = module.handle(event, now)
        except Exception as error:
            raise ContractViolation(f"{self.name}: {type(error).__name__}: {error}, at {event!r}") from error
        if len(actions) > MAX_ACTIONS:
            raise ContractViolation(f"{self.name}: {len(actions)} actions for one event, at {event!r}")
        for action in actions:
            do = self._do.get(type(action))
            try:
                if do is None:
                    raise ContractViolation(f"{action!r} is no action")
                do(action)
            except ContractViolation as error:
                raise ContractViolation(f"{self.name}: {error}, at {event!r}") from None

    def _set_timer(self, action: Any) -> None:
        if not math.isfinite(action.at_ms):
            raise ContractViolation(f"timer at {action.at_ms}")
        self.world.events.at(action.at_ms, self._timer_due, (self.life, action.token))

    def _timer_due(self, timer: tuple[int, str]) -> None:
        if timer[0] == self.life:
            self.dispatch(self._interface.TimerDue(timer[1]))

    def _subscribe(self, _: Any) -> None:
        self.world.judge.counts["list calls"] += 1
        self.agent.subscribe()

    def _log(self, action: Any) -> None:
        if self.world.trace is not None:
            self.world.trace.add_line(self.world.events.now, None, self.name, "", f"log: {action.text}")

    # ---- the list --------------------------------------------------------------------------------

    def on_list_update(self, entries: tuple[Entry, ...], gone: tuple[Entry, ...], whole: bool) -> None:
        """Handle a list update; servers missing from a whole list are gone."""
        self.known_servers.record(entries + gone, self.world.events.now)
        kind = self._interface.ListKind.WHOLE if whole else self._interface.ListKind.CHANGES
        self.dispatch(self._interface.ListUpdate(kind, tuple(map(self.world.member, entries))))

    def on_list_failed(self) -> None:
        """Handle a failed list request."""
        self.world.judge.counts["list calls failed"] += 1
        self.dispatch(self._interface.ListUpdate(self._interface.ListKind.FAILED))

    def is_start_known(self, box: Box) -> bool:
        """Whether the balancer knows, or counts as knowing, of a box's latest start (WIRE, rule 4)."""
        return self.known_servers.is_start_known(box, self.world.events.now)

    # ---- requests --------------------------------------------------------------------------------

    def on_request(self, call: Call) -> None:
        """Handle a request that has been received completely."""
        world = self.world
        now = world.events.now
        if not self.alive:
            call.done = True
            call.loss = Loss(self.tier, LossCause.BALANCER_DIED)
            call.caller.on_final_outcome(call, FinalOutcome.UNREACHED, 0.0)
            return
        self.calls[call.number] = call
        call.taken_ms = now
        judge, client_request = world.judge, call.client_request
        judge.calls[self.tier] += 1
        world.events.at(
            call.deadline_ms + world.day.site.rules.answer_slack_ms, self._answer_overdue, (self.life, call)
        )
        if world.trace is not None:
            time_left_ms = call.deadline_ms - now
            world.trace.add_line(
                now, client_request, self.name, "", f"request {call.number} taken, {time_left_ms:.0f} ms left"
            )
        brand = world.day.brands[client_request.brand].name
        self.dispatch(
            self._interface.RequestArrived(
                call.number, client_request.cls.name, max(call.deadline_ms - now, 0.0), brand
            )
        )

    def on_client_left(self, call: Call) -> None:
        """Handle a caller that has disconnected."""
        if not call.done and self.calls.get(call.number) is call:
            call.done = True
            call.loss = Loss(self.tier, LossCause.LEFT)
            self.dispatch(self._interface.ClientLeft(call.number))
            self.release(call)

    def _answer_overdue(self, late: tuple[int, Call]) -> None:
        life, call = late
        if life != self.life or call.done:
            return
        self.world.judge.record_violation(
            "lost", f"{self.name}: request {call.number} had no answer in its time"
        )
        call.done = True
        call.loss = Loss(self.tier, LossCause.NO_ANSWER)
        self.dispatch(self._interface.ClientLeft(call.number))
        call.caller.on_final_outcome(call, FinalOutcome.FAILED, 0.0)
        self.release(call)

    def release(self, call: Call) -> None:
        """Drop a concluded request once all of its attempts have ended."""
        if call.done and all(a.over for a in call.attempts):
            self.calls.pop(call.number, None)

    def find_open_call(self, action: Any) -> Call | None:
        """Return the request that an action refers to, or None if it has been concluded."""
        call = self.calls.get(action.request)
        return None if call is None or call.done else call

    def _refuse(self, action: Any) -> None:
        call = self.find_open_call(action)
        if call is None:
            return  # actions on a concluded request are ignored (WIRE, "Error conditions")
        if call.client_request.cls.once and may_have_executed(call):
            self.world.judge.record_violation(
                "duplicate", f"{self.name}: refused {call.number}, which may have run"
            )
        self._conclude(call, FinalOutcome.REFUSED, action.retry_after_ms)

    def _fail(self, action: Any) -> None:
        call = self.find_open_call(action)
        if call is not None:
            self._conclude(call, FinalOutcome.FAILED, 0.0)

    def _conclude(self, call: Call, final: FinalOutcome, retry_after_ms: float) -> None:
        call.done = True
        call.loss = call.loss or Loss(self.tier, LossCause.ROOM)
        world = self.world
        world.judge.ended[self.tier][final] += 1
        if world.trace is not None:
            world.trace.add_line(
                world.events.now,
                call.client_request,
                self.name,
                "",
                f"request {call.number} {final.value}: {call.loss.cause.value}",
            )
        self.release(call)
        call.caller.on_final_outcome(call, final, retry_after_ms)
