"""One control process as a pure machine: messages, time and commands in, effects out.

It owns all of its state; whoever hosts it hands over one event at a time and carries out effects in order.
Times are milliseconds of a steady clock.
"""

from __future__ import annotations

from collections import deque

from consensus.acceptor import Acceptor
from consensus.campaign import Campaign, Stage
from consensus.candidate import Candidate
from consensus.effects import Effect, Lead, Reply, Send, Spec, Verdict
from consensus.joining import Founding, Inquirer, Newcomers, Standing
from consensus.leaving import Departure, Leavers
from consensus.membership import Change, Keep
from consensus.messages import (
    Answer,
    Ask,
    Heard,
    Install,
    Installed,
    Join,
    Known,
    Leaving,
    Message,
    Prepare,
    Promised,
    Released,
    Succeed,
    Written,
)
from consensus.primary import Command, Primary
from consensus.terms import LastTerm, Succession
from consensus.views import Member, Memory, View

START_PATIENCE = 0.3  # of the time after which a silent primary is lost is left when a process starts


class Replica:
    """Decides who leads, what is kept where, and what operators are told."""

    def __init__(
        self, me: Member, memory: Memory, spec: Spec, seeds: tuple[str, ...], founder: bool, seed: int
    ) -> None:
        """`seeds`: the IPs of processes that may know the view. `founder`: we make the first one."""
        self.me, self.memory, self._spec = me, memory, spec
        self._effects: deque[Effect] = deque()
        self.acceptor = Acceptor(memory, spec, self._effects.append)
        self.primary: Primary | None = None
        self.candidate = Candidate(me, self.acceptor, spec, seed, self._effects.append)
        self._newcomers = Newcomers(spec.spread)
        self._inquirer = Inquirer(me, self.acceptor, spec, seeds, self._effects.append)
        self._founding = Founding(me, self.acceptor, spec, founder, self._effects.append)
        self._hung_at = -1e12  # when the last write that hung was begun
        self._leavers = Leavers()
        self._departure = Departure(me.identity, self._effects.append)
        self._ticked_at = 0.0
        self._last_term = LastTerm(self._effects.append)
        self._succession = Succession(self._effects.append)

    # ---- the host's side

    def take(self) -> list[Effect]:
        """What is to be done now, in order."""
        found = list(self._effects)
        self._effects.clear()
        return found

    def start(self, now: float) -> None:
        """The process is up."""
        self._founding.started = self._ticked_at = now
        # With a view in hand the primary may be there; it has the time of a beat or so to be heard of.
        self.acceptor.grant(now, self._spec.lost_ms * START_PATIENCE)
        self.candidate.wait(now, 0.0, 1.0)

    def follow_seeds(self, seeds: tuple[str, ...]) -> None:
        """The settings name other processes that may know the view, by IP."""
        self._inquirer.seeds = seeds

    def seeds(self) -> tuple[str, ...]:
        """The processes that the settings name, by IP."""
        return self._inquirer.seeds

    def disk(self, well: bool) -> None:
        """The disk refuses writes, or takes them again after all of the memory has been written to it."""
        self.acceptor.sick = not well

    def submit(self, command: Command, now: float) -> None:
        """An operator's command; answered by one `Reply`."""
        if self.primary is None:
            self._effects.append(Reply(command.token, Verdict.MOVED))
        else:
            self.primary.submit(command, now)

    def leader(self) -> Member | None:
        """The primary as far as we know."""
        view = self.acceptor.latest
        return None if view is None else view.leader()

    def is_led(self, now: float) -> bool:
        """Whether a primary is there: ourselves, or one that was heard of a moment ago."""
        return self.primary is not None or self.acceptor.is_led(now)

    def heard_leader(self, now: float) -> Member | None:
        """The primary if it was heard of itself a moment ago: one that is only given its time is not."""
        is_heard = (leader := self.leader()) is not None and self.acceptor.heard_from == leader.identity
        return leader if is_heard and self.is_led(now) else None

    def stop(self, now: float) -> None:
        """The process is told to stop: what rests on it goes to others first; see `may_end`."""
        self._departure.begin(now)
        self._departure.look(self.leader(), now)

    def may_end(self) -> bool:
        """Whether a process that is told to stop may end: no view rests on it any more."""
        return self.memory.slot() is None or (self._departure.is_released and self.primary is None)

    def resign(self, now: float) -> None:
        """The process ends now, whether it may or not: name a successor if we lead."""
        if self.primary is not None:
            self._succeed(now)

    # ---- events

    def hear(self, ip: str, message: Message, now: float) -> None:
        """A message of another process, or our own to ourselves."""
        if message.to not in (self.me.identity, ""):
            self._inquirer.caller = ip
            return  # meant for a process that was here before
        if self.primary is not None and isinstance(message, Ask | Leaving):
            self._tell_displaced(ip, message.sender, self.primary.view)
        named = (getattr(message, "epoch", 0), getattr(message, "promised", 0))
        self.candidate.seen = max(self.candidate.seen, *named)
        was = self.memory.promised
        if self.acceptor.take(ip, message, now):
            if self.memory.promised > was and self.primary is not None:
                self._end_term(now)
            if isinstance(message, Install | Prepare):
                self._founding.is_ours = False
            return
        match message:
            case Answer() | Promised():
                self.candidate.hear(message, now)
            case Installed():
                self.candidate.hear(message, now)
                self._founding.confirmed(message)
            case Written() if self.primary is not None:
                self.primary.written(message, now)
                if self.primary.took_ms > self._spec.write_ms:
                    self.candidate.patience.keep(now)
            case Heard() if self.primary is not None:
                self.primary.heard(message, now)
            case Known():
                self._inquirer.told(message)
            case Join():
                self._join(ip, message, now)
            case Leaving():
                self._leavers.add(message.sender, now)
                self._release(ip, message.sender, now)
            case Released():
                self._departure.released(message)
            case Succeed():
                view = self.memory.view
                due = view is not None and message.epoch == view.epoch == self.memory.promised
                free = self.primary is None and not self.candidate.is_named(message.epoch)
                if due and free and not self._departure.is_begun:
                    self._leavers.add(message.sender, now)
                    self._run(now, handover=True)
        self._advance(now)

    def outrun(self, epoch: int) -> None:
        """Others believe only a leader of a later epoch than this, that of a core that is gone for good.

        Nothing is bound by it: as leader we begin a view above that epoch, as every view is begun.
        """
        self.candidate.seen = max(self.candidate.seen, epoch)
        if self.primary is not None:
            self.primary.above = max(self.primary.above, epoch)

    def stalled(self, stall_ms: float, now: float) -> None:
        """The process stood still for so long, in a time that its clock leaves out (`AwakeClock`)."""
        self.acceptor.detector.stalled(stall_ms, now)
        if self.primary is not None:
            self.primary.beat(now)  # the others have waited for it

    def tick(self, now: float) -> None:
        """Time has gone by; called every few tens of milliseconds."""
        if now - self._ticked_at > self._spec.beat_ms:  # we were frozen: beats may be waiting
            self.acceptor.grant(now, self._spec.lost_ms / 2)
        self._ticked_at = now
        self._newcomers.expire(now)
        self._leavers.expire(now)
        self._advance(now)
        if self.primary is not None:
            self._lead(now)
        elif self.memory.slot() is not None:
            if self.candidate.campaign is None and self._is_time(now):
                self._run(now)
        elif self._founding.is_ours:
            self._founding.found(self._newcomers.members(), now)
        if self.primary is None and self.acceptor.is_displaced() and not self.acceptor.sick:
            self.candidate.campaign = None
            self.acceptor.forget()
        if self.primary is None:
            if not self._departure.is_begun or self.memory.slot() is not None:  # who stops asks for no slot
                self._inquirer.look(now)
            self._succession.look(self.memory.promised, now)
            self._departure.look(self.leader(), now)

    # ---- campaigns

    def _is_time(self, now: float) -> bool:
        """Whether the primary has been silent for so long that a holder is to take its place."""
        free = self.candidate.is_free(now) and not self._founding.is_under_way(now)
        return free and self.candidate.is_overdue(now, self._departure.is_begun)

    def _run(self, now: float, handover: bool = False) -> None:
        """Begin a campaign, as a holder of the latest view that we have accepted."""
        view, primary = self.memory.view, self.primary
        if view is None or not self.memory.is_holder() or self.acceptor.sick:
            return
        change = self._due_change(primary, now) if primary is not None else Keep()
        avoid = self._leavers.identities()
        self.candidate.run(view, now, handover or primary is not None, change, avoid)

    def _advance(self, now: float) -> None:
        ended = self.candidate.advance(now)
        if ended is not None and ended.stage is not Stage.WON:
            self._last_term.let_go()
        elif ended is not None and self.memory.promised == ended.epoch:
            self._win(ended, now)
        first = self._founding.won()
        if first is not None and self.memory.promised == first.epoch:
            self._win(first, now)

    def _win(self, campaign: Campaign, now: float) -> None:
        assert campaign.view is not None
        view = campaign.view
        self.primary = Primary(self.memory, view, self._spec, self._effects.append, now)
        self.primary.write_ms *= self.candidate.patience.factor(now)  # eased in `_lead`
        commands = self._last_term.hand_on(campaign, self.primary)
        self.candidate.next_try = now + self._spec.beat_ms  # a view is given the time of a beat
        self.acceptor.confirm(view)
        self._effects.append(Lead(view, self._last_term.is_base_of(campaign)))
        for slot, member in enumerate(view.members):
            if member is not None and slot not in campaign.installed:
                self._install_at(member, view)
        self.primary.beat(now)
        for command in commands:
            self.primary.submit(command, now)

    def _install_at(self, member: Member, view: View) -> None:
        """The view is in force: tell a member that holds no data."""
        if view.slot_of(member.identity) not in view.holders:
            self._send(member, Install(self.me.identity, member.identity, view, None, True))

    # ---- the primary's upkeep

    def _lead(self, now: float) -> None:
        primary = self.primary
        assert primary is not None
        self.acceptor.leading_at = primary.quorum_at()
        primary.resend(now)
        primary.write_ms = min(primary.write_ms, self._spec.write_ms * self.candidate.patience.factor(now))
        if primary.is_beat_due(now):
            primary.beat(now)
        for slot in primary.behind:
            self._install_at(primary.view.at(slot), primary.view)
        primary.behind.clear()
        if primary.is_hanging(now) and primary.write_at != self._hung_at:
            self._hung_at = primary.write_at
            self.candidate.patience.lose(now)
        own_hangs = primary.is_hanging(now) and not primary.has_kept(primary.view.primary)
        quorum_ms = self._spec.quorum_ms / self._spec.lost_ms * self.acceptor.detector.timeout_ms(now)
        if self.acceptor.sick or own_hangs or now - primary.quorum_at() > quorum_ms:
            self._succeed(now)
            return
        if self._departure.is_begun:
            self._step_down(primary, now)
        if (
            self.primary is not None
            and self.candidate.campaign is None
            and now >= self.candidate.next_try
            and self._wants_change(primary, now)
        ):
            self._run(now)

    def _wants_change(self, primary: Primary, now: float) -> bool:
        """Whether the view has to change: a holder is lost or leaves, a write hangs, somebody waits."""
        return primary.wants_change(now, self._leaving()) or self._due_change(primary, now) != Keep()

    def _leaving(self) -> frozenset[str]:
        """The identities of all that are told to stop, our own too."""
        own = frozenset({self.me.identity}) if self._departure.is_begun else frozenset()
        return self._leavers.identities() | own

    def _due_change(self, primary: Primary, now: float) -> Change:
        """The change of members that is due."""
        dead = primary.silent(now, self._spec.dead_ms)
        silent = primary.silent(now, self._spec.silent_ms)
        leaving = sorted(primary.slots_of(self._leavers.identities()) - set(dead))
        present = frozenset(primary.present() - set(silent))
        standing = Standing(tuple(dead), tuple(leaving), tuple(silent), present)
        return self._newcomers.change(primary.view, standing, now)

    def _step_down(self, primary: Primary, now: float) -> None:
        """We are told to stop as leader: hand over to a holder that stays, once there is one."""
        if not self._departure.is_settled(now):
            return
        staying = primary.staying(now, self._leavers.identities())
        if staying & set(primary.view.holders):
            self._succeed(now)
        elif not staying and not self._newcomers.are_waiting(primary.view):
            self._dissolve(primary, now)

    def _dissolve(self, primary: Primary, now: float) -> None:
        """Nobody is there to whom anything could go: all that leave may end, we too; their disks stay."""
        for identity in self._leavers.identities():
            slot = primary.view.slot_of(identity)
            if slot is not None:
                released = Released(self.me.identity, identity, primary.view.epoch)
                self._send(primary.view.at(slot), released)
        self._departure.is_released = True
        self._succeed(now)

    def _release(self, ip: str, identity: str, now: float) -> None:
        """Let a member end that is told to stop, if the view in force does not rest on it."""
        primary = self.primary
        if primary is None:
            return
        view = primary.view
        slot = view.slot_of(identity)
        is_free = slot not in view.holders and view.added() is None
        is_free = is_free and not self._newcomers.are_waiting(view)
        if slot is None or is_free:
            self._effects.append(Send(ip, Released(self.me.identity, identity, view.epoch)))

    def _succeed(self, now: float) -> None:
        """Name the successor: a holder that stays, was heard of and has the latest write first."""
        primary = self.primary
        assert primary is not None
        self._succession.name(primary, now, self._leavers.identities())
        self._end_term(now)

    def _end_term(self, now: float) -> None:
        """We lead no longer; what has no answer may have been taken or not."""
        primary, self.primary = self.primary, None
        if primary is not None:
            self._last_term.end(primary)
            self._effects.append(Lead(None))
            self.acceptor.leading_at = -1e12
            self.acceptor.grant(now, self._spec.lost_ms / 2)
            campaign = self.candidate.campaign
            if campaign is None or campaign.epoch != self.memory.promised:
                self._last_term.let_go()

    # ---- newcomers

    def _tell_displaced(self, ip: str, identity: str, view: View) -> None:
        """One that is no member any more asks as if it were: tell it the view in force."""
        if view.slot_of(identity) is None:
            self._effects.append(Send(ip, Install(self.me.identity, identity, view, None, True)))

    def _join(self, ip: str, message: Join, now: float) -> None:
        self._newcomers.take(message, now)
        self.candidate.seen = max(self.candidate.seen, message.promised)
        self._founding.invite(message.member)
        if self.acceptor.latest is not None:
            known = Known(self.me.identity, message.sender, self.acceptor.latest, self.memory.promised)
            self._effects.append(Send(ip, known))

    def _send(self, member: Member, message: Message) -> None:
        self._effects.append(Send(member.ip, message))
