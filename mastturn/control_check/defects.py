"""Replicas with planted defects, used only to verify that the checks catch each of them."""

from __future__ import annotations

from dataclasses import replace

from consensus.acceptor import Acceptor
from consensus.campaign import Campaign
from consensus.codec import Record
from consensus.effects import Persist, Reply, Send, Spec, Verdict
from consensus.messages import InstallView, Message, Promise, WriteAck
from consensus.primary import Command, Primary, Put
from consensus.replica import Replica
from consensus.views import ChangeStatus, DurableState, Member, View

LEASE_MS = 400.0
REMEMBERED_CHANGES = 1  # changes that the defective process remembers


class _HastyAcceptor(Acceptor):
    """Sends replies of one type before the sync that they depend on."""

    hasty: type = WriteAck

    def _persist(self, record: Record, ip: str, reply: Message) -> None:
        if isinstance(reply, self.hasty):
            self._emit(Send(ip, reply))
            self._emit(Persist(record, ()))
        else:
            super()._persist(record, ip, reply)


class _HastyPromises(_HastyAcceptor):
    hasty = Promise


class _OpenAcceptor(Acceptor):
    """Votes without any durable state."""

    def can_vote(self) -> bool:
        """Returns True unless the disk has failed."""
        return not self.is_disk_failed

    def _on_install(self, ip: str, message: InstallView, now: float) -> None:
        super()._on_install(ip, replace(message, active=True), now)


class _Replaced(Replica):
    """A replica with its acceptor or primary class replaced."""

    acceptor_kind: type[Acceptor] = Acceptor
    primary_kind: type[Primary] = Primary

    def __init__(
        self,
        me: Member,
        durable_state: DurableState,
        spec: Spec,
        seeds: tuple[str, ...],
        founder: bool,
        seed: int,
    ) -> None:
        super().__init__(me, durable_state, spec, seeds, founder, seed)
        self.acceptor.__class__ = self.acceptor_kind

    def _on_campaign_won(self, campaign: Campaign, now: float) -> None:
        super()._on_campaign_won(campaign, now)
        if self.primary is not None:
            self.primary.__class__ = self.primary_kind


class AnswersBeforeSync(_Replaced):
    """A backup acknowledges a write before it is synced."""

    acceptor_kind = _HastyAcceptor


class PromisesBeforeSync(_Replaced):
    """A promise is sent before it is synced."""

    acceptor_kind = _HastyPromises


class WipedVotes(_Replaced):
    """A process that lost its disk keeps its identity and votes."""

    acceptor_kind = _OpenAcceptor

    def __init__(
        self,
        me: Member,
        durable_state: DurableState,
        spec: Spec,
        seeds: tuple[str, ...],
        founder: bool,
        seed: int,
    ) -> None:
        durable_state.identity = me.node
        super().__init__(replace(me, identity=me.node), durable_state, spec, seeds, founder, seed)


class _TrustingPrimary(Primary):
    """Answers without proof that it is still the leader."""

    def _reply_when_proven(self, command: Command, verdict: Verdict, now: float) -> None:
        self._emit(Reply(command.token, verdict, self.committed))


class ReadsWithoutProof(_Replaced):
    """An old primary answers reads."""

    primary_kind = _TrustingPrimary


class _LeasedPrimary(Primary):
    """Answers without proof for `LEASE_MS` after contact with a majority."""

    def _reply_when_proven(self, command: Command, verdict: Verdict, now: float) -> None:
        if now - self.quorum_at() < LEASE_MS:
            self._emit(Reply(command.token, verdict, self.committed))
        else:
            super()._reply_when_proven(command, verdict, now)


class LeaseByJumpingClock(_Replaced):
    """A lease that depends on the others refusing to elect, while clocks jump."""

    primary_kind = _LeasedPrimary


class HoldersShrinkAlone(Replica):
    """A primary drops a silent holder without the consent of a majority."""

    def _needs_view_change(self, primary: Primary, now: float) -> bool:
        silent = set(primary.silent_slots(now, self._spec.member_timeout_ms))
        left = tuple(s for s in primary.view.holders if s not in silent)
        if len(left) < len(primary.view.holders):
            primary.view = replace(primary.view, holders=left)
        return super()._needs_view_change(primary, now)


class _NamedCampaign(Campaign):
    """Wins by being the named successor, without a majority."""

    __slots__ = ()

    def _is_majority(self, slots: set[int]) -> bool:
        return len(slots) >= 1 if self.handover else super()._is_majority(slots)

    def _is_accepted(self, view: View) -> bool:
        return bool(self.installed_slots) if self.handover else super()._is_accepted(view)


