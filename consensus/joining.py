"""How processes join a group: view discovery, requests for a slot, and the group's first view."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from operator import itemgetter

from consensus.acceptor import Acceptor
from consensus.campaign import Campaign, Stage, initial_view
from consensus.codec import PromiseRecord
from consensus.effects import Effect, Persist, Send, Spec
from consensus.membership import Add, Change, NoChange, Remove, Replace
from consensus.messages import InstallView, InstallViewAck, JoinRequest, PreVoteRequest, ViewUpdate
from consensus.spread import Spread
from consensus.views import Member, View

REQUEST_EXPIRY_MS = 1_000.0  # A newcomer that has not asked for this long is dropped.
FRESH_REQUEST_MS = 400.0  # A newcomer that asked within this time is present; it asks every 250 ms.


@dataclass(frozen=True, slots=True)
class MembershipStatus:
    """The condition of a view's members, by slot; each list starts with the member to replace first."""

    dead: tuple[int, ...] = ()  # Silent for so long that their slots may be given away.
    leaving: tuple[int, ...] = ()  # Shutting down, but present.
    silent: tuple[int, ...] = ()  # Silent for less time.
    present: frozenset[int] = frozenset()  # Have answered in this view, and are not silent.


class Newcomers:
    """The processes that have recently asked for a slot."""

    def __init__(self, spread: Spread) -> None:
        self._spread = spread
        self._requests: dict[str, JoinRequest] = {}  # By identity.
        self._last_asked_at: dict[str, float] = {}  # When each last asked.

    def add(self, join: JoinRequest, now: float) -> None:
        """Records a request; it replaces earlier requests from the same machine, whose process has ended."""
        member = join.member
        for identity, other in list(self._requests.items()):
            if other.member.node == member.node or other.member.ip == member.ip:
                del self._requests[identity]
        self._requests[join.sender], self._last_asked_at[join.sender] = join, now

    def expire(self, now: float) -> None:
        """Drops newcomers that have stopped asking."""
        self._last_asked_at = {i: at for i, at in self._last_asked_at.items() if now - at < REQUEST_EXPIRY_MS}
        self._requests = {i: j for i, j in self._requests.items() if i in self._last_asked_at}

    def members(self) -> list[Member]:
        """Returns all newcomers."""
        return [join.member for join in self._requests.values()]

    def has_waiting(self, view: View) -> bool:
        """Whether a newcomer without a slot in this view is waiting."""
        return any(view.slot_of(identity) is None for identity in self._requests)

    def due_change(self, view: View, status: MembershipStatus, now: float) -> Change:
        """Returns the membership change that is due in a view.

        Only a newcomer that is present and has synced a promise of this view may be named, because it then
        accepts no older view that also names it.
        """
        if view.extra_member() is not None:
            return _removal(view, status, self._spread)
        changes = [self._change_for(newcomer, view, status) for newcomer in self._eligible(view, now)]
        due = [(excess_after, change) for excess_after, change in changes if change != NoChange()]
        return min(due, key=itemgetter(0))[1] if due else NoChange()

    def _eligible(self, view: View, now: float) -> list[Member]:
        """The newcomers that may be named: present, and promised to accept no older view."""
        return [
            join.member
            for join in self._requests.values()
            if view.slot_of(join.sender) is None
            and join.promised >= view.epoch
            and now - self._last_asked_at[join.sender] <= FRESH_REQUEST_MS
        ]

    def _change_for(self, newcomer: Member, view: View, status: MembershipStatus) -> tuple[int, Change]:
        """Returns the change that admits a newcomer, and the spread's excess after it."""
        same_place = [
            slot for slot, m in enumerate(view.members) if m is not None and _runs_in_place_of(m, newcomer)
        ]
        empty = [slot for slot, member in enumerate(view.members) if member is None]
        free = [slot for slot in (*same_place, *empty) if slot != view.primary]
        if free:
            replacement = Replace(free[0], newcomer)
            return self._spread.excess(replacement.members(view)), replacement
        addition = Add(newcomer)
        departing = [slot for slot in (*status.dead, *status.leaving) if slot != view.primary]
        if departing:
            return self._excess_without(addition, departing[0], view), addition
        others = set(range(len(view.members))) - {view.primary}
        if not others <= status.present:
            return 0, NoChange()  # No member is exchanged while another may have failed.
        excess_after = min((self._excess_without(addition, slot, view) for slot in others), default=0)
        return excess_after, addition if excess_after < self._spread.excess(view.members) else NoChange()

    def _excess_without(self, add: Add, slot: int, view: View) -> int:
        """The excess after a newcomer has been added and a member removed."""
        wider = replace(view, members=add.members(view))
        return self._spread.excess(Remove(slot, len(wider.members)).members(wider))


def _runs_in_place_of(member: Member, newcomer: Member) -> bool:
    """Whether a newcomer runs on the machine or at the address of a member, which is then gone for good."""
    return member.node == newcomer.node or member.ip == newcomer.ip


def _removal(view: View, status: MembershipStatus, spread: Spread) -> Change:
    """Returns the removal that is due in a view with one member more than usual.

    Members that leave or are silent are removed first. Otherwise the member whose removal costs the spread
    least goes; among equals, the one added last. The last member may stay only if it has accepted the view,
    so that it votes. Nobody is removed while a member may have failed but has not been silent for long
    enough, or while too few others are present to agree.
    """
    size = len(view.members)
    last = size - 1
    others = set(range(size)) - {view.primary}
    departing = [slot for slot in (*status.dead, *status.leaving, *status.silent) if slot in others]
    if last in departing:
        departing = [last]
    elif not departing and others <= status.present:
        departing = [min(others, key=lambda slot: _cost_of_removal(slot, view, spread))]
    available = status.present | {view.primary}
    for slot in departing:
        if len(available - {slot}) >= view.majority and (slot == last or last in available):
            return Remove(slot, size)
    return NoChange()


