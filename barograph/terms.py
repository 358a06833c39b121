"""What one of our terms leaves to the next, when we change the view ourselves and go on leading."""

from __future__ import annotations

from collections.abc import Callable

from barograph.campaign import Campaign
from barograph.effects import Effect, Reply, Verdict
from barograph.primary import Command, Primary


class LastTerm:
    """Our last term: its epoch, who was silent in it, and the commands that have no answer yet."""

    def __init__(self, emit: Callable[[Effect], None]) -> None:
        self._emit = emit
        self._epoch = 0
        self._heard_at: dict[int, float] = {}  # by slot
        self._commands: list[Command] = []

    def end(self, primary: Primary) -> None:
        """A term has ended; what has no answer may have been taken or not."""
        self._epoch, self._heard_at = primary.view.epoch, dict(primary.heard_at)
        self._commands += primary.pending()

    def is_base_of(self, campaign: Campaign) -> bool:
        """Whether the view that was won follows ours at once: then nobody has led between the two."""
        return campaign.base.epoch == self._epoch

    def hand_on(self, campaign: Campaign, primary: Primary) -> list[Command]:
        """Whoever has not spoken in the campaign is silent since before; and the commands to go on with."""
        since = self._heard_at if self.is_base_of(campaign) else {}
        heard = campaign.promised | campaign.installed | {campaign.replaced}
        for slot in set(range(len(primary.view.members))) - heard:
            primary.heard_at[slot] = min(since.get(slot, primary.heard_at[slot]), campaign.began)
        commands, self._commands = self._commands, []
        return commands

    def let_go(self) -> None:
        """What has waited for our next term is answered elsewhere."""
        for command in self._commands:
            self._emit(Reply(command.token, Verdict.MOVED))
        self._commands.clear()
