"""When a holder takes the primary for lost, and the campaign that it runs then."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from consensus.acceptor import Acceptor
from consensus.campaign import Campaign, Stage
from consensus.effects import Effect, Send, Spec
from consensus.membership import Change
from consensus.messages import Answer, Installed, Message, Promised
from consensus.patience import TimeoutBackoff
from consensus.views import Member, View


class Candidate:
    """One campaign at a time; milliseconds of the steady clock."""

    def __init__(
        self, me: Member, acceptor: Acceptor, spec: Spec, seed: int, emit: Callable[[Effect], None]
    ) -> None:
        self._me, self._acceptor, self._spec, self._emit = me, acceptor, spec, emit
        self.rng = random.Random(seed)
        self.campaign: Campaign | None = None
        self.timeout_backoff = TimeoutBackoff()
        self.next_try = 0.0
        self.highest_epoch_seen = 0  # the highest epoch that anybody has named

    def schedule_retry(self, now: float, least: float, most: float, factor: float = 1.0) -> None:
        """Try nothing for that many beats, drawn between the two, times the factor."""
        self.next_try = now + self.rng.uniform(least, most) * self._spec.heartbeat_ms * factor

    def can_campaign(self, now: float) -> bool:
        """Whether a holder may campaign at all just now."""
        durable_state = self._acceptor.durable_state
        return durable_state.is_holder() and now >= self.next_try and not self._acceptor.is_disk_failed

    def is_leader_overdue(self, now: float, leaves: bool = False) -> bool:
        """Whether the primary has been silent for so long that we, as a holder, are to take its place.

        One that `leaves` comes after all other holders.
        """
        durable_state = self._acceptor.durable_state
        slot = durable_state.slot()
        rank = (
            durable_state.view.holders.index(slot)
            if durable_state.view is not None and slot is not None
            else 0
        )
        rank += self._spec.holders if leaves else 0
        patience = self._acceptor.detector.timeout_ms(now) + rank * self._spec.heartbeat_ms / 2
        return now - self._acceptor.heard_at >= patience * self.timeout_backoff.factor(now)

    def is_designated_for(self, epoch: int) -> bool:
        """Whether we campaign already as the successor that the primary of this epoch has named."""
        campaign = self.campaign
        return campaign is not None and campaign.handover and campaign.base.epoch == epoch

    def start_campaign(
        self,
        base: View,
        now: float,
        handover: bool,
        change: Change,
        avoid: frozenset[str],
    ) -> None:
        """Begin a campaign from a view that we hold; `avoid`: identities that are not to hold data."""
        self.highest_epoch_seen = epoch = (
            max(self._acceptor.durable_state.promised, self.highest_epoch_seen) + 1
        )
        wanted = self._spec.holders
        self.campaign = Campaign(self._me, base, epoch, wanted, now, handover, change, avoid)
        self._send(self.campaign.start(now))

    def on_message(self, message: Answer | Promised | Installed, now: float) -> None:
        """An answer to a campaign, perhaps not to this one."""
        if isinstance(message, Answer):
            self._acceptor.observe_view(message.view)
        campaign = self.campaign
        if campaign is None:
            return
        match message:
            case Answer():
                self._send(campaign.on_answer(message, now))
            case Promised():
                self._send(campaign.on_promised(message, now))
            case Installed():
                self._send(campaign.on_installed(message))

    def advance(self, now: float) -> Campaign | None:
        """Go on with the campaign; it is given back once it has ended, won or lost."""
        campaign = self.campaign
        if campaign is None:
            return None
        document = self._acceptor.durable_state.document
        self._send(campaign.start_install(document, now))
        self._send(campaign.resend(document, now))
        factor = self.timeout_backoff.factor(now)
        since = max(campaign.stage_at, campaign.majority_at)  # a majority that comes late is not thrown away
        late = now - since > self._spec.stage_timeout_ms * factor
        if campaign.stage is Stage.WON and not late:
            self.campaign = None
            if now - campaign.stage_at > self._spec.stage_timeout_ms:
                self.timeout_backoff.hold(now)
            return campaign
        if not late and campaign.stage is not Stage.LOST:
            return None
        if late and campaign.stage is not Stage.ASK:
            self.timeout_backoff.increase(now)
        campaign.stage = Stage.LOST  # after a freeze others may long have led since
        self.campaign = None
        self.highest_epoch_seen = max(self.highest_epoch_seen, campaign.highest_promised)
        self._acceptor.observe_view(campaign.later_view)
        self.schedule_retry(now, 0.3, 1.3, factor)
        if campaign.later_view is not None or campaign.highest_promised > campaign.epoch:  # give others time
            self._acceptor.extend_leader_timeout(now, self._spec.leader_timeout_ms / 2)
        return campaign

    def _send(self, messages: Sequence[tuple[Member, Message]]) -> None:
        for member, message in messages:
            self._emit(Send(member.ip, message))
