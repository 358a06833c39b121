"""One control process as a deterministic state machine: messages, time and commands in, effects out.

It owns all of its state. Its host passes it one event at a time and carries out the effects in order. Times
are milliseconds of a monotonic clock.
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
    HeartbeatAck,
    InstallView,
    InstallViewAck,
    JoinRequest,
    LeaveAck,
    LeaveRequest,
    Message,
    Prepare,
    PreVoteRequest,
    PreVoteResponse,
    Promise,
    TransferLeadership,
    ViewUpdate,
    WriteAck,
)
from consensus.primary import Command, Primary
from consensus.succession import PreviousTerm, Succession
from consensus.views import DurableState, Member, View

# Share of the leader timeout that is left to a silent primary when a process starts.
START_TIMEOUT_SHARE = 0.3


class Replica:
    """Decides who leads, what is stored where and how operators' commands are answered."""

    def __init__(
        self,
        me: Member,
        durable_state: DurableState,
        spec: Spec,
        seeds: tuple[str, ...],
        is_bootstrap_node: bool,
        seed: int,
    ) -> None:
        """`seeds`: IPs of processes that may know the view. `is_bootstrap_node`: creates the first view."""
        self.me, self.durable_state, self._spec = me, durable_state, spec
        self._effects: deque[Effect] = deque()
        self.acceptor = Acceptor(durable_state, spec, self._effects.append)
        self.primary: Primary | None = None
        self.candidate = Candidate(me, self.acceptor, spec, seed, self._effects.append)
        self._newcomers = Newcomers(spec.spread)
        self._discovery = ViewDiscovery(me, self.acceptor, spec, seeds, self._effects.append)
        self._bootstrap = Bootstrap(me, self.acceptor, spec, is_bootstrap_node, self._effects.append)
        self._hung_at = -1e12  # When the last write that hung was started.
        self._leaving_members = LeavingMembers()
        self._departure = Departure(me.identity, self._effects.append)
        self._ticked_at = 0.0
        self._last_term = PreviousTerm(self._effects.append)
        self._succession = Succession(self._effects.append)

    # ---- called by the host

    def take_effects(self) -> list[Effect]:
        """Returns the pending effects in order, and clears them."""
        effects = list(self._effects)
        self._effects.clear()
        return effects

    def start(self, now: float) -> None:
        """Starts the replica; called once the process is up."""
        self._bootstrap.started = self._ticked_at = now
        # If a view is stored, its primary may be alive; it gets a little over one heartbeat interval.
        self.acceptor.extend_leader_timeout(now, self._spec.leader_timeout_ms * START_TIMEOUT_SHARE)
        self.candidate.schedule_retry(now, 0.0, 1.0)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Sets the IPs of processes that may know the view, from changed settings."""
        self._discovery.seeds = seeds

    def seeds(self) -> tuple[str, ...]:
        """Returns the IPs of the processes that the settings name."""
        return self._discovery.seeds

    def on_disk_health(self, is_healthy: bool) -> None:
        """Records that the disk refuses writes, or accepts them again after a rewrite of the whole state."""
        self.acceptor.is_disk_failed = not is_healthy

    def submit(self, command: Command, now: float) -> None:
        """Takes an operator's command, which is answered with one `Reply`."""
        if self.primary is None:
            self._effects.append(Reply(command.token, Verdict.MOVED))
        else:
            self.primary.submit(command, now)

    def leader(self) -> Member | None:
        """Returns the primary of the latest known view."""
        view = self.acceptor.latest_view
        return None if view is None else view.leader()

    def has_live_leader(self, now: float) -> bool:
        """Whether this process leads, or the primary's leader timeout has not expired."""
        return self.primary is not None or self.acceptor.has_live_leader(now)

    def live_leader(self, now: float) -> Member | None:
        """Returns the primary if it was itself heard from within the leader timeout.

        A primary whose timeout was only extended doesn't count.
        """
        has_heard = (leader := self.leader()) is not None and self.acceptor.heard_from == leader.identity
        return leader if has_heard and self.has_live_leader(now) else None

    def stop(self, now: float) -> None:
        """Starts a graceful shutdown, which hands this process's duties to others first; see `may_end`."""
        self._departure.begin(now)
        self._departure.tick(self.leader(), now)

    def may_end(self) -> bool:
        """Whether a process that is shutting down may exit, as no view depends on it any more."""
        return self.durable_state.slot() is None or (self._departure.is_released and self.primary is None)

    def resign(self, now: float) -> None:
        """Prepares for an immediate exit: names a successor if this process leads."""
        if self.primary is not None:
            self._hand_over(now)

    # ---- events

    def on_message(self, ip: str, message: Message, now: float) -> None:
        """Handles a message from another process, or from this process to itself."""
        if message.to not in (self.me.identity, ""):
            self._discovery.stale_sender = ip
            return  # Addressed to a predecessor of this process.
        if self.primary is not None and isinstance(message, PreVoteRequest | LeaveRequest):
            self._notify_displaced(ip, message.sender, self.primary.view)
        epochs = (getattr(message, "epoch", 0), getattr(message, "promised", 0))
        self.candidate.highest_epoch_seen = max(self.candidate.highest_epoch_seen, *epochs)
        promised_before = self.durable_state.promised
        if self.acceptor.handle(ip, message, now):
            if self.durable_state.promised > promised_before and self.primary is not None:
                self._end_term(now)
            if isinstance(message, InstallView | Prepare):
                self._bootstrap.is_pending = False
            return
        match message:
            case PreVoteResponse() | Promise():
                self.candidate.on_message(message, now)
            case InstallViewAck():
                self.candidate.on_message(message, now)
                self._bootstrap.on_installed(message)
            case WriteAck() if self.primary is not None:
                self.primary.on_written(message, now)
                if self.primary.took_ms > self._spec.write_timeout_ms:
                    self.candidate.timeout_backoff.hold(now)
            case HeartbeatAck() if self.primary is not None:
                self.primary.on_heartbeat_ack(message, now)
            case ViewUpdate():
                self._discovery.on_known(message)
            case JoinRequest():
                self._on_join(ip, message, now)
            case LeaveRequest():
                self._leaving_members.add(message.sender, now)
                self._release_if_unneeded(ip, message.sender, now)
            case LeaveAck():
                self._departure.on_released(message)
            case TransferLeadership():
                view = self.durable_state.view
                is_current = view is not None and message.epoch == view.epoch == self.durable_state.promised
                is_available = self.primary is None and not self.candidate.is_designated_for(message.epoch)
                if is_current and is_available and not self._departure.is_begun:
                    self._leaving_members.add(message.sender, now)
                    self._start_campaign(now, handover=True)
        self._advance_campaign(now)

    def skip_epochs_to(self, epoch: int) -> None:
        """Makes the next view's epoch exceed `epoch`, because other programs reject leaders up to that epoch.

        This happens when they followed a control group that is gone for good. Nothing is bound by it: if this
        process leads, it starts a later view in the usual way.
        """
        self.candidate.highest_epoch_seen = max(self.candidate.highest_epoch_seen, epoch)
        if self.primary is not None:
            self.primary.highest_promised = max(self.primary.highest_promised, epoch)

    def on_stall(self, stall_ms: float, now: float) -> None:
        """The process stalled for `stall_ms`, a period that its clock leaves out (`AwakeClock`)."""
        self.acceptor.detector.on_stall(stall_ms, now)
        if self.primary is not None:
            self.primary.send_heartbeat(now)  # The other members have been waiting for it.

    def tick(self, now: float) -> None:
        """Handles the passage of time; called every few tens of milliseconds."""
        # After a stall of this process, heartbeats may be waiting in its sockets.
        if now - self._ticked_at > self._spec.heartbeat_ms:
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
            # A process that is shutting down asks for no slot.
            if not self._departure.is_begun or self.durable_state.slot() is not None:
                self._discovery.tick(now)
            self._succession.tick(self.durable_state.promised, now)
            self._departure.tick(self.leader(), now)

    # ---- campaigns

    def _should_campaign(self, now: float) -> bool:
        """Whether the primary has been silent for so long that this holder should campaign."""
        is_available = self.candidate.can_campaign(now) and not self._bootstrap.is_in_progress(now)
        return is_available and self.candidate.is_leader_overdue(now, self._departure.is_begun)

    def _start_campaign(self, now: float, handover: bool = False) -> None:
        """Starts a campaign if this process is a holder of the latest view that it has accepted."""
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
        first_campaign = self._bootstrap.take_won_campaign()
        if first_campaign is not None and self.durable_state.promised == first_campaign.epoch:
            self._on_campaign_won(first_campaign, now)

    def _on_campaign_won(self, campaign: Campaign, now: float) -> None:
        assert campaign.view is not None
        view = campaign.view
        self.primary = Primary(self.durable_state, view, self._spec, self._effects.append, now)
        self.primary.write_ms *= self.candidate.timeout_backoff.factor(now)  # Decays in `_tick_as_leader`.
        commands = self._last_term.transfer_to(campaign, self.primary)
        # A view gets one heartbeat interval before it may change.
        self.candidate.next_try = now + self._spec.heartbeat_ms
        self.acceptor.confirm_in_force(view)
        self._effects.append(Lead(view, self._last_term.is_base_of(campaign)))
        for slot, member in enumerate(view.members):
            if member is not None and slot not in campaign.installed_slots:
                self._send_install(member, view)
        self.primary.send_heartbeat(now)
        for command in commands:
            self.primary.submit(command, now)

    def _send_install(self, member: Member, view: View) -> None:
        """Informs a member without data that the view is in force."""
        if view.slot_of(member.identity) not in view.holders:
            self._send(member, InstallView(self.me.identity, member.identity, view, None, True))

    # ---- duties of the primary

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
        is_own_write_overdue = primary.is_write_overdue(now) and not primary.has_synced(primary.view.primary)
        quorum_ms = (
            self._spec.quorum_timeout_ms
            / self._spec.leader_timeout_ms
            * self.acceptor.detector.timeout_ms(now)
        )
        if self.acceptor.is_disk_failed or is_own_write_overdue or now - primary.quorum_at() > quorum_ms:
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
        """Whether the view must change: a holder fails or leaves, a write hangs, or a newcomer waits."""
        return (
            primary.needs_view_change(now, self._leaving_identities())
            or self._due_change(primary, now) != NoChange()
        )

    def _leaving_identities(self) -> frozenset[str]:
        """The identities of all leaving members, including this process."""
        own = frozenset({self.me.identity}) if self._departure.is_begun else frozenset()
        return self._leaving_members.identities() | own

    def _due_change(self, primary: Primary, now: float) -> Change:
        """Returns the membership change that is due."""
        dead = primary.silent_slots(now, self._spec.dead_after_ms)
        silent = primary.silent_slots(now, self._spec.member_timeout_ms)
        leaving = sorted(primary.slots_of(self._leaving_members.identities()) - set(dead))
        present = frozenset(primary.present_slots() - set(silent))
        status = MembershipStatus(tuple(dead), tuple(leaving), tuple(silent), present)
        return self._newcomers.due_change(primary.view, status, now)

    def _step_down(self, primary: Primary, now: float) -> None:
        """As a leader that is shutting down, hands over once there is a holder that stays."""
        if not self._departure.is_settled(now):
            return
        staying = primary.staying_slots(now, self._leaving_members.identities())
        if staying & set(primary.view.holders):
            self._hand_over(now)
        elif not staying and not self._newcomers.has_waiting(primary.view):
            self._release_all(primary, now)

    def _release_all(self, primary: Primary, now: float) -> None:
        """Releases all leaving members and this process, as nobody can take over; the disks remain."""
        for identity in self._leaving_members.identities():
            slot = primary.view.slot_of(identity)
            if slot is not None:
                released = LeaveAck(self.me.identity, identity, primary.view.epoch)
                self._send(primary.view.member_at(slot), released)
        self._departure.is_released = True
        self._hand_over(now)

    def _release_if_unneeded(self, ip: str, identity: str, now: float) -> None:
        """Releases a leaving member if the view in force doesn't depend on it."""
        primary = self.primary
        if primary is None:
            return
        view = primary.view
        slot = view.slot_of(identity)
        is_unneeded = slot not in view.holders and view.extra_member() is None
        is_unneeded = is_unneeded and not self._newcomers.has_waiting(view)
        if slot is None or is_unneeded:
            self._effects.append(Send(ip, LeaveAck(self.me.identity, identity, view.epoch)))

    def _hand_over(self, now: float) -> None:
        """Ends the term and names a successor: a holder that stays, is reachable and has the latest write."""
        primary = self.primary
        assert primary is not None
        self._succession.start(primary, now, self._leaving_members.identities())
        self._end_term(now)

    def _end_term(self, now: float) -> None:
        """Ends the term; commands without a reply may or may not have been applied."""
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
        """Sends the view in force to a sender that acts as a member but is none any more."""
        if view.slot_of(identity) is None:
            self._effects.append(Send(ip, InstallView(self.me.identity, identity, view, None, True)))

    def _on_join(self, ip: str, message: JoinRequest, now: float) -> None:
        self._newcomers.add(message, now)
        self.candidate.highest_epoch_seen = max(self.candidate.highest_epoch_seen, message.promised)
        self._bootstrap.resend_install(message.member)
        if self.acceptor.latest_view is not None:
            known = ViewUpdate(
                self.me.identity, message.sender, self.acceptor.latest_view, self.durable_state.promised
            )
            self._effects.append(Send(ip, known))

    def _send(self, member: Member, message: Message) -> None:
        self._effects.append(Send(member.ip, message))
