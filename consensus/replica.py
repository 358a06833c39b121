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
from consensus.joining import Bootstrap, MembershipStatus, Newcomers, ViewDiscovery
from consensus.leaving import Departure, LeavingMembers
from consensus.membership import Change, NoChange
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
from consensus.terms import PreviousTerm, Succession
from consensus.views import DurableState, Member, View

START_TIMEOUT_SHARE = 0.3  # of the time after which a silent primary is lost is left when a process starts


class Replica:
    """Decides who leads, what is kept where, and what operators are told."""

    def __init__(
        self,
        me: Member,
        durable_state: DurableState,
        spec: Spec,
        seeds: tuple[str, ...],
        founder: bool,
        seed: int,
    ) -> None:
        """`seeds`: the IPs of processes that may know the view. `founder`: we make the first one."""
        self.me, self.durable_state, self._spec = me, durable_state, spec
        self._effects: deque[Effect] = deque()
        self.acceptor = Acceptor(durable_state, spec, self._effects.append)
        self.primary: Primary | None = None
        self.candidate = Candidate(me, self.acceptor, spec, seed, self._effects.append)
        self._newcomers = Newcomers(spec.spread)
        self._discovery = ViewDiscovery(me, self.acceptor, spec, seeds, self._effects.append)
        self._bootstrap = Bootstrap(me, self.acceptor, spec, founder, self._effects.append)
        self._hung_at = -1e12  # when the last write that hung was begun
        self._leaving_members = LeavingMembers()
        self._departure = Departure(me.identity, self._effects.append)
        self._ticked_at = 0.0
        self._last_term = PreviousTerm(self._effects.append)
        self._succession = Succession(self._effects.append)

    # ---- the host's side

    def take_effects(self) -> list[Effect]:
        """What is to be done now, in order."""
        found = list(self._effects)
        self._effects.clear()
        return found

    def start(self, now: float) -> None:
        """The process is up."""
        self._bootstrap.started = self._ticked_at = now
        # With a view in hand the primary may be there; it has the time of a beat or so to be heard of.
        self.acceptor.extend_leader_timeout(now, self._spec.leader_timeout_ms * START_TIMEOUT_SHARE)
        self.candidate.schedule_retry(now, 0.0, 1.0)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """The settings name other processes that may know the view, by IP."""
        self._discovery.seeds = seeds

    def seeds(self) -> tuple[str, ...]:
        """The processes that the settings name, by IP."""
        return self._discovery.seeds

    def on_disk_health(self, well: bool) -> None:
        """The disk refuses writes, or takes them again after all of the memory has been written to it."""
        self.acceptor.is_disk_failed = not well

    def submit(self, command: Command, now: float) -> None:
        """An operator's command; answered by one `Reply`."""
        if self.primary is None:
            self._effects.append(Reply(command.token, Verdict.MOVED))
        else:
            self.primary.submit(command, now)

    def leader(self) -> Member | None:
        """The primary as far as we know."""
        view = self.acceptor.latest_view
        return None if view is None else view.leader()

    def has_live_leader(self, now: float) -> bool:
        """Whether a primary is there: ourselves, or one that was heard of a moment ago."""
        return self.primary is not None or self.acceptor.has_live_leader(now)

    def live_leader(self, now: float) -> Member | None:
        """The primary if it was heard of itself a moment ago: one that is only given its time is not."""
        is_heard = (leader := self.leader()) is not None and self.acceptor.heard_from == leader.identity
        return leader if is_heard and self.has_live_leader(now) else None

    def stop(self, now: float) -> None:
        """The process is told to stop: what rests on it goes to others first; see `may_end`."""
        self._departure.begin(now)
        self._departure.tick(self.leader(), now)

    def may_end(self) -> bool:
        """Whether a process that is told to stop may end: no view rests on it any more."""
        return self.durable_state.slot() is None or (self._departure.is_released and self.primary is None)

    def resign(self, now: float) -> None:
        """The process ends now, whether it may or not: name a successor if we lead."""
        if self.primary is not None:
            self._hand_over(now)

    # ---- events

    def on_message(self, ip: str, message: Message, now: float) -> None:
        """A message of another process, or our own to ourselves."""
        if message.to not in (self.me.identity, ""):
            self._discovery.stale_sender = ip
            return  # meant for a process that was here before
        if self.primary is not None and isinstance(message, Ask | Leaving):
            self._notify_displaced(ip, message.sender, self.primary.view)
        named = (getattr(message, "epoch", 0), getattr(message, "promised", 0))
        self.candidate.highest_epoch_seen = max(self.candidate.highest_epoch_seen, *named)
        was = self.durable_state.promised
        if self.acceptor.handle(ip, message, now):
            if self.durable_state.promised > was and self.primary is not None:
                self._end_term(now)
            if isinstance(message, Install | Prepare):
                self._bootstrap.is_pending = False
            return
        match message:
            case Answer() | Promised():
                self.candidate.on_message(message, now)
            case Installed():
                self.candidate.on_message(message, now)
                self._bootstrap.on_installed(message)
            case Written() if self.primary is not None:
                self.primary.on_written(message, now)
                if self.primary.took_ms > self._spec.write_timeout_ms:
                    self.candidate.timeout_backoff.hold(now)
            case Heard() if self.primary is not None:
                self.primary.on_heartbeat_ack(message, now)
            case Known():
                self._discovery.on_known(message)
            case Join():
                self._on_join(ip, message, now)
            case Leaving():
                self._leaving_members.add(message.sender, now)
                self._release_if_unneeded(ip, message.sender, now)
            case Released():
                self._departure.on_released(message)
            case Succeed():
                view = self.durable_state.view
                due = view is not None and message.epoch == view.epoch == self.durable_state.promised
                free = self.primary is None and not self.candidate.is_designated_for(message.epoch)
                if due and free and not self._departure.is_begun:
                    self._leaving_members.add(message.sender, now)
                    self._start_campaign(now, handover=True)
        self._advance_campaign(now)

    def skip_epochs_to(self, epoch: int) -> None:
        """Others believe only a leader of a later epoch than this, that of a core that is gone for good.

        Nothing is bound by it: as leader we begin a view above that epoch, as every view is begun.
        """
        self.candidate.highest_epoch_seen = max(self.candidate.highest_epoch_seen, epoch)
        if self.primary is not None:
            self.primary.highest_promised = max(self.primary.highest_promised, epoch)

    def on_stall(self, stall_ms: float, now: float) -> None:
        """The process stood still for so long, in a time that its clock leaves out (`AwakeClock`)."""
        self.acceptor.detector.on_stall(stall_ms, now)
        if self.primary is not None:
            self.primary.send_heartbeat(now)  # the others have waited for it

    def tick(self, now: float) -> None:
        """Time has gone by; called every few tens of milliseconds."""
        if now - self._ticked_at > self._spec.heartbeat_ms:  # we were frozen: beats may be waiting
            self.acceptor.extend_leader_timeout(now, self._spec.leader_timeout_ms / 2)
        self._ticked_at = now
        self._newcomers.expire(now)
        self._leaving_members.expire(now)
        self._advance_campaign(now)
        if self.primary is not None:
            self._tick_as_leader(now)
        elif self.durable_state.slot() is not None:
            if self.candidate.campaign is None and self._should_campaign(now):
                self._start_campaign(now)
        elif self._bootstrap.is_pending:
            self._bootstrap.try_start(self._newcomers.members(), now)
        if self.primary is None and self.acceptor.is_displaced() and not self.acceptor.is_disk_failed:
            self.candidate.campaign = None
            self.acceptor.release_slot()
        if self.primary is None:
            if (
                not self._departure.is_begun or self.durable_state.slot() is not None
            ):  # who stops asks for no slot
                self._discovery.tick(now)
            self._succession.tick(self.durable_state.promised, now)
            self._departure.tick(self.leader(), now)

    # ---- campaigns

    def _should_campaign(self, now: float) -> bool:
        """Whether the primary has been silent for so long that a holder is to take its place."""
        free = self.candidate.can_campaign(now) and not self._bootstrap.is_in_progress(now)
        return free and self.candidate.is_leader_overdue(now, self._departure.is_begun)

    def _start_campaign(self, now: float, handover: bool = False) -> None:
        """Begin a campaign, as a holder of the latest view that we have accepted."""
        view, primary = self.durable_state.view, self.primary
        if view is None or not self.durable_state.is_holder() or self.acceptor.is_disk_failed:
            return
        change = self._due_change(primary, now) if primary is not None else NoChange()
        avoid = self._leaving_members.identities()
        self.candidate.start_campaign(view, now, handover or primary is not None, change, avoid)

    def _advance_campaign(self, now: float) -> None:
        ended = self.candidate.advance(now)
        if ended is not None and ended.stage is not Stage.WON:
            self._last_term.reject_commands()
        elif ended is not None and self.durable_state.promised == ended.epoch:
            self._on_campaign_won(ended, now)
        first = self._bootstrap.take_won_campaign()
        if first is not None and self.durable_state.promised == first.epoch:
            self._on_campaign_won(first, now)

    def _on_campaign_won(self, campaign: Campaign, now: float) -> None:
        assert campaign.view is not None
        view = campaign.view
        self.primary = Primary(self.durable_state, view, self._spec, self._effects.append, now)
        self.primary.write_ms *= self.candidate.timeout_backoff.factor(now)  # eased in `_lead`
        commands = self._last_term.transfer_to(campaign, self.primary)
        self.candidate.next_try = now + self._spec.heartbeat_ms  # a view is given the time of a beat
        self.acceptor.confirm_in_force(view)
        self._effects.append(Lead(view, self._last_term.is_base_of(campaign)))
        for slot, member in enumerate(view.members):
            if member is not None and slot not in campaign.installed_slots:
                self._send_install(member, view)
        self.primary.send_heartbeat(now)
        for command in commands:
            self.primary.submit(command, now)

    def _send_install(self, member: Member, view: View) -> None:
        """The view is in force: tell a member that holds no data."""
        if view.slot_of(member.identity) not in view.holders:
            self._send(member, Install(self.me.identity, member.identity, view, None, True))

    # ---- the primary's upkeep

    def _tick_as_leader(self, now: float) -> None:
        primary = self.primary
        assert primary is not None
        self.acceptor.leading_at = primary.quorum_at()
        primary.resend(now)
        primary.write_ms = min(
            primary.write_ms, self._spec.write_timeout_ms * self.candidate.timeout_backoff.factor(now)
        )
        if primary.is_heartbeat_due(now):
            primary.send_heartbeat(now)
        for slot in primary.behind:
            self._send_install(primary.view.member_at(slot), primary.view)
        primary.behind.clear()
        if primary.is_write_overdue(now) and primary.write_at != self._hung_at:
            self._hung_at = primary.write_at
            self.candidate.timeout_backoff.increase(now)
        own_hangs = primary.is_write_overdue(now) and not primary.has_synced(primary.view.primary)
        quorum_ms = (
            self._spec.quorum_timeout_ms
            / self._spec.leader_timeout_ms
            * self.acceptor.detector.timeout_ms(now)
        )
        if self.acceptor.is_disk_failed or own_hangs or now - primary.quorum_at() > quorum_ms:
            self._hand_over(now)
            return
        if self._departure.is_begun:
            self._step_down(primary, now)
        if (
            self.primary is not None
            and self.candidate.campaign is None
            and now >= self.candidate.next_try
            and self._needs_view_change(primary, now)
        ):
            self._start_campaign(now)

    def _needs_view_change(self, primary: Primary, now: float) -> bool:
        """Whether the view has to change: a holder is lost or leaves, a write hangs, somebody waits."""
        return (
            primary.needs_view_change(now, self._leaving_identities())
            or self._due_change(primary, now) != NoChange()
        )

    def _leaving_identities(self) -> frozenset[str]:
        """The identities of all that are told to stop, our own too."""
        own = frozenset({self.me.identity}) if self._departure.is_begun else frozenset()
        return self._leaving_members.identities() | own

    def _due_change(self, primary: Primary, now: float) -> Change:
        """The change of members that is due."""
        dead = primary.silent_slots(now, self._spec.dead_after_ms)
        silent = primary.silent_slots(now, self._spec.member_timeout_ms)
        leaving = sorted(primary.slots_of(self._leaving_members.identities()) - set(dead))
        present = frozenset(primary.present_slots() - set(silent))
        standing = MembershipStatus(tuple(dead), tuple(leaving), tuple(silent), present)
        return self._newcomers.due_change(primary.view, standing, now)

    def _step_down(self, primary: Primary, now: float) -> None:
        """We are told to stop as leader: hand over to a holder that stays, once there is one."""
        if not self._departure.is_settled(now):
            return
        staying = primary.staying_slots(now, self._leaving_members.identities())
        if staying & set(primary.view.holders):
            self._hand_over(now)
        elif not staying and not self._newcomers.has_waiting(primary.view):
            self._release_all(primary, now)

    def _release_all(self, primary: Primary, now: float) -> None:
        """Nobody is there to whom anything could go: all that leave may end, we too; their disks stay."""
        for identity in self._leaving_members.identities():
            slot = primary.view.slot_of(identity)
            if slot is not None:
                released = Released(self.me.identity, identity, primary.view.epoch)
                self._send(primary.view.member_at(slot), released)
        self._departure.is_released = True
        self._hand_over(now)

    def _release_if_unneeded(self, ip: str, identity: str, now: float) -> None:
        """Let a member end that is told to stop, if the view in force does not rest on it."""
        primary = self.primary
        if primary is None:
            return
        view = primary.view
        slot = view.slot_of(identity)
        is_free = slot not in view.holders and view.extra_member() is None
        is_free = is_free and not self._newcomers.has_waiting(view)
        if slot is None or is_free:
            self._effects.append(Send(ip, Released(self.me.identity, identity, view.epoch)))

    def _hand_over(self, now: float) -> None:
        """Name the successor: a holder that stays, was heard of and has the latest write first."""
        primary = self.primary
        assert primary is not None
        self._succession.start(primary, now, self._leaving_members.identities())
        self._end_term(now)

    def _end_term(self, now: float) -> None:
        """We lead no longer; what has no answer may have been taken or not."""
        primary, self.primary = self.primary, None
        if primary is not None:
            self._last_term.end(primary)
            self._effects.append(Lead(None))
            self.acceptor.leading_at = -1e12
            self.acceptor.extend_leader_timeout(now, self._spec.leader_timeout_ms / 2)
            campaign = self.candidate.campaign
            if campaign is None or campaign.epoch != self.durable_state.promised:
                self._last_term.reject_commands()

    # ---- newcomers

    def _notify_displaced(self, ip: str, identity: str, view: View) -> None:
        """One that is no member any more asks as if it were: tell it the view in force."""
        if view.slot_of(identity) is None:
            self._effects.append(Send(ip, Install(self.me.identity, identity, view, None, True)))

    def _on_join(self, ip: str, message: Join, now: float) -> None:
        self._newcomers.add(message, now)
        self.candidate.highest_epoch_seen = max(self.candidate.highest_epoch_seen, message.promised)
        self._bootstrap.resend_install(message.member)
        if self.acceptor.latest_view is not None:
            known = Known(
                self.me.identity, message.sender, self.acceptor.latest_view, self.durable_state.promised
            )
            self._effects.append(Send(ip, known))

    def _send(self, member: Member, message: Message) -> None:
        self._effects.append(Send(member.ip, message))
