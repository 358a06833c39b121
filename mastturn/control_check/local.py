"""One process as a value: what an event makes of it is computed once and remembered."""

from __future__ import annotations

import pickle
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, fields, is_dataclass
from typing import Any

from consensus.campaign import Stage
from consensus.codec import Record, SnapshotRecord
from consensus.effects import Committed, Lead, Persist, Reply, Send, Spec
from consensus.membership import Add, Change, NoChange, Remove, Replace
from consensus.messages import Heartbeat, HeartbeatAck, Message
from consensus.primary import Command
from consensus.replica import Replica
from consensus.views import Document, DurableState, Member, View

# Times and what rests on them alone: here nothing does, since every question is answered with a yes and every
# campaign begins when the search says so. Two processes that differ in nothing else are one.
IGNORED_FIELDS = frozenset(
    "heard_at heard_from leading_at started_at stage_at sent_at now write_at refused behind next_try "
    "_heartbeat_at _heard_at _epoch _succession started _asked_at _ticked_at _last_asked_at "
    "timeout_backoff _hung_at write_ms took_ms _resend_at _sent_at _begun_at detector".split()
)
KEYS_ONLY_FIELDS = frozenset({"_notified_at"})  # compared by their keys; the values are times
TIMEOUT_ELAPSED_MS = 700.0
SETTLE_MS = 30.0


@dataclass(frozen=True, slots=True)
class Delivery:
    """A message from an IP arrives."""

    ip: str
    message: Message


@dataclass(frozen=True, slots=True)
class Boot:
    """The process starts on what the disk holds."""

    kept: SnapshotRecord


@dataclass(frozen=True, slots=True)
class Run:
    """The process takes the leader for lost, or as leader begins a new view; `change`: which of `changes`."""

    change: int = 0


@dataclass(frozen=True, slots=True)
class Stop:
    """The process is told to stop."""


@dataclass(frozen=True, slots=True)
class Settle:
    """A little time goes by."""


@dataclass(frozen=True, slots=True)
class AskIn:
    """A process without a slot asks for one."""


@dataclass(frozen=True, slots=True)
class Submit:
    """An operator's command."""

    command: Command


Event = Delivery | Boot | Run | Stop | Settle | AskIn | Submit


@dataclass(frozen=True, slots=True)
class Outcome:
    """The process after an event, and what it asks for; `told` in order."""

    process: int
    sends: tuple[Send, ...]
    persists: tuple[tuple[Record, tuple[Send, ...]], ...]
    reported: tuple[Reply | Committed | Lead, ...]


@dataclass(frozen=True, slots=True)
class Facts:
    """What decides whether a message can still mean something to a process."""

    identity: str
    promised: int
    view: View | None  # that it has accepted
    has_slot: bool
    campaign: int  # the epoch for which it campaigns, 0 if it doesn't
    is_installing: bool  # that campaign has its promises
    leads: int  # the epoch that it leads, 0 if it doesn't
    committed: int  # the number of the last write that is done, as the leader knows
    change: Document  # the last write that it has taken
    counted: frozenset[str]  # whose answers its campaign, or its write, has counted already; identities


class MidpointRandom:
    """Chance without chance."""

    def uniform(self, least: float, most: float) -> float:
        """The middle."""
        return (least + most) / 2


@dataclass(slots=True)
class _Process:
    replica: Replica
    now: float


ReplicaFactory = Callable[[Member, DurableState, Spec, tuple[str, ...], bool, int], Replica]


