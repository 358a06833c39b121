"""How processes come in: whom a newcomer asks, who waits for a slot, and the first view of all."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from operator import itemgetter

from consensus.acceptor import Acceptor
from consensus.campaign import Campaign, Stage, initial_view
from consensus.codec import PromiseRecord
from consensus.effects import Effect, Persist, Send, Spec
from consensus.membership import Add, Change, NoChange, Remove, Replace
from consensus.messages import Ask, Install, Installed, Join, Known
from consensus.spread import Spread
from consensus.views import Member, View

REQUEST_EXPIRY_MS = 1_000.0  # a newcomer that has not asked for so long has gone
FRESH_REQUEST_MS = 400.0  # one that has asked within this is there: it asks every 250 ms


@dataclass(frozen=True, slots=True)
class MembershipStatus:
    """How the members of a view stand, by slot; of each list the first is to go first."""

    dead: tuple[int, ...] = ()  # silent for so long that their slots may be given away
    leaving: tuple[int, ...] = ()  # told to stop, and there
    silent: tuple[int, ...] = ()  # for a while
    present: frozenset[int] = frozenset()  # heard of in this view, and not silent


class Newcomers:
    """The processes that have asked for a slot lately."""

    def __init__(self, spread: Spread) -> None:
        self._spread = spread
        self._requests: dict[str, Join] = {}  # by identity
        self._last_asked_at: dict[str, float] = {}  # when each last asked

    def add(self, join: Join, now: float) -> None:
        """A process asks; one of before on the same machine has gone."""
        member = join.member
        for identity, other in list(self._requests.items()):
            if other.member.node == member.node or other.member.ip == member.ip:
                del self._requests[identity]
        self._requests[join.sender], self._last_asked_at[join.sender] = join, now

    def expire(self, now: float) -> None:
        """Who has stopped asking has gone."""
        self._last_asked_at = {i: at for i, at in self._last_asked_at.items() if now - at < REQUEST_EXPIRY_MS}
        self._requests = {i: j for i, j in self._requests.items() if i in self._last_asked_at}

    def members(self) -> list[Member]:
        """All that wait."""
        return [join.member for join in self._requests.values()]

    def has_waiting(self, view: View) -> bool:
        """Whether somebody asks for a slot who has none in this view."""
        return any(view.slot_of(identity) is None for identity in self._requests)

    def due_change(self, view: View, standing: MembershipStatus, now: float) -> Change:
        """The change of members that is due in a view.

        Only a newcomer that is there and has synced a promise of this view is named: it accepts no older view
        that names it as well.
        """
        if view.extra_member() is not None:
            return _removal(view, standing, self._spread)
        changes = [self._change_for(newcomer, view, standing) for newcomer in self._eligible(view, now)]
        due = [(after, change) for after, change in changes if change != NoChange()]
        return min(due, key=itemgetter(0))[1] if due else NoChange()

    def _eligible(self, view: View, now: float) -> list[Member]:
        """Those who may be named: they are there, and have promised to accept nothing older."""
        return [
            join.member
            for join in self._requests.values()
            if view.slot_of(join.sender) is None
            and join.promised >= view.epoch
            and now - self._last_asked_at[join.sender] <= FRESH_REQUEST_MS
        ]

    def _change_for(self, newcomer: Member, view: View, standing: MembershipStatus) -> tuple[int, Change]:
        """The change that brings a newcomer in, and the excess of the spread after it."""
        own = [
            slot for slot, m in enumerate(view.members) if m is not None and _runs_in_place_of(m, newcomer)
        ]
        empty = [slot for slot, member in enumerate(view.members) if member is None]
        free = [slot for slot in (*own, *empty) if slot != view.primary]
        if free:
            replacement = Replace(free[0], newcomer)
            return self._spread.excess(replacement.members(view)), replacement
        add = Add(newcomer)
        going = [slot for slot in (*standing.dead, *standing.leaving) if slot != view.primary]
        if going:
            return self._excess_without(add, going[0], view), add
        others = set(range(len(view.members))) - {view.primary}
        if not others <= standing.present:
            return 0, NoChange()  # nobody is exchanged while somebody may be lost
        after = min((self._excess_without(add, slot, view) for slot in others), default=0)
        return after, add if after < self._spread.excess(view.members) else NoChange()

    def _excess_without(self, add: Add, slot: int, view: View) -> int:
        """The excess once a newcomer is in and a member is out."""
        wider = replace(view, members=add.members(view))
        return self._spread.excess(Remove(slot, len(wider.members)).members(wider))


def _runs_in_place_of(member: Member, newcomer: Member) -> bool:
    """Whether a newcomer runs where a member ran: that one is gone for good."""
    return member.node == newcomer.node or member.ip == newcomer.ip


def _removal(view: View, standing: MembershipStatus, spread: Spread) -> Change:
    """Who goes from a view with one member more: one that leaves or is silent.

    Else it is the one that the spread misses least, and of those alike the last that came. The last one
    stays only if it has accepted the view, so that it votes. Nobody goes while somebody may be silent who has
    not been for long enough yet, or where too few of the others are there to agree.
    """
    size = len(view.members)
    last = size - 1
    others = set(range(size)) - {view.primary}
    going = [slot for slot in (*standing.dead, *standing.leaving, *standing.silent) if slot in others]
    if last in going:
        going = [last]
    elif not going and others <= standing.present:
        going = [min(others, key=lambda slot: _cost_of_removal(slot, view, spread))]
    able = standing.present | {view.primary}
    for slot in going:
        if len(able - {slot}) >= view.majority and (slot == last or last in able):
            return Remove(slot, size)
    return NoChange()


def _cost_of_removal(slot: int, view: View, spread: Spread) -> tuple[int, bool, int]:
    """What decides who goes where all are there: the spread without it, then whether it came last."""
    size = len(view.members)
    return spread.excess(Remove(slot, size).members(view)), slot != size - 1, slot


class ViewDiscovery:
    """Asks around for those who know the view: for a slot without one, for news with one."""

    def __init__(
        self,
        me: Member,
        acceptor: Acceptor,
        spec: Spec,
        seeds: tuple[str, ...],
        emit: Callable[[Effect], None],
    ) -> None:
        self._me, self._acceptor, self._spec, self._emit = me, acceptor, spec, emit
        self._asked_at = -1e12
        self.seeds = seeds  # IPs
        self.stale_sender = ""  # the IP that last spoke to a process that was here before

    def tick(self, now: float) -> None:
        """Ask again if it is time; called while we don't lead."""
        if now - self._asked_at < self._spec.join_interval_ms:
            return
        self._asked_at = now
        if self._acceptor.durable_state.slot() is None:
            self.request_slot()
        elif self._acceptor.may_be_displaced() or now - self._acceptor.heard_at > self._spec.dead_after_ms:
            self.query_members()

    def on_known(self, message: Known) -> None:
        """Somebody knows a view."""
        self._acceptor.observe_view(message.view)
        if self._acceptor.prepare_to_join():
            self._asked_at = -1e12  # ask again at once: we can be named now

    def request_slot(self) -> None:
        """Ask for a slot; our promise is synced before it is heard of."""
        promised = self._acceptor.durable_state.promised
        join = Join(self._me.identity, "", self._me, promised)
        sends = tuple(Send(ip, join) for ip in self._known_ips())
        if promised:
            self._emit(Persist(PromiseRecord(promised), sends))
        else:
            for send in sends:
                self._emit(send)

    def query_members(self) -> None:
        """We have a slot and hear of no primary: the view may have gone on without us."""
        for ip in self._known_ips():
            self._emit(Send(ip, Ask(self._me.identity, "", 0, False)))

    def _known_ips(self) -> list[str]:
        latest = self._acceptor.latest_view
        known = {m.ip for m in latest.members if m is not None} if latest is not None else set()
        return sorted((known | set(self.seeds) | {self.stale_sender}) - {self._me.ip, ""})


