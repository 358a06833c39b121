"""Sends one balancer's attempts over connections and reports the single outcome of each to the module."""

from __future__ import annotations

from typing import Any, Protocol

from mastturn.emulator.calls import Attempt, Call, FinalOutcome, Loss, LossCause, locate_loss
from mastturn.emulator.contract import ContractViolation
from mastturn.emulator.machine import Box
from mastturn.emulator.pool import Pool
from mastturn.emulator.reports import LoadReport
from mastturn.emulator.told import KnownServers

NOT_EXECUTED = ("TURNED_AWAY", "UNREACHED", "NOT_SENT")


class Sender(Protocol):
    """The balancer that sends the attempts."""

    world: Any
    tier: int
    name: str
    zone: str
    life: int
    calls: dict[int, Call]
    known_servers: KnownServers

    def dispatch(self, event: Any) -> None:
        """Pass an event to the decision module and execute the actions that it returns."""

    def find_open_call(self, action: Any) -> Call | None:
        """Return the request that an action refers to, or None if it has been concluded."""

    def release(self, call: Call) -> None:
        """Drop a concluded request once all of its attempts have ended."""

    def is_cut_from(self, box: Box) -> bool:
        """Whether the network between this balancer and a box is cut."""


def may_have_executed(call: Call) -> bool:
    """Whether an upstream may have executed some attempt of a request."""
    return any(attempt.outcome not in NOT_EXECUTED for attempt in call.attempts)


