"""One balancer process: an instance of the module, its connections, its calls; it carries out what is
decided.

The stand-in for `passpost`: it sends nothing that the decisions did not ask for, and tells them of each
attempt's one end. Costs of its own processor time are not modelled; docs/emulator.md says what that leaves
out.
"""

from __future__ import annotations

import math
from typing import Any, Protocol

from mastturn.emulator.calls import Attempt, Call, Cause, Final, Loss, whereabouts
from mastturn.emulator.contract import MOST_ACTIONS, BoxState, Decider, Fault, Version
from mastturn.emulator.day import Day
from mastturn.emulator.discovery import Agent, Entry, Phase, Registry
from mastturn.emulator.events import Events
from mastturn.emulator.judge import Judge
from mastturn.emulator.machine import Box
from mastturn.emulator.network import Network
from mastturn.emulator.pool import Pool
from mastturn.emulator.reports import LoadReport
from mastturn.emulator.watch import Watch

NEVER_RAN = ("TURNED_AWAY", "UNREACHED", "NOT_SENT")
SWEEP_MS = 1_000.0  # how often idle connections are looked at


class Around(Protocol):
    """What a balancer's process needs of the world."""

    day: Day
    events: Events
    judge: Judge
    network: Network
    version: Version
    watch: Watch | None
    boxes: dict[str, Box]

    def settings(self, tier: int) -> Any:
        """What an instance that calls a tier is told."""

    def module_seed(self, tier: int, number: int, life: int) -> int:
        """An instance's own seed."""

    def member(self, entry: Entry) -> Any:
        """A list entry in the words of the module's contract."""

    def truth(self, server: str) -> BoxState:
        """The true state of a box."""

    def box_receives(self, attempt: Attempt) -> bool:
        """A request's last byte is at its box; whether it is turned away."""

    def reset_wait_ms(self) -> float:
        """How long a request is under way before its connection breaks."""