def _cost_of_removal(slot: int, view: View, spread: Spread) -> tuple[int, bool, int]:
    """The sort key of a removal while all are present: the spread without the member, then its age."""
    size = len(view.members)
    return spread.excess(Remove(slot, size).members(view)), slot != size - 1, slot


class ViewDiscovery:
    """Finds the current view: to request a slot without one, or to learn of later views with one."""

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
        self.seeds = seeds
        self.stale_sender = ""  # IP of the last process that addressed our predecessor at this address.

    def tick(self, now: float) -> None:
        """Asks again when due; called while this process doesn't lead."""
        if now - self._asked_at < self._spec.join_interval_ms:
            return
        self._asked_at = now
        if self._acceptor.durable_state.slot() is None:
            self.request_slot()
        elif self._acceptor.may_be_displaced() or now - self._acceptor.heard_at > self._spec.dead_after_ms:
            self.query_members()

    def on_known(self, message: ViewUpdate) -> None:
        """Handles a view reported by another process."""
        self._acceptor.observe_view(message.view)
        if self._acceptor.prepare_to_join():
            self._asked_at = -1e12  # Ask again at once, since we may now be named.

    def request_slot(self) -> None:
        """Asks for a slot; a promise is synced before it is sent."""
        promised = self._acceptor.durable_state.promised
        join = JoinRequest(self._me.identity, "", self._me, promised)
        sends = tuple(Send(ip, join) for ip in self._known_ips())
        if promised:
            self._emit(Persist(PromiseRecord(promised), sends))
        else:
            for send in sends:
                self._emit(send)

    def query_members(self) -> None:
        """Asks for the latest view; used when we have a slot but hear from no primary."""
        for ip in self._known_ips():
            self._emit(Send(ip, PreVoteRequest(self._me.identity, "", 0, False)))

    def _known_ips(self) -> list[str]:
        latest = self._acceptor.latest_view
        known = {m.ip for m in latest.members if m is not None} if latest is not None else set()
        return sorted((known | set(self.seeds) | {self.stale_sender}) - {self._me.ip, ""})


class Bootstrap:
    """Creates the first view of a new group; done once, by the designated process only."""

    def __init__(
        self,
        me: Member,
        acceptor: Acceptor,
        spec: Spec,
        is_bootstrap_node: bool,
        emit: Callable[[Effect], None],
    ) -> None:
        durable_state = acceptor.durable_state
        self._me, self._acceptor, self._spec, self._emit = me, acceptor, spec, emit
        self.is_pending = is_bootstrap_node and durable_state.view is None and durable_state.promised == 0
        self.started = 0.0
        self.campaign: Campaign | None = None

    def is_in_progress(self, now: float) -> bool:
        """Whether answers to the first view are outstanding; retransmits unanswered messages."""
        if self.campaign is None:
            return False
        durable_state = self._acceptor.durable_state
        if durable_state.promised > 1 or now - self.campaign.started_at > self._spec.bootstrap_timeout_ms:
            self.campaign = None  # Another process leads, or the attempt failed.
            return False
        for member, message in self.campaign.resend(durable_state.document, now):
            self._emit(Send(member.ip, message))
        return True

    def on_installed(self, message: InstallViewAck) -> None:
        """Handles an acceptance or refusal of the first view."""
        for member, install in self.campaign.on_installed(message) if self.campaign is not None else ():
            self._emit(Send(member.ip, install))

    def take_won_campaign(self) -> Campaign | None:
        """Returns the campaign once it has been won, and clears it."""
        if self.campaign is None or self.campaign.stage is not Stage.WON:
            return None
        campaign, self.campaign = self.campaign, None
        return campaign

    def try_start(self, others: list[Member], now: float) -> None:
        """Starts the first view once all members have arrived and are spread as required.

        After a time limit it starts with fewer members, or with a worse spread.
        """
        spec = self._spec
        others.sort(key=lambda m: m.ip)
        members = spec.spread.choose(self._me, others, spec.slots)
        is_complete = len(members) == spec.slots and not spec.spread.excess(members)
        is_overdue = now - self.started > spec.bootstrap_timeout_ms and len(members) >= spec.holders
        if (
            self._acceptor.latest_view is not None
            or self.campaign is not None
            or not (is_complete or is_overdue)
        ):
            return
        view = initial_view(members, spec.slots, spec.holders)
        self.campaign = Campaign(self._me, view, 1, self._spec.holders, now)
        self.campaign.view, self.campaign.stage, self.campaign.stage_at = view, Stage.INSTALL, now
        for member in view.members:
            if member is not None:
                self._send_install(member, view)

    def resend_install(self, member: Member) -> None:
        """Sends the first view again to a member that asks for a slot, as it may have missed the view."""
        view = self._acceptor.durable_state.view
        if view is None or view.epoch != 1 or view.leader() != self._me:
            return
        if view.slot_of(member.identity) is not None and member != self._me:
            self._send_install(member, view)

    def _send_install(self, member: Member, view: View) -> None:
        holds = view.slot_of(member.identity) in view.holders
        document = self._acceptor.durable_state.document if holds else None
        install = InstallView(self._me.identity, member.identity, view, document, False)
        self._emit(Send(member.ip, install))
