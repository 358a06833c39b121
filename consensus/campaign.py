"""One election campaign for a new view, in three stages: ask, prepare and install.

The safety argument is in docs/control.md; `membership.py` says who votes when members change. The campaigner
syncs its own promise before it asks others for theirs, so a campaigner whose disk hangs doesn't interrupt the
current leader. The holders accept the view before any witness does, so whenever a witness knows of a view,
some process with the data can continue from it.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from consensus.membership import Change, NoChange
from consensus.messages import InstallView, InstallViewAck, Prepare, PreVoteRequest, PreVoteResponse, Promise
from consensus.views import Document, Member, View


class Stage(enum.Enum):
    """The stage of a campaign."""

    ASK = "ask"
    PREPARE = "prepare"
    INSTALL = "install"
    WON = "won"
    LOST = "lost"


RESEND_MS = 100.0  # Initial retransmission delay; it doubles with each attempt.
PROMISE_GRACE_MS = 25.0  # How long to wait for promises beyond a majority, for a wider choice of holders.


@dataclass(slots=True)
class Campaign:
    """The state of one campaign; the replica passes it the answers and sends the messages that it returns."""

    me: Member
    base: View
    epoch: int
    holder_count: int
    started_at: float
    handover: bool = False
    change: Change = field(default_factory=NoChange)
    avoided: frozenset[str] = frozenset()  # Identities that should not become holders.
    stage: Stage = Stage.ASK
    stage_at: float = 0.0
    sent_at: float = 0.0
    majority_at: float = 0.0
    willing_slots: set[int] = field(default_factory=set)
    promised_slots: set[int] = field(default_factory=set)
    # Slots of the new view; the other sets hold slots of the base.
    installed_slots: set[int] = field(default_factory=set)
    rejecting_slots: set[int] = field(default_factory=set)  # Slots that refuse this campaign.
    view: View | None = None
    later_view: View | None = None  # A later view reported by a voter; it ends the campaign.
    highest_promised: int = 0  # The highest epoch that any voter has promised.

    def start(self, now: float) -> list[tuple[Member, PreVoteRequest | InstallView]]:
        """Returns the initial question to every voter.

        The last member of an enlarged base view may not have accepted that view yet. It votes only once it
        has, so the base view is sent to it as well.
        """
        self.stage_at = now
        asks = [
            (m, PreVoteRequest(self.me.identity, m.identity, self.epoch, self.handover))
            for m in self._voters()
        ]
        added = self.base.extra_member()
        if added is None or added == self.me:
            return [*asks]
        return [(added, InstallView(self.me.identity, added.identity, self.base, None, False)), *asks]

    def on_answer(self, message: PreVoteResponse, now: float) -> list[tuple[Member, Prepare]]:
        """Handles a `PreVoteResponse`; returns our own `Prepare` once a majority is willing to promise."""
        slot = self._agreeing_slot(message.sender, message.epoch, message.ok, message.promised, message.view)
        if slot is None or self.stage is not Stage.ASK:
            return []
        self.willing_slots.add(slot)
        if not self._is_majority(self.willing_slots):
            return []
        self.stage, self.stage_at = Stage.PREPARE, now
        return [(self.me, self._prepare(self.me))]

    def on_promised(self, message: Promise, now: float) -> list[tuple[Member, Prepare]]:
        """Handles a promise or refusal; returns the other voters' `Prepare` after our own promise."""
        slot = self._agreeing_slot(message.sender, message.epoch, message.ok, message.promised, message.view)
        if slot is None or self.stage is not Stage.PREPARE:
            return []
        is_own_promise = message.sender == self.me.identity and slot not in self.promised_slots
        self.promised_slots.add(slot)
        if not self.majority_at and self._is_majority(self.promised_slots):
            self.majority_at = now
        if not is_own_promise:
            return []
        self.stage_at = now  # The other voters' syncs get a time-out of their own.
        return [(m, self._prepare(m)) for m in self._voters() if m != self.me]

    def start_install(self, document: Document, now: float) -> list[tuple[Member, InstallView]]:
        """Once enough voters have promised, returns the new view for its holders, together with the data."""
        own = self.base.slot_of(self.me.identity)
        if self.stage is not Stage.PREPARE or not self.majority_at or own not in self.promised_slots:
            return []
        has_all_promises = len(self.promised_slots) == len(self._voters())
        if not has_all_promises and now < self.majority_at + PROMISE_GRACE_MS:
            return []
        chosen = self._choose_holders(own)
        if len(chosen) < self.holder_count:
            return []
        holders = tuple(self.change.slot_after(slot) for slot in chosen)
        self.view = View(self.epoch, holders[0], holders, self.change.members(self.base))
        self.stage, self.stage_at = Stage.INSTALL, now
        return [(m, self._install(m, document)) for m in map(self.view.member_at, holders)]

    def on_installed(self, message: InstallViewAck) -> list[tuple[Member, InstallView]]:
        """Handles an acceptance or refusal; returns the view for the witnesses after the last holder."""
        agrees = self._agrees(message.sender, message.epoch, message.ok, message.promised, message.view)
        if not agrees or self.stage is not Stage.INSTALL or self.view is None:
            return []
        slot = self.view.slot_of(message.sender)
        if slot is None or slot in self.installed_slots:
            return []
        self.installed_slots.add(slot)
        if not self.installed_slots.issuperset(self.view.holders):
            return []
        if self._is_accepted(self.view):
            self.stage = Stage.WON
            return []
        return [(m, self._install(m, None)) for m in self._witnesses()]

    def resend(
        self, document: Document, now: float
    ) -> list[tuple[Member, PreVoteRequest | Prepare | InstallView]]:
        """Returns the messages that have had no answer for a while, with exponential backoff.

        Nothing is sent again while our own promise is being synced.
        """
        last_sent_at = max(self.sent_at, self.stage_at)
        if now - last_sent_at < max(RESEND_MS, last_sent_at - self.stage_at):
            return []
        self.sent_at = now
        match self.stage:
            case Stage.ASK:
                done = self.willing_slots | self.rejecting_slots
            case Stage.PREPARE if self.base.slot_of(self.me.identity) in self.promised_slots:
                done = self.promised_slots | self.rejecting_slots
            case Stage.INSTALL if self.view is not None:
                missing = [slot for slot in self.view.holders if slot not in self.installed_slots]
                return [(m, self._install(m, document)) for m in map(self.view.member_at, missing)]
            case _:
                return []
        unanswered = [m for m in self._voters() if m != self.me and self.base.slot_of(m.identity) not in done]
        if self.stage is Stage.PREPARE:
            return [(m, self._prepare(m)) for m in unanswered]
        return [
            (m, PreVoteRequest(self.me.identity, m.identity, self.epoch, self.handover)) for m in unanswered
        ]

    def _prepare(self, member: Member) -> Prepare:
        return Prepare(self.me.identity, member.identity, self.epoch)

    def _install(self, member: Member, document: Document | None) -> InstallView:
        assert self.view is not None
        return InstallView(self.me.identity, member.identity, self.view, document, False)

    def _witnesses(self) -> list[Member]:
        """The members that accept the view without the data: the voters and an added member."""
        assert self.view is not None
        added = self.change.added_member(self.base)
        members = [*self._voters(), added] if added is not None else self._voters()
        return [m for m in members if self.view.slot_of(m.identity) not in self.view.holders]

    def _choose_holders(self, own: int) -> list[int]:
        """Picks this process, then previous holders, then other voters; members of other zones first."""

        def rank(slot: int) -> tuple[bool, bool, bool, int]:
            member = self.base.member_at(slot)
            return (
                member.identity in self.avoided,
                slot not in self.base.holders,
                member.zone == self.me.zone,
                slot,
            )

        others = sorted(self.promised_slots - {own}, key=rank)
        return [own, *others[: self.holder_count - 1]]

    def _voters(self) -> list[Member]:
        return [self.base.member_at(slot) for slot in self.change.voters(self.base)]

    def _is_majority(self, slots: set[int]) -> bool:
        return len(slots) >= self.base.majority

    def _is_accepted(self, view: View) -> bool:
        """Whether majorities of the base and of the new view have accepted; at most one member is new."""
        return len(self.installed_slots) >= max(self.base.majority, view.majority)

    def _agreeing_slot(
        self, sender: str, epoch: int, ok: bool, promised: int, view: View | None
    ) -> int | None:
        """Returns the slot of a voter that supports this campaign, None for any other sender."""
        return self.base.slot_of(sender) if self._agrees(sender, epoch, ok, promised, view) else None

    def _agrees(self, sender: str, epoch: int, ok: bool, promised: int, view: View | None) -> bool:
        """Whether a sender with a vote supports this campaign; too many refusals end it."""
        if epoch != self.epoch or self.stage in (Stage.WON, Stage.LOST):
            return False
        self.highest_promised = max(self.highest_promised, promised)
        later = view if view is not None and view.epoch > self.base.epoch else None
        if later is not None and later.epoch == self.epoch:
            later = None  # Our own view.
        if later is not None and (self.later_view is None or later.epoch > self.later_view.epoch):
            self.later_view = later
        added = self.change.added_member(self.base)
        if added is not None and sender == added.identity:
            return ok and later is None
        slot = self.base.slot_of(sender)
        if slot not in self.change.voters(self.base):
            return False
        assert slot is not None
        if ok and later is None:
            self.rejecting_slots.discard(slot)
            return True
        # A voter that knows a later view doesn't count: if that view is in force, a majority is out of reach.
        self.rejecting_slots.add(slot)
        needs_higher_epoch = self.stage is Stage.ASK and promised >= self.epoch
        if needs_higher_epoch or len(self._voters()) - len(self.rejecting_slots) < self.base.majority:
            self.stage = Stage.LOST
        return False


def initial_view(members: list[Member], slots: int, holders: int) -> View:
    """Returns the first view, led by its first member; raises ValueError with too few members."""
    me = members[0]
    if len(members) < holders:
        raise ValueError("the first view has fewer members than holders")
    empty: list[Member | None] = [None] * (slots - len(members))
    apart = sorted(range(1, len(members)), key=lambda s: (members[s].zone == me.zone, s))
    return View(1, 0, (0, *apart[: holders - 1]), (*members, *empty))