class Processes:
    """Gives each distinct process a number; steps are remembered by number and event."""

    def __init__(
        self,
        spec: Spec,
        ips: tuple[str, ...],
        reads: bool,
        joins: bool,
        make: ReplicaFactory = Replica,
        reduced: bool = True,
    ) -> None:
        """Without `reads` nobody asks for proofs, and without `joins` nobody for a slot.

        What serves only them is left out of a process's state then, and refusals are lost, if `reduced`.
        """
        self.spec, self.ips, self._reads, self._joins, self._make = spec, ips, reads, joins, make
        self._reduced = reduced
        self._numbers: dict[str, int] = {}
        self._images: list[bytes] = []
        self._ips: list[str] = []
        self._leads: list[bool] = []
        self._settles: list[bool] = []
        self._facts: list[Facts] = []
        self._changes: list[tuple[Change, ...]] = []
        self._joining: list[bool] = []
        self._ending: list[bool] = []
        self._steps: dict[tuple[int, Event], Outcome] = {}

    def leads(self, process: int) -> bool:
        """Whether it is primary."""
        return self._leads[process]

    def settles(self, process: int) -> bool:
        """Whether it waits for a little time to go by."""
        return self._settles[process]

    def facts(self, process: int) -> Facts:
        """What decides which messages can still mean something to it."""
        return self._facts[process]

    def changes(self, process: int) -> tuple[Change, ...]:
        """The changes of members that it might begin, `NoChange` first."""
        return self._changes[process]

    def may_join(self, process: int) -> bool:
        """Whether it has anything to ask of others: it has no slot, or is told to stop."""
        return self._joining[process]

    def may_end(self, process: int) -> bool:
        """Whether it was told to stop, and may."""
        return self._ending[process]

    def boot(self, index: int, kept: SnapshotRecord) -> Outcome:
        """A process starts."""
        ip = self.ips[index]
        key = (-1 - index, Boot(kept))
        found = self._steps.get(key)
        if found is None:
            durable_state = DurableState(kept.identity, kept.promised, kept.view, kept.document)
            me = Member(kept.identity, f"core-{index}", ip, 7700, f"{ip}:8166", f"zone-{index}")
            seeds = self.ips[:3]
            founder = kept.identity == "i0" and kept.promised == 0
            replica = self._make(me, durable_state, self.spec, seeds, founder, 0)
            replica.candidate.rng = MidpointRandom()  # type: ignore[assignment]
            replica.start(0.0)
            found = self._steps[key] = self._finish_step(_Process(replica, 0.0), ip)
        return found

    def step(self, process: int, event: Event) -> Outcome:
        """What an event makes of a process."""
        key = (process, event)
        found = self._steps.get(key)
        if found is None:
            one: _Process = pickle.loads(self._images[process])
            self._apply(one, event)
            found = self._steps[key] = self._finish_step(one, self._ips[process])
        return found

    def adopt(self, replica: Replica, index: int) -> Outcome:
        """A process as the caller has changed it."""
        return self._finish_step(_Process(replica, 0.0), self.ips[index])

    def replica(self, process: int) -> Replica:
        """A copy, to look at."""
        one: _Process = pickle.loads(self._images[process])
        return one.replica

    def _apply(self, one: _Process, event: Event) -> None:
        replica = one.replica
        match event:
            case Delivery(ip, message):
                replica.on_message(ip, message, one.now)
            case Run(change):
                one.now += TIMEOUT_ELAPSED_MS
                self._run(replica, _changes(replica)[change], one.now)
            case Stop():
                replica.stop(one.now)
            case Settle():
                one.now += SETTLE_MS
                replica._advance_campaign(one.now)
            case AskIn():
                if replica.acceptor.is_displaced():
                    replica.acceptor.release_slot()
                one.now += TIMEOUT_ELAPSED_MS
                if replica.durable_state.slot() is None:
                    replica._discovery.request_slot()
                elif replica._departure.is_begun:
                    replica._departure.tick(replica.leader(), one.now)
                else:
                    replica._discovery.query_members()
            case Submit(command):
                replica.submit(command, one.now)

    def _run(self, replica: Replica, change: Change, now: float) -> None:
        """As the real one; a change of members comes when the search says so, not when it is due."""
        if change == NoChange():
            replica._start_campaign(now, handover=True)
            return
        view = replica.durable_state.view
        assert view is not None
        replica.candidate.start_campaign(view, now, True, change, replica._leaving_members.identities())

    def _finish_step(self, one: _Process, ip: str) -> Outcome:
        """Carry out what comes back to the process itself, and number what it has become."""
        sends: list[Send] = []
        persists: list[tuple[Record, tuple[Send, ...]]] = []
        reported: list[Reply | Committed | Lead] = []
        local: deque[Message] = deque()
        while True:
            for effect in one.replica.take_effects():
                match effect:
                    case Send(to, message) if to == ip:
                        local.append(message)
                    case Send():
                        sends += self._relevant((effect,))
                    case Persist(record, then):
                        persists.append((record, self._relevant(then)))
                    case _:
                        reported.append(effect)
            if not local:
                break
            one.replica.on_message(ip, local.popleft(), one.now)
        if self._reduced:
            self._drop_irrelevant(one.replica)
        key = canonical(one)
        number = self._numbers.get(key)
        if number is None:
            number = self._numbers[key] = len(self._images)
            self._images.append(pickle.dumps(one))
            self._ips.append(ip)
            self._leads.append(one.replica.primary is not None)
            self._facts.append(_facts(one.replica))
            self._changes.append(_changes(one.replica))
            departure = one.replica._departure
            self._joining.append(one.replica.durable_state.slot() is None or departure.is_begun)
            self._ending.append(departure.is_begun and one.replica.may_end())
            campaign = one.replica.candidate.campaign
            self._settles.append(campaign is not None and campaign.majority_at > 0 and campaign.view is None)
        return Outcome(number, tuple(sends), tuple(persists), tuple(reported))

    def _relevant(self, sends: tuple[Send, ...]) -> tuple[Send, ...]:
        """Without refusals, which bind nobody and may be lost, and without beats where nobody reads."""
        return tuple(
            send
            for send in sends
            if (getattr(send.message, "ok", True) or not self._reduced)
            and (self._reads or not isinstance(send.message, Heartbeat | HeartbeatAck))
        )

    def _drop_irrelevant(self, replica: Replica) -> None:
        """Drop what only says that somebody refused, and hints that nobody asks for."""
        campaign = replica.candidate.campaign
        if campaign is not None:
            campaign.rejecting_slots.clear()
            campaign.later_view, campaign.highest_promised = None, 0
            if campaign.stage is not Stage.ASK:
                campaign.willing_slots.clear()
        primary = replica.primary
        if primary is not None:
            primary.highest_promised = 0
        if primary is not None and not self._reads:
            primary.heartbeat_number, primary.acked_heartbeats = 0, {}
            primary._pending_replies.clear()
        if not self._joins:
            replica.acceptor.latest_view, replica.acceptor._in_force = replica.durable_state.view, None

    def __len__(self) -> int:
        return len(self._images)


