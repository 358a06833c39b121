"""The end of a term: the successor that is named, and what our own next term goes on with."""

from __future__ import annotations

from collections.abc import Callable

from barograph.campaign import Campaign
from barograph.effects import Effect, Reply, Send, Verdict
from barograph.messages import Succeed
from barograph.primary import Command, Primary
from barograph.views import Member

REPEAT_MS = 100.0  # a successor that nobody has heard of by then is named again
REPEATS = 3


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


class Succession:
    """Names the successor, and again until its view is heard of: one message alone may be lost."""

    def __init__(self, emit: Callable[[Effect], None]) -> None:
        self._emit = emit
        self._named: tuple[Member, Succeed] | None = None
        self._at, self._left = 0.0, 0

    def name(self, primary: Primary, now: float) -> None:
        """The term ends: the best heir, if there is one, is to take over."""
        heir = primary.heir(now)
        if heir is not None:
            succeed = Succeed(primary.memory.identity, heir.identity, primary.view.epoch)
            self._named, self._at, self._left = (heir, succeed), now, REPEATS
            self._emit(Send(heir.ip, succeed))

    def look(self, promised: int, now: float) -> None:
        """Name it again if it is time and nobody has asked for our promise since."""
        if self._named is None or now - self._at < REPEAT_MS:
            return
        heir, succeed = self._named
        if promised > succeed.epoch or not self._left:
            self._named = None
            return
        self._at, self._left = now, self._left - 1
        self._emit(Send(heir.ip, succeed))