class Attempts:
    """Executes the module's decisions about attempts."""

    def __init__(self, balancer: Sender, idle_ms: float, interface: Any) -> None:
        """`idle_ms`: idle timeout of a connection; `interface`: the types of the module's contract."""
        self._balancer, self._interface = balancer, interface
        self.pool = Pool(idle_ms)
        self.in_flight = 0  # attempts in flight

    def drop_all(self) -> None:
        """Discard all connections and attempts: the process has ended."""
        self.in_flight = 0
        self.pool.drop_all()

    def send(self, action: Any) -> None:
        """Send a request to an upstream; raises ContractViolation if the request or server is not valid."""
        world = self._balancer.world
        now, judge = world.events.now, world.judge
        call = self._balancer.find_open_call(action)
        if call is None:
            raise ContractViolation(f"{action!r} for a request that is not open")
        box = world.boxes.get(action.server)
        if (
            box is None
            or not self._balancer.known_servers.is_known(action.server)
            or box.number != self._balancer.tier
        ):
            raise ContractViolation(f"{action!r} to a server that its list has not named")
        earlier = call.attempts
        if any(not a.over for a in earlier):
            judge.record_violation(
                "duplicate", f"{self._balancer.name}: {call.number} has two attempts in flight"
            )
        if call.client_request.cls.once and may_have_executed(call):
            judge.record_violation(
                "duplicate", f"{self._balancer.name}: {call.number} sent again, though it may have run"
            )
        self._check_drain(action.server, now)
        time_left_ms = call.deadline_ms - now
        ends = now + (min(action.timeout_ms, time_left_ms) if action.timeout_ms > 0 else time_left_ms)
        attempt = Attempt(call, len(earlier), box, now, ends, self._balancer.life)
        earlier.append(attempt)
        self.in_flight += 1
        if len(earlier) > world.day.site.rules.max_attempts:
            world.events.after(0.0, self._not_sent, attempt)
            return
        judge.record_send(self._balancer.tier, self._balancer.zone != box.zone, len(earlier) > 1)
        if world.trace is not None:
            world.trace.add_line(
                now,
                call.client_request,
                self._balancer.name,
                box.name,
                f"request {call.number} attempt {attempt.index} sent",
            )
        world.events.at(ends, self._timed_out, attempt)
        self._connect(attempt, box)

    def _check_drain(self, server: str, now: float) -> None:
        told_ms, phase = self._balancer.known_servers.removed_at(server)
        if phase is not None and now > told_ms + self._balancer.world.day.site.rules.drain_grace_ms:
            text = f"{self._balancer.name} sent to {server}, {phase.value}"
            self._balancer.world.judge.record_violation("drain", text)

    def _connect(self, attempt: Attempt, box: Box) -> None:
        """Reuse an idle connection or open one, which is established, refused, or times out."""
        world = self._balancer.world
        events, network = world.events, world.network
        one_way_ms = network.delay_ms(self._balancer.zone, box.zone)
        epoch = self.pool.acquire(box, events.now)
        if epoch is not None:
            attempt.box_epoch = epoch
            attempt.connected = True
            events.after(one_way_ms, self._arrive, attempt)
        elif box.silent or self._balancer.is_cut_from(box):
            events.after(box.tier.connect_timeout_ms, self._connect_failed, attempt)
        elif not box.up or box.connections >= box.parameters.connection_cap:
            events.after(2 * one_way_ms, self._connect_failed, attempt)
        else:
            self.pool.opened(box)
            attempt.connected = attempt.handshake = True
            world.judge.handshakes[self._balancer.tier] += 1
            events.after((2 * box.tier.handshake_round_trips + 1) * one_way_ms, self._arrive, attempt)

    def probe(self, action: Any) -> None:
        """Open a connection and keep it in the pool, as `passpost` does."""
        world = self._balancer.world
        box = world.boxes.get(action.server)
        if (
            box is None
            or not self._balancer.known_servers.is_known(action.server)
            or box.number != self._balancer.tier
        ):
            raise ContractViolation(f"{action!r} at a server that its list has not named")
        one_way_ms = world.network.delay_ms(self._balancer.zone, box.zone)
        silent = box.silent or self._balancer.is_cut_from(box)
        reached = box.up and not silent and box.connections < box.parameters.connection_cap
        world.judge.counts["probes by connection"] += 1
        if reached:
            self.pool.opened(box)
            self.pool.keep(box, box.epoch, world.events.now)
            world.judge.handshakes[self._balancer.tier] += 1
            wait = 2 * box.tier.handshake_round_trips * one_way_ms
        else:
            wait = box.tier.connect_timeout_ms if silent else 2 * one_way_ms
        world.events.after(wait, self._probed, (self._balancer.life, action.server, reached))

    def _probed(self, found: tuple[int, str, bool]) -> None:
        life, server, reached = found
        if life == self._balancer.life:
            self._balancer.dispatch(self._interface.Probed(server, reached))

    def _arrive(self, attempt: Attempt) -> None:
        """Deliver the attempt: its last byte has reached the box."""
        if attempt.over:
            return
        world, box = self._balancer.world, attempt.box
        if self._balancer.is_cut_from(box) or (box.silent and not box.up):
            return  # a silent box neither answers nor resets
        one_way_ms = world.network.delay_ms(self._balancer.zone, box.zone)
        if attempt.box_epoch != box.epoch or not box.up:
            world.events.after(one_way_ms, self.on_reset, attempt)
            return
        attempt.arrived = True
        turned_away = world.deliver_request(attempt)
        if turned_away:
            world.events.after(one_way_ms, self._rejected, attempt)
        elif world.network.resets():
            world.events.after(one_way_ms + world.reset_wait_ms(), self.on_reset, attempt)

    def on_response(self, answer: tuple[Attempt, bool, Loss | None, LoadReport | None, float]) -> None:
        """Handle an upstream's response."""
        attempt, served, loss, report, useful_ms = answer
        if served and not attempt.over:
            attempt.call.useful_ms += useful_ms
        self._end(attempt, "SERVED" if served else "ERROR", loss, report)

    def _rejected(self, attempt: Attempt) -> None:
        self._end(
            attempt, "TURNED_AWAY", Loss(self._balancer.tier, LossCause.TURNED_AWAY), attempt.box.report()
        )

    def _connect_failed(self, attempt: Attempt) -> None:
        silent = attempt.box.silent or self._balancer.is_cut_from(attempt.box)
        self._end(
            attempt,
            "UNREACHED",
            Loss(self._balancer.tier, LossCause.SILENT if silent else LossCause.UNREACHED),
            None,
        )

    def _not_sent(self, attempt: Attempt) -> None:
        self._end(attempt, "NOT_SENT", Loss(self._balancer.tier, LossCause.TURNED_AWAY), None)

    def on_reset(self, attempt: Attempt) -> None:
        """Handle a connection reset, possibly because the box's process ended with the request in it."""
        self._end(attempt, "BROKEN", Loss(self._balancer.tier, LossCause.RESET), None)

    def _timed_out(self, attempt: Attempt) -> None:
        if not attempt.over and attempt.life == self._balancer.life:
            outcome = "TIMED_OUT" if attempt.connected else "UNREACHED"
            self._end(attempt, outcome, locate_loss(attempt, self._balancer.is_cut_from(attempt.box)), None)

    def cancel(self, action: Any) -> None:
        """Cancel an attempt on behalf of the module."""
        call = self._balancer.calls.get(action.request)
        if call is not None and 0 <= action.attempt < len(call.attempts):
            self._balancer.world.events.after(0.0, self._cancelled, call.attempts[action.attempt])

    def _cancelled(self, attempt: Attempt) -> None:
        if not attempt.over and attempt.life == self._balancer.life:
            where = locate_loss(attempt, self._balancer.is_cut_from(attempt.box))
            self._end(attempt, "CANCELLED", where, None)

    def close_connection(self, attempt: Attempt) -> None:
        """Close the attempt's connection, if it has one."""
        if attempt.connected:
            self.pool.closed(attempt.box, attempt.box_epoch)

    def _end(self, attempt: Attempt, outcome: str, loss: Loss | None, report: LoadReport | None) -> None:
        """Record an attempt's outcome once, keep or close its connection, and notify the module."""
        if attempt.over or attempt.life != self._balancer.life:
            return
        world, call = self._balancer.world, attempt.call
        now = world.events.now
        attempt.over, attempt.outcome, attempt.ended_ms = True, outcome, now
        self.in_flight -= 1
        world.judge.outcomes[self._balancer.tier][outcome] += 1
        if outcome in ("SERVED", "ERROR", "TURNED_AWAY"):
            if attempt.box_epoch == attempt.box.epoch:
                self.pool.keep(attempt.box, attempt.box_epoch, now)
            else:
                self.close_connection(attempt)
        elif outcome != "NOT_SENT":
            self.close_connection(attempt)
        served = outcome == "SERVED" and not call.done
        if served:
            call.done = True
            world.judge.ended[self._balancer.tier][FinalOutcome.SERVED] += 1
        elif loss is not None and not call.done:
            call.loss = loss
        if world.trace is not None:
            why = f" ({loss.cause.value}, {world.day.tiers[loss.tier].name})" if loss is not None else ""
            world.trace.add_line(
                now,
                call.client_request,
                self._balancer.name,
                attempt.box.name,
                f"request {call.number} attempt {attempt.index} {outcome.lower()}{why}",
            )
        kind = self._interface.Outcome[outcome]
        self._balancer.dispatch(
            world.version.attempt_ended(
                call.number, attempt.index, attempt.box.name, kind, call.done, report=report
            )
        )
        self._balancer.release(call)
        if served:
            call.caller.on_final_outcome(call, FinalOutcome.SERVED, 0.0)