def _facts(replica: Replica) -> Facts:
    durable_state, campaign, primary = replica.durable_state, replica.candidate.campaign, replica.primary
    return Facts(
        replica.me.identity,
        durable_state.promised,
        durable_state.view,
        durable_state.slot() is not None,
        campaign.epoch if campaign is not None else 0,
        campaign is not None and campaign.view is not None,
        primary.view.epoch if primary is not None else 0,
        primary.committed.number if primary is not None else 0,
        durable_state.document.latest_change(),
        _counted(replica),
    )


def _changes(replica: Replica) -> tuple[Change, ...]:
    """All changes of members that a leader might begin, whoever is silent or leaves."""
    primary = replica.primary
    if primary is None or replica.durable_state.slot() is None:
        return (NoChange(),)
    view = primary.view
    others = [slot for slot, m in enumerate(view.members) if m is not None and slot != view.primary]
    if view.extra_member() is not None:
        return (NoChange(), *(Remove(slot, len(view.members)) for slot in others))
    found: list[Change] = [NoChange()]
    for join in replica._newcomers._requests.values():
        if view.slot_of(join.sender) is None and join.promised >= view.epoch:
            same = [slot for slot in others if view.member_at(slot).ip == join.member.ip]
            found += [Replace(slot, join.member) for slot in same] or [Add(join.member)]
    return tuple(found)


def _counted(replica: Replica) -> frozenset[str]:
    """Whose answers have been counted at the stage that a process is in."""
    campaign, primary = replica.candidate.campaign, replica.primary
    if campaign is not None and campaign.view is not None:
        return frozenset(campaign.view.member_at(slot).identity for slot in campaign.installed_slots)
    if campaign is not None:
        return frozenset(campaign.base.member_at(slot).identity for slot in campaign.promised_slots)
    if primary is not None:
        return frozenset(primary.view.member_at(slot).identity for slot in primary._synced_slots)
    return frozenset()


def canonical(value: Any) -> str:
    """The same words for the same value, whatever objects it is made of."""
    return repr(_plain(value))


def _plain(value: Any) -> Any:
    if isinstance(value, str | int | float | bytes | bool) or value is None:
        return value
    if isinstance(value, tuple | list | deque):
        return tuple(_plain(v) for v in value)
    if isinstance(value, set | frozenset):
        return tuple(sorted(map(repr, map(_plain, value))))
    if isinstance(value, dict):
        return tuple(sorted((repr(_plain(k)), _plain(v)) for k, v in value.items()))
    if is_dataclass(value) and not isinstance(value, type):
        return tuple(
            _field(f.name, getattr(value, f.name)) for f in fields(value) if f.name not in IGNORED_FIELDS
        )
    if callable(value) or isinstance(value, MidpointRandom | Spec):
        return None
    if hasattr(value, "__dict__"):
        return tuple(sorted((k, _field(k, v)) for k, v in vars(value).items() if k not in IGNORED_FIELDS))
    return repr(value)


def _field(name: str, value: Any) -> Any:
    if name in KEYS_ONLY_FIELDS:
        return tuple(sorted(value))
    return value > 0 if name == "majority_at" else _plain(value)
