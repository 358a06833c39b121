"""Processes as numbered immutable values; the outcome of each (process, event) pair is memoized."""

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

# Attributes that hold times or depend only on them. They have no effect in a search, where every Ask is
# granted and the search starts every campaign, so processes that differ in nothing else are equal.
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
    """The delivery of a message from an IP."""

    ip: str
    message: Message


@dataclass(frozen=True, slots=True)
class Boot:
    """The start of a process from the durable state on its disk."""

    kept: SnapshotRecord


@dataclass(frozen=True, slots=True)
class Run:
    """The process suspects the leader, or starts a new view as leader; `change`: index in `changes`."""

    change: int = 0


@dataclass(frozen=True, slots=True)
class Stop:
    """A request to the process to stop."""


@dataclass(frozen=True, slots=True)
class Settle:
    """The lapse of `SETTLE_MS`, after which a campaign advances."""


@dataclass(frozen=True, slots=True)
class AskIn:
    """A process without a slot requests one."""


@dataclass(frozen=True, slots=True)
class Submit:
    """The submission of an operator's command."""

    command: Command


Event = Delivery | Boot | Run | Stop | Settle | AskIn | Submit


@dataclass(frozen=True, slots=True)
class Outcome:
    """The process after an event and its effects; `reported` holds its outputs in order."""

    process: int
    sends: tuple[Send, ...]
    persists: tuple[tuple[Record, tuple[Send, ...]], ...]
    reported: tuple[Reply | Committed | Lead, ...]


@dataclass(frozen=True, slots=True)
class Facts:
    """The facts that decide whether a message can still affect a process."""

    identity: str
    promised: int
    view: View | None  # the accepted view
    has_slot: bool
    campaign: int  # the epoch for which it campaigns, 0 if none
    is_installing: bool  # the campaign has a majority of promises
    leads: int  # the epoch that it leads, 0 if none
    committed: int  # the number of the last write committed by this leader
    change: Document  # the last accepted write
    counted: frozenset[str]  # identities whose answers the campaign or write has already counted


class MidpointRandom:
    """A deterministic stand-in for `random.Random`."""

    def uniform(self, least: float, most: float) -> float:
        """Returns the midpoint of the interval."""
        return (least + most) / 2


@dataclass(slots=True)
class _Process:
    replica: Replica
    now: float


ReplicaFactory = Callable[[Member, DurableState, Spec, tuple[str, ...], bool, int], Replica]


class Processes:
    """Numbers each distinct process and memoizes steps by number and event."""

    def __init__(
        self,
        spec: Spec,
        ips: tuple[str, ...],
        reads: bool,
        joins: bool,
        make: ReplicaFactory = Replica,
        reduced: bool = True,
    ) -> None:
        """Configures which state is relevant: `reads` need leadership proofs, `joins` slot requests.

        If `reduced`, state that serves only unused features is dropped, and refusals are lost.
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
        """Returns whether the process is primary."""
        return self._leads[process]

    def settles(self, process: int) -> bool:
        """Returns whether the process waits for a `Settle` event."""
        return self._settles[process]

    def facts(self, process: int) -> Facts:
        """Returns the facts that decide which messages can still affect the process."""
        return self._facts[process]

    def changes(self, process: int) -> tuple[Change, ...]:
        """Returns the membership changes that the process may start, `NoChange` first."""
        return self._changes[process]

    def may_join(self, process: int) -> bool:
        """Returns whether the process has no slot or was asked to stop, so that it has requests to others."""
        return self._joining[process]

    def may_end(self, process: int) -> bool:
        """Returns whether the process was asked to stop and may end now."""
        return self._ending[process]

    def boot(self, index: int, kept: SnapshotRecord) -> Outcome:
        """Returns the outcome of starting a process."""
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
        """Returns the outcome of an event for a process."""
        key = (process, event)
        found = self._steps.get(key)
        if found is None:
            one: _Process = pickle.loads(self._images[process])
            self._apply(one, event)
            found = self._steps[key] = self._finish_step(one, self._ips[process])
        return found

    def adopt(self, replica: Replica, index: int) -> Outcome:
        """Numbers a process that the caller has modified."""
        return self._finish_step(_Process(replica, 0.0), self.ips[index])

    def replica(self, process: int) -> Replica:
        """Returns a copy of the replica for inspection."""
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
        """Starts a campaign like the replica, but with the membership change chosen by the search."""
        if change == NoChange():
            replica._start_campaign(now, handover=True)
            return
        view = replica.durable_state.view
        assert view is not None
        replica.candidate.start_campaign(view, now, True, change, replica._leaving_members.identities())

    def _finish_step(self, one: _Process, ip: str) -> Outcome:
        """Delivers messages of the process to itself, and numbers the resulting process."""
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
        """Drops refusals, which bind nobody and may be lost, and heartbeats if there are no reads."""
        return tuple(
            send
            for send in sends
            if (getattr(send.message, "ok", True) or not self._reduced)
            and (self._reads or not isinstance(send.message, Heartbeat | HeartbeatAck))
        )

    def _drop_irrelevant(self, replica: Replica) -> None:
        """Clears state that only records refusals, and hints that no enabled feature uses."""
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
    """Returns all membership changes that a leader may start, whoever is silent or leaves."""
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
    """Returns the identities whose answers are counted in the current stage."""
    campaign, primary = replica.candidate.campaign, replica.primary
    if campaign is not None and campaign.view is not None:
        return frozenset(campaign.view.member_at(slot).identity for slot in campaign.installed_slots)
    if campaign is not None:
        return frozenset(campaign.base.member_at(slot).identity for slot in campaign.promised_slots)
    if primary is not None:
        return frozenset(primary.view.member_at(slot).identity for slot in primary._synced_slots)
    return frozenset()


def canonical(value: Any) -> str:
    """Returns a string that is equal for equal values, independent of object identity."""
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