class SuccessorWithoutMajority(Replica):
    """A named successor leads at once, whoever else is elected."""

    def _start_campaign(self, now: float, handover: bool = False) -> None:
        named = handover and self.primary is None
        super()._start_campaign(now, handover)
        campaign = self.candidate.campaign
        if named and campaign is not None:
            campaign.__class__ = _NamedCampaign
            campaign.holder_count = 1


class _MinorityPrimary(Primary):
    """Acknowledges a write once it is on its own disk."""

    def on_written(self, message: WriteAck, now: float) -> None:
        """Counts the other holders as synced too."""
        if message.ok and message.number == self.committed.number + 1:
            self._synced_slots |= set(self.view.holders) - {self.view.primary}
        super().on_written(message, now)


class AnswersFromMinority(_Replaced):
    """A partitioned leader confirms changes."""

    primary_kind = _MinorityPrimary


class _HastyRefusals(Primary):
    """Refuses without proof that it is still the leader."""

    def _reply_when_proven(self, command: Command, verdict: Verdict, now: float) -> None:
        if verdict is Verdict.STALE:
            self._emit(Reply(command.token, verdict, self.committed))
        else:
            super()._reply_when_proven(command, verdict, now)


class RefusesWithoutProof(_Replaced):
    """A deposed leader that does not know it yet answers 412."""

    primary_kind = _HastyRefusals


class _CarelessPrimary(Primary):
    """Accepts a change based on an older version if its number is higher."""

    def submit(self, command: Command, now: float) -> None:
        """Rebases every change on the newest version."""
        if isinstance(command, Put) and command.base < self.committed.ver < command.ver:
            command = replace(command, base=self.committed.ver)
        super().submit(command, now)


class ConfirmsBothOfARace(_Replaced):
    """Two changes on top of one version are both confirmed."""

    primary_kind = _CarelessPrimary


class _ByNumberAlone(Primary):
    """Identifies a change by its number alone."""

    def submit(self, command: Command, now: float) -> None:
        """Treats a change with an accepted version number as the accepted change."""
        if isinstance(command, Put):
            digest = next((t.digest for t in self.committed.taken if t.ver == command.ver), command.digest)
            command = replace(command, digest=digest)
        super().submit(command, now)


class ConfirmsOneNumberTwice(_Replaced):
    """Two operators are both confirmed under one number."""

    primary_kind = _ByNumberAlone


class _Forgetful(Primary):
    """Remembers only the last changes and treats all others as new."""

    def submit(self, command: Command, now: float) -> None:
        """Cuts the history after `REMEMBERED_CHANGES`."""
        known = self.committed
        if (
            isinstance(command, Put)
            and known.change_status(command.ver, command.digest) is ChangeStatus.ACCEPTED
        ):
            recent = {taken.ver for taken in known.taken[-REMEMBERED_CHANGES:]}
            command = command if command.ver in recent else replace(command, digest="forgotten")
        super().submit(command, now)


class RefusesARepeat(_Replaced):
    """An accepted change is refused when it is resent after other changes."""

    primary_kind = _Forgetful


class EndsAtOnce(Replica):
    """A member that is asked to stop ends, whatever depends on it."""

    def may_end(self) -> bool:
        """Returns True at any time."""
        return True


class _KeepsOldData(Acceptor):
    """Accepts a view but keeps its old data."""

    def _on_install(self, ip: str, message: InstallView, now: float) -> None:
        if message.document is not None and message.view.leader().identity != self.durable_state.identity:
            message = replace(message, document=self.durable_state.document)
        super()._on_install(ip, message, now)


class SkipsAChange(_Replaced):
    """A holder ignores the data that comes with a view."""

    acceptor_kind = _KeepsOldData


class _BlindCampaign(Campaign):
    """Counts every promise, whatever view its sender has accepted."""

    __slots__ = ()

    def _agrees(self, sender: str, epoch: int, ok: bool, promised: int, view: View | None) -> bool:
        return super()._agrees(sender, epoch, ok, promised, None)


class LeadsWithAnOldDisk(Replica):
    """A process that was away for long continues from its outdated view."""

    def _start_campaign(self, now: float, handover: bool = False) -> None:
        super()._start_campaign(now, handover)
        campaign = self.candidate.campaign
        if campaign is not None:
            campaign.__class__ = _BlindCampaign


class _EagerPrimary(Primary):
    """Counts its own copy of a write before its sync."""

    def _send_write(self, slots: set[int]) -> None:
        super()._send_write(slots)
        self._synced_slots.add(self.view.primary)


class AnswersBeforeOwnSync(_Replaced):
    """A leader acknowledges a write that only the backup has synced."""

    primary_kind = _EagerPrimary
