"""One control process as a pure machine: messages, time and commands in, effects out.

It owns all of its state; whoever hosts it hands over one event at a time and carries out effects in order.
Times are milliseconds of a steady clock.
"""

from __future__ import annotations

import random
from collections import deque

from barograph.acceptor import Acceptor
from barograph.campaign import Campaign, Stage
from barograph.effects import Effect, Lead, Reply, Send, Spec, Verdict
from barograph.joining import Founding, Inquirer, Newcomers
from barograph.messages import (
    Answer,
    Heard,
    Install,
    Installed,
    Join,
    Known,
    Leaving,
    Message,
    Prepare,
    Promised,
    Succeed,
    Written,
)
from barograph.patience import Patience
from barograph.primary import Command, Primary
from barograph.views import Member, Memory, View

LEAVING_MS = 10_000.0  # one that is told to end has ended by then


START_HEARD = 0.7  # of the time after which a silent primary is lost has gone by when a process starts


class Replica:
    """Decides who leads, what is kept where, and what operators are told."""

    def __init__(
        self, me: Member, memory: Memory, spec: Spec, seeds: tuple[str, ...], founder: bool, seed: int
    ) -> None:
        """`seeds`: the IPs of processes that may know the view. `founder`: we make the first one."""
        self.me, self.memory, self._spec = me, memory, spec
        self._random = random.Random(seed)
        self._effects: deque[Effect] = deque()
        self.acceptor = Acceptor(memory, spec.lost_ms, self._effects.append)
        self.primary: Primary | None = None
        self._campaign: Campaign | None = None
        self._newcomers = Newcomers()
        self._inquirer = Inquirer(me, self.acceptor, seeds, self._effects.append)
        self._founding = Founding(me, self.acceptor, spec, founder, self._effects.append)
        self._patience = Patience()
        self._hung_at = -1e12  # when the last write that hung was begun
        self._leaving: dict[str, float] = {}  # identity: since when
        self._next_try = 0.0
        self._joined_at, self._ticked_at = -1e12, 0.0
        self._seen = 0  # the highest epoch that anybody has named
        self._silent_since: dict[int, float] = {}  # by slot, from our last term
        self._silent_in = 0  # its epoch
        self._carried: list[Command] = []  # from one of our terms to the next, which our own campaign begins
        self.stopping = False

    # ---- the host's side

    def take(self) -> list[Effect]:
        """What is to be done now, in order."""
        found = list(self._effects)
        self._effects.clear()
        return found

    def start(self, now: float) -> None:
        """The process is up."""
        self._founding.started = self._ticked_at = now
        # With a view in hand the primary may be there; it has the time of a beat or so to be heard of.
        self.acceptor.heard_at = now - self._spec.lost_ms * START_HEARD
        self._next_try = now + self._random.uniform(0, self._spec.beat_ms)

    def follow_seeds(self, seeds: tuple[str, ...]) -> None:
        """The settings name other processes that may know the view, by IP."""
        self._inquirer.seeds = seeds

    def disk(self, well: bool) -> None:
        """The disk refuses writes, or takes them again after all of the memory has been written to it."""
        self.acceptor.sick = not well

    def submit(self, command: Command, now: float) -> None:
        """An operator's command; answered by one `Reply`."""
        if self.primary is None:
            self._effects.append(Reply(command.token, Verdict.MOVED))
        else:
            self.primary.submit(command, now)

    def leader(self) -> Member | None:
        """The primary as far as we know."""
        view = self.acceptor.latest
        return None if view is None else view.leader()

    def is_led(self, now: float) -> bool:
        """Whether a primary is there: ourselves, or one that was heard of a moment ago."""
        return self.primary is not None or now - self.acceptor.heard_at < self._spec.lost_ms

    def stop(self, now: float) -> None:
        """We are told to end: name a successor if we lead, and hold nothing any more."""
        self.stopping = True
        if self.primary is not None:
            self._succeed(now)
        elif (leader := self.leader()) is not None and leader.identity != self.me.identity:
            self._send(leader, Leaving(self.me.identity, leader.identity))

    # ---- events

    def hear(self, ip: str, message: Message, now: float) -> None:
        """A message of another process, or our own to ourselves."""
        if message.to not in (self.me.identity, ""):
            self._inquirer.caller = ip
            return  # meant for a process that was here before
        self._seen = max(self._seen, getattr(message, "epoch", 0), getattr(message, "promised", 0))
        was = self.memory.promised
        if self.acceptor.take(ip, message, now):
            if self.memory.promised > was and self.primary is not None:
                self._end_term(now)
            if isinstance(message, Install | Prepare):
                self._founding.is_ours = False
            return
        match message:
            case Answer():
                self.acceptor.learn(message.view)
                for member, prepare in self._campaign.answered(message, now) if self._campaign else ():
                    self._send(member, prepare)
            case Promised() if self._campaign is not None:
                for member, prepare in self._campaign.told(message, now):
                    self._send(member, prepare)
            case Installed():
                for campaign in (self._campaign, self._founding.campaign):
                    if campaign is not None:
                        for member, install in campaign.confirmed(message):
                            self._send(member, install)
            case Written() if self.primary is not None:
                self.primary.written(message, now)
                if self.primary.took_ms > self._spec.write_ms:
                    self._patience.keep(now)
            case Heard() if self.primary is not None:
                self.primary.heard(message, now)
            case Known():
                self.acceptor.learn(message.view)
                if self.acceptor.await_slot():
                    self._joined_at = -1e12  # ask again at once: we can be named now
            case Join():
                self._join(ip, message, now)
            case Leaving():
                self._leaving[message.sender] = now
            case Succeed():
                view = self.memory.view
                if view is not None and message.epoch == view.epoch and self.primary is None:
                    self._leaving[message.sender] = now
                    self._run(now, handover=True)
        self._advance(now)

    def tick(self, now: float) -> None:
        """Time has gone by; called every few tens of milliseconds."""
        if now - self._ticked_at > self._spec.beat_ms:  # we were frozen: beats may be waiting
            self.acceptor.heard_at = max(self.acceptor.heard_at, now - self._spec.lost_ms / 2)
        self._ticked_at = now
        self._newcomers.expire(now)
        self._leaving = {i: at for i, at in self._leaving.items() if now - at < LEAVING_MS}
        self._advance(now)
        if self.primary is not None:
            self._lead(now)
        elif self.memory.slot() is not None:
            if self._campaign is None and not self.stopping and self._is_time(now):
                self._run(now)
        elif self._founding.is_ours:
            self._founding.found(self._newcomers.members(), now)
        if self.primary is None and self.acceptor.is_displaced() and not self.acceptor.sick:
            self._campaign = None
            self.acceptor.forget()
        if self.primary is None and now - self._joined_at >= self._spec.join_ms:
            self._joined_at = now
            if self.memory.slot() is None:
                self._inquirer.ask_in()
            elif now - self.acceptor.heard_at > self._spec.dead_ms:
                self._inquirer.inquire()

    # ---- campaigns

    def _is_time(self, now: float) -> bool:
        """Whether the primary has been silent for so long that a holder is to take its place."""
        view = self.memory.view
        if view is None or not self.memory.is_holder() or now < self._next_try or self.acceptor.sick:
            return False
        if self._founding.is_under_way(now):
            return False
        slot = self.memory.slot()
        rank = view.holders.index(slot) if slot is not None else 0
        patience = self._spec.lost_ms + rank * self._spec.beat_ms / 2
        return now - self.acceptor.heard_at >= patience * self._patience.factor(now)

    def _run(self, now: float, handover: bool = False) -> None:
        """Begin a campaign, as a holder of the latest view that we have accepted."""
        view = self.memory.view
        if view is None or not self.memory.is_holder() or self.acceptor.sick or self.stopping:
            return
        epoch = max(self.memory.promised, self._seen) + 1
        replaced, newcomer = self._vacancy(self.primary, now) if self.primary is not None else (None, None)
        self._campaign = Campaign(
            self.me,
            view,
            epoch,
            self._spec.holders,
            now,
            handover or self.primary is not None,
            replaced,
            newcomer,
            frozenset(self._leaving),  # identities
        )
        self._seen = epoch
        for member, ask in self._campaign.begin(now):
            self._send(member, ask)

    def _advance(self, now: float) -> None:
        if self._campaign is not None:
            self._campaign_on(self._campaign, now)
        first = self._founding.won()
        if first is not None and self.memory.promised == first.epoch:
            self._win(first, now)

    def _campaign_on(self, campaign: Campaign, now: float) -> None:
        for member, install in campaign.install(self.memory.document, now):
            self._send(member, install)
        for member, message in campaign.resend(self.memory.document, now):
            self._send(member, message)
        factor = self._patience.factor(now)
        late = now - campaign.stage_at > self._spec.stage_ms * factor
        if campaign.stage is Stage.WON and not late:  # after a freeze others may long have led since
            self._campaign = None
            if now - campaign.stage_at > self._spec.stage_ms:
                self._patience.keep(now)
            if self.memory.promised == campaign.epoch:
                self._win(campaign, now)
        elif late or campaign.stage is Stage.LOST:
            self._campaign = None
            self._let_go()
            self._seen = max(self._seen, campaign.above)
            self.acceptor.learn(campaign.later)
            if late and campaign.stage is not Stage.ASK:
                self._patience.lose(now)
            self._next_try = now + self._random.uniform(0.3, 1.3) * self._spec.beat_ms * factor
            if campaign.later is not None or campaign.above > campaign.epoch:  # give others time
                self.acceptor.heard_at = max(self.acceptor.heard_at, now - self._spec.lost_ms / 2)

    def _win(self, campaign: Campaign, now: float) -> None:
        assert campaign.view is not None
        view = campaign.view
        carried, self._carried = self._carried, []
        self.primary = Primary(self.memory, view, self._spec, self._effects.append, now)
        self.primary.write_ms *= self._patience.factor(now)
        since = self._silent_since if campaign.base.epoch == self._silent_in else {}
        heard = campaign.promised | campaign.installed | {campaign.replaced}
        for slot in set(range(len(view.members))) - heard:  # who has not spoken is silent since before
            self.primary.heard_at[slot] = min(since.get(slot, now), campaign.began)
        self._next_try = now + self._spec.beat_ms  # a view is given the time of a beat
        self._effects.append(Lead(view))
        for slot, member in enumerate(view.members):
            if member is not None and slot not in campaign.installed:
                self._install_at(member, view)
        self.primary.beat(now)
        for command in carried:
            self.primary.submit(command, now)

    def _install_at(self, member: Member, view: View) -> None:
        """The view is in force: tell a member that holds no data."""
        if view.slot_of(member.identity) not in view.holders:
            self._send(member, Install(self.me.identity, member.identity, view, None, True))

    # ---- the primary's upkeep

    def _lead(self, now: float) -> None:
        primary = self.primary
        assert primary is not None
        self.acceptor.leading_at = primary.quorum_at()
        if primary.is_beat_due(now):
            primary.beat(now)
        for slot in primary.behind:
            self._install_at(primary.view.at(slot), primary.view)
        primary.behind.clear()
        if primary.is_hanging(now) and primary.write_at != self._hung_at:
            self._hung_at = primary.write_at
            self._patience.lose(now)
        own_hangs = primary.is_hanging(now) and not primary.has_kept(primary.view.primary)
        if self.acceptor.sick or own_hangs or now - primary.quorum_at() > self._spec.quorum_ms:
            self._succeed(now)
            return
        if self._campaign is None and now >= self._next_try and self._wants_change(primary, now):
            self._run(now)

    def _wants_change(self, primary: Primary, now: float) -> bool:
        """Whether the view has to change: a holder is lost or leaves, a write hangs, somebody waits."""
        return primary.wants_change(now, set(self._leaving)) or self._vacancy(primary, now)[0] is not None

    def _vacancy(self, primary: Primary, now: float) -> tuple[int | None, Member | None]:
        """A slot to give to a newcomer, and which."""
        return self._newcomers.vacancy(primary.view, primary.silent(now, self._spec.dead_ms))

    def _succeed(self, now: float) -> None:
        """Name the successor: a holder, one that has the latest write and was heard of a moment ago first."""
        primary = self.primary
        assert primary is not None
        heir = primary.heir(now)
        if heir is not None:
            self._send(heir, Succeed(self.me.identity, heir.identity, primary.view.epoch))
        self._end_term(now)

    def _end_term(self, now: float) -> None:
        """We lead no longer; what has no answer may have been taken or not."""
        primary, self.primary = self.primary, None
        if primary is not None:
            self._carried += primary.pending()
            self._silent_since, self._silent_in = dict(primary.heard_at), primary.view.epoch
            self._effects.append(Lead(None))
            self.acceptor.leading_at = -1e12
            self.acceptor.heard_at = max(self.acceptor.heard_at, now - self._spec.lost_ms / 2)
            if self._campaign is None or self._campaign.epoch != self.memory.promised:
                self._let_go()

    def _let_go(self) -> None:
        """What has waited for our next term is answered elsewhere."""
        for command in self._carried:
            self._effects.append(Reply(command.token, Verdict.MOVED))
        self._carried.clear()

    # ---- newcomers

    def _join(self, ip: str, message: Join, now: float) -> None:
        self._newcomers.take(message, now)
        self._seen = max(self._seen, message.promised)
        self._founding.invite(message.member)
        if self.acceptor.latest is not None:
            known = Known(self.me.identity, message.sender, self.acceptor.latest, self.memory.promised)
            self._effects.append(Send(ip, known))

    def _send(self, member: Member, message: Message) -> None:
        self._effects.append(Send(member.ip, message))
