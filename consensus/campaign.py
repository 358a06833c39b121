"""One attempt to begin a new view: ask, prepare, install; a majority decides and every holder has the data.

The safety argument is in docs/control.md; who is asked when members change is in `membership.py`. Our own
promise is synced before the others are asked for theirs, so a disk that hangs disturbs nobody; and the
holders accept the view before any witness does, so a view that a witness knows of is in the hands of somebody
who can go on from it.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from consensus.membership import Change, NoChange
from consensus.messages import Answer, Ask, Install, Installed, Prepare, Promised
from consensus.views import Document, Member, View


class Stage(enum.Enum):
    """How far a campaign is."""

    ASK = "ask"
    PREPARE = "prepare"
    INSTALL = "install"
    WON = "won"
    LOST = "lost"


RESEND_MS = 100.0  # what has no answer by then is sent again, and then after twice as long each time
PROMISE_GRACE_MS = (
    25.0  # more promises than a majority are waited for so long: they widen the choice of holders
)


@dataclass(slots=True)
class Campaign:
    """The state of one attempt; the machine feeds it and sends what it asks for."""

    me: Member
    base: View
    epoch: int
    holder_count: int
    started_at: float
    handover: bool = False
    change: Change = field(default_factory=NoChange)
    avoided: frozenset[str] = frozenset()  # identities that are not to hold data
    stage: Stage = Stage.ASK
    stage_at: float = 0.0
    sent_at: float = 0.0
    majority_at: float = 0.0
    willing_slots: set[int] = field(default_factory=set)
    promised_slots: set[int] = field(default_factory=set)
    installed_slots: set[int] = field(default_factory=set)  # slots of the view, the others of the base
    rejecting_slots: set[int] = field(default_factory=set)  # slots that won't count for this attempt
    view: View | None = None
    later_view: View | None = None  # one that we did not know of: it ends the campaign
    highest_promised: int = 0  # the highest epoch that somebody has promised

    def start(self, now: float) -> list[tuple[Member, Ask | Install]]:
        """Ask everybody who votes.

        The last member of a view with one more may not have accepted it yet, and votes only then.
        """
        self.stage_at = now
        asks = [(m, Ask(self.me.identity, m.identity, self.epoch, self.handover)) for m in self._voters()]
        added = self.base.extra_member()
        if added is None or added == self.me:
            return [*asks]
        return [(added, Install(self.me.identity, added.identity, self.base, None, False)), *asks]

    def on_answer(self, message: Answer, now: float) -> list[tuple[Member, Prepare]]:
        """Somebody would promise, or not."""
        slot = self._agreeing_slot(message.sender, message.epoch, message.ok, message.promised, message.view)
        if slot is None or self.stage is not Stage.ASK:
            return []
        self.willing_slots.add(slot)
        if not self._is_majority(self.willing_slots):
            return []
        self.stage, self.stage_at = Stage.PREPARE, now
        return [(self.me, self._prepare(self.me))]

    def on_promised(self, message: Promised, now: float) -> list[tuple[Member, Prepare]]:
        """Somebody has promised, or refused; once we have ourselves, the others are to."""
        slot = self._agreeing_slot(message.sender, message.epoch, message.ok, message.promised, message.view)
        if slot is None or self.stage is not Stage.PREPARE:
            return []
        own = message.sender == self.me.identity and slot not in self.promised_slots
        self.promised_slots.add(slot)
        if not self.majority_at and self._is_majority(self.promised_slots):
            self.majority_at = now
        if not own:
            return []
        self.stage_at = now  # the others' syncs have their own time
        return [(m, self._prepare(m)) for m in self._voters() if m != self.me]

    def start_install(self, document: Document, now: float) -> list[tuple[Member, Install]]:
        """Once enough have promised: the view, with the data for those who are to hold it."""
        own = self.base.slot_of(self.me.identity)
        if self.stage is not Stage.PREPARE or not self.majority_at or own not in self.promised_slots:
            return []
        everybody = len(self.promised_slots) == len(self._voters())
        if not everybody and now < self.majority_at + PROMISE_GRACE_MS:
            return []
        chosen = self._choose_holders(own)
        if len(chosen) < self.holder_count:
            return []
        holders = tuple(self.change.slot_after(slot) for slot in chosen)
        self.view = View(self.epoch, holders[0], holders, self.change.members(self.base))
        self.stage, self.stage_at = Stage.INSTALL, now
        return [(m, self._install(m, document)) for m in map(self.view.member_at, holders)]

    def on_installed(self, message: Installed) -> list[tuple[Member, Install]]:
        """Somebody has accepted the view, or refused; with all holders, the witnesses that it still takes."""
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

    def resend(self, document: Document, now: float) -> list[tuple[Member, Ask | Prepare | Install]]:
        """What has had no answer for a while, once more; nothing while the sync of our own promise lasts."""
        since = max(self.sent_at, self.stage_at)
        if now - since < max(RESEND_MS, since - self.stage_at):
            return []
        self.sent_at = now
        match self.stage:
            case Stage.ASK:
                done = self.willing_slots | self.rejecting_slots
            case Stage.PREPARE if self.base.slot_of(self.me.identity) in self.promised_slots:
                done = self.promised_slots | self.rejecting_slots
            case Stage.INSTALL if self.view is not None:
                waited = [slot for slot in self.view.holders if slot not in self.installed_slots]
                return [(m, self._install(m, document)) for m in map(self.view.member_at, waited)]
            case _:
                return []
        waiting = [m for m in self._voters() if m != self.me and self.base.slot_of(m.identity) not in done]
        if self.stage is Stage.PREPARE:
            return [(m, self._prepare(m)) for m in waiting]
        return [(m, Ask(self.me.identity, m.identity, self.epoch, self.handover)) for m in waiting]

    def _prepare(self, member: Member) -> Prepare:
        return Prepare(self.me.identity, member.identity, self.epoch)

    def _install(self, member: Member, document: Document | None) -> Install:
        assert self.view is not None
        return Install(self.me.identity, member.identity, self.view, document, False)

    def _witnesses(self) -> list[Member]:
        """Those who are to accept the view without data: voters, and one that it adds."""
        assert self.view is not None
        added = self.change.added_member(self.base)
        members = [*self._voters(), added] if added is not None else self._voters()
        return [m for m in members if self.view.slot_of(m.identity) not in self.view.holders]

    def _choose_holders(self, own: int) -> list[int]:
        """Ourselves, then whoever held the data before, then others; another zone first."""

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
        """Whether a majority of the base and of the view has accepted it; at most one of them is new."""
        return len(self.installed_slots) >= max(self.base.majority, view.majority)

    def _agreeing_slot(
        self, sender: str, epoch: int, ok: bool, promised: int, view: View | None
    ) -> int | None:
        """The slot of a voter that agrees with this attempt."""
        return self.base.slot_of(sender) if self._agrees(sender, epoch, ok, promised, view) else None

    def _agrees(self, sender: str, epoch: int, ok: bool, promised: int, view: View | None) -> bool:
        """Whether somebody with a say in it agrees with this attempt; too many who don't end it."""
        if epoch != self.epoch or self.stage in (Stage.WON, Stage.LOST):
            return False
        self.highest_promised = max(self.highest_promised, promised)
        later = view if view is not None and view.epoch > self.base.epoch else None
        if later is not None and later.epoch == self.epoch:
            later = None  # ours
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
        # Whoever knows of a later view is not counted: if that view is in force, a majority is out of reach.
        self.rejecting_slots.add(slot)
        retry = self.stage is Stage.ASK and promised >= self.epoch
        if retry or len(self._voters()) - len(self.rejecting_slots) < self.base.majority:
            self.stage = Stage.LOST
        return False


def initial_view(members: list[Member], slots: int, holders: int) -> View:
    """The first view, led by the first of its members; raises ValueError with too few to hold the data."""
    me = members[0]
    if len(members) < holders:
        raise ValueError("too few to hold the data")
    empty: list[Member | None] = [None] * (slots - len(members))
    apart = sorted(range(1, len(members)), key=lambda s: (members[s].zone == me.zone, s))
    return View(1, 0, (0, *apart[: holders - 1]), (*members, *empty))
