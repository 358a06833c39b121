"""The candidate role: decides when a holder replaces an unresponsive primary, and runs its campaign."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from consensus.acceptor import Acceptor
from consensus.campaign import Campaign, Stage
from consensus.effects import Effect, Send, Spec
from consensus.membership import Change
from consensus.messages import InstallViewAck, Message, PreVoteResponse, Promise
from consensus.timeout_backoff import TimeoutBackoff
from consensus.views import Member, View


class Candidate:
    """Runs at most one campaign at a time; times are milliseconds of a monotonic clock."""

    def __init__(
        self, me: Member, acceptor: Acceptor, spec: Spec, seed: int, emit: Callable[[Effect], None]
    ) -> None:
        self._me, self._acceptor, self._spec, self._emit = me, acceptor, spec, emit
        self.rng = random.Random(seed)
        self.campaign: Campaign | None = None
        self.timeout_backoff = TimeoutBackoff()
        self.next_try = 0.0
        self.highest_epoch_seen = 0  # The highest epoch seen in any message.

    def schedule_retry(
        self, now: float, min_heartbeats: float, max_heartbeats: float, factor: float = 1.0
    ) -> None:
        """Blocks campaigns for a random number of heartbeat intervals within limits, times `factor`."""
        self.next_try = (
            now + self.rng.uniform(min_heartbeats, max_heartbeats) * self._spec.heartbeat_ms * factor
        )

    def can_campaign(self, now: float) -> bool:
        """Whether this process is a holder whose disk works and whose retry delay has passed."""
        durable_state = self._acceptor.durable_state
        return durable_state.is_holder() and now >= self.next_try and not self._acceptor.is_disk_failed

    def is_leader_overdue(self, now: float, is_leaving: bool = False) -> bool:
        """Whether the primary has been silent for so long that this holder may campaign.

        Holders wait in the order of their rank in the view. A holder that `is_leaving` waits longer than all
        others.
        """
        durable_state = self._acceptor.durable_state
        slot = durable_state.slot()
        rank = (
            durable_state.view.holders.index(slot)
            if durable_state.view is not None and slot is not None
            else 0
        )
        rank += self._spec.holders if is_leaving else 0
        timeout_ms = self._acceptor.detector.timeout_ms(now) + rank * self._spec.heartbeat_ms / 2
        return now - self._acceptor.heard_at >= timeout_ms * self.timeout_backoff.factor(now)

    def is_designated_for(self, epoch: int) -> bool:
        """Whether we already campaign as the successor that the primary of this epoch named."""
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
        """Starts a campaign from an accepted view; `avoid`: identities that should not become holders."""
        self.highest_epoch_seen = epoch = (
            max(self._acceptor.durable_state.promised, self.highest_epoch_seen) + 1
        )
        holder_count = self._spec.holders
        self.campaign = Campaign(self._me, base, epoch, holder_count, now, handover, change, avoid)
        self._send(self.campaign.start(now))

    def on_message(self, message: PreVoteResponse | Promise | InstallViewAck, now: float) -> None:
        """Handles an answer to a campaign, which may be an earlier one."""
        if isinstance(message, PreVoteResponse):
            self._acceptor.observe_view(message.view)
        campaign = self.campaign
        if campaign is None:
            return
        match message:
            case PreVoteResponse():
                self._send(campaign.on_answer(message, now))
            case Promise():
                self._send(campaign.on_promised(message, now))
            case InstallViewAck():
                self._send(campaign.on_installed(message))

    def advance(self, now: float) -> Campaign | None:
        """Advances the campaign; returns it once it has ended, won or lost."""
        campaign = self.campaign
        if campaign is None:
            return None
        document = self._acceptor.durable_state.document
        self._send(campaign.start_install(document, now))
        self._send(campaign.resend(document, now))
        factor = self.timeout_backoff.factor(now)
        # A majority that arrives just before the stage times out still counts.
        progress_at = max(campaign.stage_at, campaign.majority_at)
        is_timed_out = now - progress_at > self._spec.stage_timeout_ms * factor
        if campaign.stage is Stage.WON and not is_timed_out:
            self.campaign = None
            if now - campaign.stage_at > self._spec.stage_timeout_ms:
                self.timeout_backoff.hold(now)
            return campaign
        if not is_timed_out and campaign.stage is not Stage.LOST:
            return None
        if is_timed_out and campaign.stage is not Stage.ASK:
            self.timeout_backoff.increase(now)
        # Also a campaign that was won during a long stall: others may have led since.
        campaign.stage = Stage.LOST
        self.campaign = None
        self.highest_epoch_seen = max(self.highest_epoch_seen, campaign.highest_promised)
        self._acceptor.observe_view(campaign.later_view)
        self.schedule_retry(now, 0.3, 1.3, factor)
        # Another candidate is ahead; give it time.
        if campaign.later_view is not None or campaign.highest_promised > campaign.epoch:
            self._acceptor.extend_leader_timeout(now, self._spec.leader_timeout_ms / 2)
        return campaign

    def _send(self, messages: Sequence[tuple[Member, Message]]) -> None:
        for member, message in messages:
            self._emit(Send(member.ip, message))
