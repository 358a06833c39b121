"""The end of a term: the successor that is named, and what our own next term goes on with."""

from __future__ import annotations

from collections.abc import Callable

from consensus.campaign import Campaign
from consensus.effects import Effect, Reply, Send, Verdict
from consensus.messages import Succeed
from consensus.primary import Command, Primary
from consensus.views import Member

RESEND_MS = 100.0  # a successor that nobody has heard of by then is named again
ATTEMPTS_PER_SUCCESSOR = 2  # each of the first two heirs


class PreviousTerm:
    """Our last term: its epoch, who was silent in it, and the commands that have no answer yet."""

    def __init__(self, emit: Callable[[Effect], None]) -> None:
        self._emit = emit
        self._epoch = 0
        self._heard_at: dict[int, float] = {}  # by slot
        self._commands: list[Command] = []

    def end(self, primary: Primary) -> None:
        """A term has ended; what has no answer may have been taken or not."""
        self._epoch, self._heard_at = primary.view.epoch, dict(primary.heard_at)
        self._commands += primary.pending_commands()

    def is_base_of(self, campaign: Campaign) -> bool:
        """Whether the view that was won follows ours at once: then nobody has led between the two."""
        return campaign.base.epoch == self._epoch

    def transfer_to(self, campaign: Campaign, primary: Primary) -> list[Command]:
        """Whoever has not spoken in the campaign is silent since before; and the commands to go on with."""
        since = self._heard_at if self.is_base_of(campaign) else {}
        heard = {campaign.base.member_at(slot).identity for slot in campaign.promised_slots}
        heard |= {primary.view.member_at(slot).identity for slot in campaign.installed_slots}
        for slot, member in enumerate(primary.view.members):
            before = campaign.base.slot_of(member.identity) if member is not None else None
            if before is not None and member is not None and member.identity not in heard:
                primary.heard_at[slot] = min(since.get(before, primary.heard_at[slot]), campaign.started_at)
        commands, self._commands = self._commands, []
        return commands

    def reject_commands(self) -> None:
        """What has waited for our next term is answered elsewhere."""
        for command in self._commands:
            self._emit(Reply(command.token, Verdict.MOVED))
        self._commands.clear()


class Succession:
    """Names the successor, and again until its view is heard of: a message may be lost, or its receiver."""

    def __init__(self, emit: Callable[[Effect], None]) -> None:
        self._emit = emit
        self._identity, self._epoch = "", 0  # ours, and that of the term that has ended
        self._successors: list[Member] = []  # to be named, the next one first
        self._sent_at = 0.0

    def start(self, primary: Primary, now: float, leaving: frozenset[str]) -> None:
        """The term ends: the best heir, if there is one, is to take over; without a sign of it the next."""
        heirs = [heir for heir in primary.successors(now, leaving) for _ in range(ATTEMPTS_PER_SUCCESSOR)]
        self._successors = heirs[: 2 * ATTEMPTS_PER_SUCCESSOR]
        self._identity, self._epoch = primary.durable_state.identity, primary.view.epoch
        self._send_next(now)

    def tick(self, promised: int, now: float) -> None:
        """Name one again if it is time and nobody has asked for our promise since."""
        if promised > self._epoch:
            self._successors.clear()
        if now - self._sent_at >= RESEND_MS:
            self._send_next(now)

    def _send_next(self, now: float) -> None:
        if self._successors:
            heir, self._sent_at = self._successors.pop(0), now
            self._emit(Send(heir.ip, Succeed(self._identity, heir.identity, self._epoch)))