class Bootstrap:
    """The first view; only the founder makes it, and only once."""

    def __init__(
        self, me: Member, acceptor: Acceptor, spec: Spec, founder: bool, emit: Callable[[Effect], None]
    ) -> None:
        durable_state = acceptor.durable_state
        self._me, self._acceptor, self._spec, self._emit = me, acceptor, spec, emit
        self.is_pending = founder and durable_state.view is None and durable_state.promised == 0
        self.started = 0.0
        self.campaign: Campaign | None = None

    def is_in_progress(self, now: float) -> bool:
        """Whether the answers to the first view are still waited for; what has none is sent again."""
        if self.campaign is None:
            return False
        durable_state = self._acceptor.durable_state
        if durable_state.promised > 1 or now - self.campaign.started_at > self._spec.bootstrap_timeout_ms:
            self.campaign = None  # others lead, or it failed
            return False
        for member, message in self.campaign.resend(durable_state.document, now):
            self._emit(Send(member.ip, message))
        return True

    def on_installed(self, message: Installed) -> None:
        """Somebody has accepted the first view, or refused."""
        for member, install in self.campaign.on_installed(message) if self.campaign is not None else ():
            self._emit(Send(member.ip, install))

    def take_won_campaign(self) -> Campaign | None:
        """The campaign, once it has been won; given once."""
        if self.campaign is None or self.campaign.stage is not Stage.WON:
            return None
        campaign, self.campaign = self.campaign, None
        return campaign

    def try_start(self, others: list[Member], now: float) -> None:
        """Make the first view once all are there and well apart, or enough after a while."""
        spec = self._spec
        others.sort(key=lambda m: m.ip)
        members = spec.spread.choose(self._me, others, spec.slots)
        enough = len(members) == spec.slots and not spec.spread.excess(members)
        late = now - self.started > spec.bootstrap_timeout_ms and len(members) >= spec.holders
        if self._acceptor.latest_view is not None or self.campaign is not None or not (enough or late):
            return
        view = initial_view(members, spec.slots, spec.holders)
        self.campaign = Campaign(self._me, view, 1, self._spec.holders, now)
        self.campaign.view, self.campaign.stage, self.campaign.stage_at = view, Stage.INSTALL, now
        for member in view.members:
            if member is not None:
                self._send_install(member, view)

    def resend_install(self, member: Member) -> None:
        """Somebody asks for a slot who may have missed the first view."""
        view = self._acceptor.durable_state.view
        if view is None or view.epoch != 1 or view.leader() != self._me:
            return
        if view.slot_of(member.identity) is not None and member != self._me:
            self._send_install(member, view)

    def _send_install(self, member: Member, view: View) -> None:
        holds = view.slot_of(member.identity) in view.holders
        document = self._acceptor.durable_state.document if holds else None
        install = Install(self._me.identity, member.identity, view, document, False)
        self._emit(Send(member.ip, install))
