"""The end of a term: naming a successor, and the state that this process's next term continues from."""

from __future__ import annotations

from collections.abc import Callable

from consensus.campaign import Campaign
from consensus.effects import Effect, Reply, Send, Verdict
from consensus.messages import TransferLeadership
from consensus.primary import Command, Primary
from consensus.views import Member

RESEND_MS = 100.0  # Delay after which a successor that nobody has heard from is named again.
ATTEMPTS_PER_SUCCESSOR = 2  # How often each of the first two successors is named.


class PreviousTerm:
    """This process's previous term: epoch, last answers of the members, and unanswered commands."""

    def __init__(self, emit: Callable[[Effect], None]) -> None:
        self._emit = emit
        self._epoch = 0
        self._heard_at: dict[int, float] = {}  # By slot.
        self._commands: list[Command] = []

    def end(self, primary: Primary) -> None:
        """Records the end of a term; commands without a reply may or may not have been applied."""
        self._epoch, self._heard_at = primary.view.epoch, dict(primary.heard_at)
        self._commands += primary.pending_commands()

    def is_base_of(self, campaign: Campaign) -> bool:
        """Whether the won view directly follows our previous one, so that no other process led in between."""
        return campaign.base.epoch == self._epoch

    def transfer_to(self, campaign: Campaign, primary: Primary) -> list[Command]:
        """Carries the silence of members over to a new term, and returns the commands to continue with.

        A member that took no part in the campaign has been silent since before it.
        """
        heard_at = self._heard_at if self.is_base_of(campaign) else {}
        responsive = {campaign.base.member_at(slot).identity for slot in campaign.promised_slots}
        responsive |= {primary.view.member_at(slot).identity for slot in campaign.installed_slots}
        for slot, member in enumerate(primary.view.members):
            before = campaign.base.slot_of(member.identity) if member is not None else None
            if before is not None and member is not None and member.identity not in responsive:
                primary.heard_at[slot] = min(
                    heard_at.get(before, primary.heard_at[slot]), campaign.started_at
                )
        commands, self._commands = self._commands, []
        return commands

    def reject_commands(self) -> None:
        """Replies `MOVED` to the commands that were kept for a next term, as another process leads."""
        for command in self._commands:
            self._emit(Reply(command.token, Verdict.MOVED))
        self._commands.clear()


class Succession:
    """Names a successor, repeatedly, since the message or its receiver may be lost."""

    def __init__(self, emit: Callable[[Effect], None]) -> None:
        self._emit = emit
        self._identity, self._epoch = "", 0  # Our identity, and the epoch of the ended term.
        self._successors: list[Member] = []  # Successors still to be named, in order.
        self._sent_at = 0.0

    def start(self, primary: Primary, now: float, leaving: frozenset[str]) -> None:
        """Names the best successor, if there is one; the next best follows if it doesn't campaign."""
        successors = [
            successor for successor in primary.successors(now, leaving) for _ in range(ATTEMPTS_PER_SUCCESSOR)
        ]
        self._successors = successors[: 2 * ATTEMPTS_PER_SUCCESSOR]
        self._identity, self._epoch = primary.durable_state.identity, primary.view.epoch
        self._send_next(now)

    def tick(self, promised: int, now: float) -> None:
        """Names a successor again if one is due and no candidate has asked for our promise since."""
        if promised > self._epoch:
            self._successors.clear()
        if now - self._sent_at >= RESEND_MS:
            self._send_next(now)

    def _send_next(self, now: float) -> None:
        if self._successors:
            successor, self._sent_at = self._successors.pop(0), now
            self._emit(
                Send(successor.ip, TransferLeadership(self._identity, successor.identity, self._epoch))
            )
