"""Planted defects: the checks have to catch each of them; nothing else uses them."""

from __future__ import annotations

from dataclasses import replace

from consensus.acceptor import Acceptor
from consensus.campaign import Campaign
from consensus.codec import Record
from consensus.effects import Persist, Reply, Send, Spec, Verdict
from consensus.messages import Install, Message, Promised, Written
from consensus.primary import Command, Primary
from consensus.replica import Replica
from consensus.views import Member, Memory, View

LEASE_MS = 400.0


class _HastyAcceptor(Acceptor):
    """Sends some answers before the sync that they rest on."""

    hasty: type = Written

    def _persist(self, record: Record, ip: str, reply: Message) -> None:
        if isinstance(reply, self.hasty):
            self._emit(Send(ip, reply))
            self._emit(Persist(record, ()))
        else:
            super()._persist(record, ip, reply)


class _HastyPromises(_HastyAcceptor):
    hasty = Promised


class _OpenAcceptor(Acceptor):
    """Votes with nothing in hand."""

    def votes(self) -> bool:
        """Always."""
        return not self.sick

    def _install(self, ip: str, message: Install, now: float) -> None:
        super()._install(ip, replace(message, active=True), now)


class _Replaced(Replica):
    """A process with one part exchanged."""

    acceptor_kind: type[Acceptor] = Acceptor
    primary_kind: type[Primary] = Primary

    def __init__(
        self, me: Member, memory: Memory, spec: Spec, seeds: tuple[str, ...], founder: bool, seed: int
    ) -> None:
        super().__init__(me, memory, spec, seeds, founder, seed)
        self.acceptor.__class__ = self.acceptor_kind

    def _win(self, campaign: Campaign, now: float) -> None:
        super()._win(campaign, now)
        if self.primary is not None:
            self.primary.__class__ = self.primary_kind


class AnswersBeforeSync(_Replaced):
    """A backup says that it has kept a write before it is synced."""

    acceptor_kind = _HastyAcceptor


class PromisesBeforeSync(_Replaced):
    """A promise is sent before it is synced."""

    acceptor_kind = _HastyPromises


class WipedVotes(_Replaced):
    """A process that lost its disk is still the one it was, and votes."""

    acceptor_kind = _OpenAcceptor

    def __init__(
        self, me: Member, memory: Memory, spec: Spec, seeds: tuple[str, ...], founder: bool, seed: int
    ) -> None:
        memory.identity = me.node
        super().__init__(replace(me, identity=me.node), memory, spec, seeds, founder, seed)


class _TrustingPrimary(Primary):
    """Answers without proof that nobody has taken its place."""

    def _owe(self, command: Command, verdict: Verdict, now: float) -> None:
        self._emit(Reply(command.token, verdict, self.committed))


class ReadsWithoutProof(_Replaced):
    """An old primary answers reads."""

    primary_kind = _TrustingPrimary


class _LeasedPrimary(Primary):
    """Answers without proof for a while after a majority was heard."""

    def _owe(self, command: Command, verdict: Verdict, now: float) -> None:
        if now - self.quorum_at() < LEASE_MS:
            self._emit(Reply(command.token, verdict, self.committed))
        else:
            super()._owe(command, verdict, now)


class LeaseByJumpingClock(_Replaced):
    """A lease that rests on the others' refusal, while clocks jump."""

    primary_kind = _LeasedPrimary


class HoldersShrinkAlone(Replica):
    """A primary leaves a silent holder out without asking anybody."""

    def _wants_change(self, primary: Primary, now: float) -> bool:
        silent = set(primary.silent(now, self._spec.silent_ms))
        left = tuple(s for s in primary.view.holders if s not in silent)
        if len(left) < len(primary.view.holders):
            primary.view = replace(primary.view, holders=left)
        return super()._wants_change(primary, now)


class _NamedCampaign(Campaign):
    """Rests on the name alone."""

    __slots__ = ()

    def _is_majority(self, slots: set[int]) -> bool:
        return len(slots) >= 1 if self.handover else super()._is_majority(slots)

    def _is_accepted(self, view: View) -> bool:
        return bool(self.installed) if self.handover else super()._is_accepted(view)


class SuccessorWithoutMajority(Replica):
    """The successor that was named leads at once, whoever else is elected."""

    def _run(self, now: float, handover: bool = False) -> None:
        named = handover and self.primary is None
        super()._run(now, handover)
        campaign = self.candidate.campaign
        if named and campaign is not None:
            campaign.__class__ = _NamedCampaign
            campaign.holders_wanted = 1