class Host:
    """One balancer, over all the processes that it has had."""

    def __init__(self, world: Around, tier: int, number: int, zone: str, registry: Registry) -> None:
        self.world, self.tier, self.number, self.zone = world, tier, number, zone
        self.name = f"{world.day.tiers[tier].name}-balancer-{number}"
        self.registry = registry
        self.agent = Agent(registry, self, world.events)
        self.alive = self.leaving = False
        self.life = 0
        self.calls: dict[int, Call] = {}
        self.out = 0
        self.pool = Pool(world.day.tiers[tier].idle_ms)
        self._module: Decider | None = None
        self._named = set[str]()
        self._told_out: dict[str, float] = {}
        self._told_start: dict[str, float] = {}
        face = world.version.face
        self._face = face
        self._do = {
            face.Send: self._send,
            face.SetTimer: self._set_timer,
            face.Refuse: self._refuse,
            face.Fail: self._fail,
            face.Cancel: self._cancel,
            face.Subscribe: self._subscribe,
            face.Log: self._log,
        }
        if hasattr(face, "Probe"):
            self._do[face.Probe] = self._probe

    # ---- its process -----------------------------------------------------------------------------

    def start(self) -> None:
        """A new process, which knows the list as this balancer last had it (DEPLOY, `known`)."""
        world = self.world
        self.life += 1
        self.alive, self.leaving = True, False
        self.agent.forget()
        self._named.clear()
        self._told_out.clear()
        self._told_start.clear()
        settings = world.settings(self.tier)
        seed = world.module_seed(self.tier, self.number, self.life)
        self._module = world.version.make(settings, seed, world.truth)
        known = tuple(e for e in self.registry.entries.values() if e.phase is Phase.READY)
        self._note(known)
        self.tell(self._face.ListUpdate(self._face.ListKind.SAVED, tuple(map(world.member, known))))
        world.events.after(SWEEP_MS, self._sweep, self.life)

    def stop(self) -> None:
        """Killed: whatever it holds is gone, and its callers' connections are reset."""
        self.alive = False
        self.life += 1
        calls = list(self.calls.values())
        self.calls.clear()
        for call in calls:
            for attempt in call.attempts:
                if not attempt.over:
                    attempt.over = True
                    attempt.outcome = "balancer died"
                    self._hang_up(attempt)
            if not call.done:
                call.done = True
                call.loss = Loss(self.tier, Cause.BALANCER_DIED)
                call.caller.take_answer(call, Final.RESET, 0.0)
        self.out = 0
        self.pool.drop_all()
        self.agent.forget()
        self._module = None

    def _sweep(self, life: int) -> None:
        if life == self.life:
            self.pool.sweep(self.world.events.now)
            self.world.events.after(SWEEP_MS, self._sweep, life)

    def is_cut_from(self, box: Box) -> bool:
        """Whether nothing passes between it and a box."""
        return self.world.network.is_cut(self.zone, box.zone)

    # ---- the module ------------------------------------------------------------------------------

    def tell(self, event: Any) -> None:
        """Give the module an event and carry out what it returns."""
        module = self._module
        if module is None:
            return
        now = self.world.events.now
        try:
            actions = module.handle(event, now)
        except Exception as error:
            raise Fault(f"{self.name}: {type(error).__name__}: {error}, at {event!r}") from error
        if len(actions) > MOST_ACTIONS:
            raise Fault(f"{self.name}: {len(actions)} actions for one event, at {event!r}")
        for action in actions:
            do = self._do.get(type(action))
            try:
                if do is None:
                    raise Fault(f"{action!r} is no action")
                do(action)
            except Fault as error:
                raise Fault(f"{self.name}: {error}, at {event!r}") from None

    def _set_timer(self, action: Any) -> None:
        if not math.isfinite(action.at_ms):
            raise Fault(f"timer at {action.at_ms}")
        self.world.events.at(action.at_ms, self._timer_due, (self.life, action.token))

    def _timer_due(self, timer: tuple[int, str]) -> None:
        if timer[0] == self.life:
            self.tell(self._face.TimerDue(timer[1]))

    def _subscribe(self, _: Any) -> None:
        self.world.judge.counts["list calls"] += 1
        self.agent.subscribe()

    def _log(self, action: Any) -> None:
        if self.world.watch is not None:
            self.world.watch.line(self.world.events.now, None, self.name, "", f"log: {action.text}")

    # ---- the list --------------------------------------------------------------------------------

    def _note(self, entries: tuple[Entry, ...]) -> None:
        now = self.world.events.now
        for entry in entries:
            self._named.add(entry.server)
            if entry.phase is Phase.READY:
                self._told_out.pop(entry.server, None)
                self._told_start[entry.server] = entry.up_since_ms
            else:
                self._told_out.setdefault(entry.server, now)

    def listed(self, entries: tuple[Entry, ...], gone: tuple[Entry, ...], whole: bool) -> None:
        """News of the list; what is missing from a whole list is gone."""
        self._note(entries + gone)
        kind = self._face.ListKind.WHOLE if whole else self._face.ListKind.CHANGES
        self.tell(self._face.ListUpdate(kind, tuple(map(self.world.member, entries))))

    def list_failed(self) -> None:
        """A call for the list has failed."""
        self.world.judge.counts["list calls failed"] += 1
        self.tell(self._face.ListUpdate(self._face.ListKind.FAILED))

    def knows_start(self, box: Box) -> bool:
        """Whether it has been told, or counts as told, of a box's latest start (WIRE, rule 4)."""
        if self._told_start.get(box.name, -math.inf) >= box.started_ms:
            return True
        entry = self.registry.entries.get(box.name)
        return (
            entry is not None
            and entry.up_since_ms >= box.started_ms
            and self.world.events.now >= self.registry.told_at_latest(entry)
        )

    def _check_drain(self, server: str, now: float) -> None:
        entry = self.registry.entries.get(server)
        if entry is None or entry.phase is Phase.READY:
            return
        told = min(self._told_out.get(server, math.inf), self.registry.told_at_latest(entry))
        if now > told + self.world.day.site.rules.drain_grace_ms:
            self.world.judge.break_rule("drain", f"{self.name} sent to {server}, {entry.phase.value}")

    # ---- requests --------------------------------------------------------------------------------

    def take(self, call: Call) -> None:
        """A request has come in whole."""
        world = self.world
        now = world.events.now
        if not self.alive:
            call.done = True
            call.loss = Loss(self.tier, Cause.BALANCER_DIED)
            call.caller.take_answer(call, Final.UNREACHED, 0.0)
            return
        self.calls[call.number] = call
        call.taken_ms = now
        judge, first = world.judge, call.first
        judge.calls[self.tier] += 1
        world.events.at(
            call.deadline_ms + world.day.site.rules.answer_slack_ms, self._overdue, (self.life, call)
        )
        if world.watch is not None:
            left = call.deadline_ms - now
            world.watch.line(now, first, self.name, "", f"request {call.number} taken, {left:.0f} ms left")
        brand = world.day.brands[first.brand].name
        self.tell(
            self._face.RequestArrived(call.number, first.cls.name, max(call.deadline_ms - now, 0.0), brand)
        )

    def client_left(self, call: Call) -> None:
        """The caller has gone away."""
        if not call.done and self.calls.get(call.number) is call:
            call.done = True
            call.loss = Loss(self.tier, Cause.LEFT)
            self.tell(self._face.ClientLeft(call.number))
            self._forget(call)

    def _overdue(self, late: tuple[int, Call]) -> None:
        life, call = late
        if life != self.life or call.done:
            return
        self.world.judge.break_rule("lost", f"{self.name}: request {call.number} had no answer in its time")
        call.done = True
        call.loss = Loss(self.tier, Cause.NO_ANSWER)
        self.tell(self._face.ClientLeft(call.number))
        call.caller.take_answer(call, Final.FAILED, 0.0)
        self._forget(call)

    def _forget(self, call: Call) -> None:
        if call.done and all(a.over for a in call.attempts):
            self.calls.pop(call.number, None)

    def _open_call(self, action: Any) -> Call | None:
        call = self.calls.get(action.request)
        return None if call is None or call.done else call

    def _refuse(self, action: Any) -> None:
        call = self._open_call(action)
        if call is None:
            return  # about something concluded: ignored (WIRE, "Error conditions")
        if call.first.cls.once and any(a.outcome not in NEVER_RAN for a in call.attempts):
            self.world.judge.break_rule(
                "duplicate", f"{self.name}: refused {call.number}, which may have run"
            )
        self._conclude(call, Final.REFUSED, action.retry_after_ms)

    def _fail(self, action: Any) -> None:
        call = self._open_call(action)
        if call is not None:
            self._conclude(call, Final.FAILED, 0.0)

    def _conclude(self, call: Call, final: Final, advice_ms: float) -> None:
        call.done = True
        call.loss = call.loss or Loss(self.tier, Cause.ROOM)
        world = self.world
        world.judge.ended[self.tier][final] += 1
        if world.watch is not None:
            world.watch.line(
                world.events.now,
                call.first,
                self.name,
                "",
                f"request {call.number} {final.value}: {call.loss.cause.value}",
            )
        self._forget(call)
        call.caller.take_answer(call, final, advice_ms)

    # ---- attempts --------------------------------------------------------------------------------

    def _send(self, action: Any) -> None:
        world = self.world
        now, judge = world.events.now, world.judge
        call = self._open_call(action)
        if call is None:
            raise Fault(f"{action!r} for a request that is not open")
        box = world.boxes.get(action.server)
        if box is None or action.server not in self._named or box.number != self.tier:
            raise Fault(f"{action!r} to a server that its list has not named")
        earlier = call.attempts
        if any(not a.over for a in earlier):
            judge.break_rule("duplicate", f"{self.name}: {call.number} has two attempts out")
        if call.first.cls.once and any(a.outcome not in NEVER_RAN for a in earlier):
            judge.break_rule("duplicate", f"{self.name}: {call.number} sent again, though it may have run")
        self._check_drain(action.server, now)
        left = call.deadline_ms - now
        ends = now + (min(action.timeout_ms, left) if action.timeout_ms > 0 else left)
        attempt = Attempt(call, len(earlier), box, now, ends, self.life)
        earlier.append(attempt)
        self.out += 1
        if len(earlier) > world.day.site.rules.max_attempts:
            world.events.after(0.0, self._not_sent, attempt)
            return
        judge.count_send(self.tier, self.zone != box.zone, len(earlier) > 1)
        if world.watch is not None:
            world.watch.line(
                now, call.first, self.name, box.name, f"request {call.number} attempt {attempt.index} sent"
            )
        world.events.at(ends, self._timed_out, attempt)
        self._connect(attempt, box)

    def _connect(self, attempt: Attempt, box: Box) -> None:
        """Take a kept connection or open one: refused at once, never up, or up after its round trips."""
        world = self.world
        events, network = world.events, world.network
        way = network.delay_ms(self.zone, box.zone)
        epoch = self.pool.take(box, events.now)
        if epoch is not None:
            attempt.box_epoch = epoch
            attempt.connected = True
            events.after(way, self._arrive, attempt)
        elif box.silent or self.is_cut_from(box):
            events.after(box.tier.connect_timeout_ms, self._unreached, attempt)
        elif not box.up or box.connections >= box.figures.connection_cap:
            events.after(2 * way, self._unreached, attempt)
        else:
            self.pool.opened(box)
            attempt.connected = attempt.handshake = True
            world.judge.handshakes[self.tier] += 1
            events.after((2 * box.tier.handshake_round_trips + 1) * way, self._arrive, attempt)

    def _probe(self, action: Any) -> None:
        """Open a connection and keep it, as `passpost` does."""
        world = self.world
        box = world.boxes.get(action.server)
        if box is None or action.server not in self._named or box.number != self.tier:
            raise Fault(f"{action!r} at a server that its list has not named")
        way = world.network.delay_ms(self.zone, box.zone)
        silent = box.silent or self.is_cut_from(box)
        reached = box.up and not silent and box.connections < box.figures.connection_cap
        world.judge.counts["probes by connection"] += 1
        if reached:
            self.pool.opened(box)
            self.pool.keep(box, box.epoch, world.events.now)
            world.judge.handshakes[self.tier] += 1
            wait = 2 * box.tier.handshake_round_trips * way
        else:
            wait = box.tier.connect_timeout_ms if silent else 2 * way
        world.events.after(wait, self._probed, (self.life, action.server, reached))

    def _probed(self, found: tuple[int, str, bool]) -> None:
        life, server, reached = found
        if life == self.life:
            self.tell(self._face.Probed(server, reached))

    def _arrive(self, attempt: Attempt) -> None:
        """Its last byte is at the box."""
        if attempt.over:
            return
        world, box = self.world, attempt.box
        if self.is_cut_from(box) or (box.silent and not box.up):
            return  # nothing is said, ever
        way = world.network.delay_ms(self.zone, box.zone)
        if attempt.box_epoch != box.epoch or not box.up:
            world.events.after(way, self._reset, attempt)
            return
        attempt.arrived = True
        turned_away = world.box_receives(attempt)
        if turned_away:
            world.events.after(way, self._turned_away, attempt)
        elif world.network.resets():
            world.events.after(way + world.reset_wait_ms(), self._reset, attempt)

    def answered(self, answer: tuple[Attempt, bool, Loss | None, LoadReport | None, float]) -> None:
        """An upstream's answer has come."""
        attempt, served, loss, report, useful_ms = answer
        if served and not attempt.over:
            attempt.call.useful_ms += useful_ms
        self._end(attempt, "SERVED" if served else "ERROR", loss, report)

    def _turned_away(self, attempt: Attempt) -> None:
        self._end(attempt, "TURNED_AWAY", Loss(self.tier, Cause.TURNED_AWAY), attempt.box.report())

    def _unreached(self, attempt: Attempt) -> None:
        silent = attempt.box.silent or self.is_cut_from(attempt.box)
        self._end(attempt, "UNREACHED", Loss(self.tier, Cause.SILENT if silent else Cause.UNREACHED), None)

    def _not_sent(self, attempt: Attempt) -> None:
        self._end(attempt, "NOT_SENT", Loss(self.tier, Cause.TURNED_AWAY), None)

    def _reset(self, attempt: Attempt) -> None:
        self._end(attempt, "BROKEN", Loss(self.tier, Cause.RESET), None)

    def reset_by_box(self, attempt: Attempt) -> None:
        """The box's process has died with the request in it."""
        self._reset(attempt)

    def _timed_out(self, attempt: Attempt) -> None:
        if not attempt.over and attempt.life == self.life:
            outcome = "TIMED_OUT" if attempt.connected else "UNREACHED"
            self._end(attempt, outcome, whereabouts(attempt, self.is_cut_from(attempt.box)), None)

    def _cancel(self, action: Any) -> None:
        call = self.calls.get(action.request)
        if call is not None and 0 <= action.attempt < len(call.attempts):
            self.world.events.after(0.0, self._cancelled, call.attempts[action.attempt])

    def _cancelled(self, attempt: Attempt) -> None:
        if not attempt.over and attempt.life == self.life:
            where = whereabouts(attempt, self.is_cut_from(attempt.box))
            self._end(attempt, "CANCELLED", where, None)

    def _hang_up(self, attempt: Attempt) -> None:
        if attempt.connected:
            self.pool.closed(attempt.box, attempt.box_epoch)

    def _end(self, attempt: Attempt, outcome: str, loss: Loss | None, report: LoadReport | None) -> None:
        """An attempt's one end: its connection is kept or closed, and the module told."""
        if attempt.over or attempt.life != self.life:
            return
        world, call = self.world, attempt.call
        now = world.events.now
        attempt.over, attempt.outcome, attempt.ended_ms = True, outcome, now
        self.out -= 1
        world.judge.outcomes[self.tier][outcome] += 1
        if outcome in ("SERVED", "ERROR", "TURNED_AWAY"):
            if attempt.box_epoch == attempt.box.epoch:
                self.pool.keep(attempt.box, attempt.box_epoch, now)
            else:
                self._hang_up(attempt)
        elif outcome != "NOT_SENT":
            self._hang_up(attempt)
        served = outcome == "SERVED" and not call.done
        if served:
            call.done = True
            world.judge.ended[self.tier][Final.SERVED] += 1
        elif loss is not None and not call.done:
            call.loss = loss
        if world.watch is not None:
            why = f" ({loss.cause.value}, {world.day.tiers[loss.tier].name})" if loss is not None else ""
            world.watch.line(
                now,
                call.first,
                self.name,
                attempt.box.name,
                f"request {call.number} attempt {attempt.index} {outcome.lower()}{why}",
            )
        kind = self._face.Outcome[outcome]
        self.tell(
            world.version.attempt_ended(
                call.number, attempt.index, attempt.box.name, kind, call.done, report=report
            )
        )
        self._forget(call)
        if served:
            call.caller.take_answer(call, Final.SERVED, 0.0)
