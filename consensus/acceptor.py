"""What others count on in every control process: promises, views, writes; synced before they count."""

from __future__ import annotations

from collections.abc import Callable

from consensus.codec import PromiseRecord, Record, ViewRecord, WriteRecord, snapshot_record
from consensus.effects import Effect, Persist, Send, Spec
from consensus.failure_detector import FailureDetector
from consensus.messages import (
    Answer,
    Ask,
    Beat,
    Heard,
    Install,
    Installed,
    Known,
    Message,
    Prepare,
    Promised,
    Write,
    Written,
)
from consensus.views import DurableState, View

REFUSAL_SHARE = (
    0.7  # of the time without a beat after which others may take over: the part in which we say no
)


class Acceptor:
    """Keeps the memory of one control process; nothing else changes it."""

    def __init__(self, durable_state: DurableState, spec: Spec, emit: Callable[[Effect], None]) -> None:
        self.durable_state, self._emit = durable_state, emit
        self._leader_timeout_ms = spec.leader_timeout_ms
        self.detector = FailureDetector(spec.leader_timeout_ms, spec.heartbeat_ms)
        self.heard_at = -1e12  # the last beat of a primary
        self.heard_from = ""  # its identity
        self._promised_to = ""  # a repeat of its question gets the same answer
        self.leading_at = -1e12  # as primary: when we last knew of a majority behind us
        self.latest_view: View | None = durable_state.view  # heard of, whether accepted or not
        self._in_force: View | None = None  # the latest that is known to be in force
        self.is_disk_failed = False  # the disk refuses: we promise nothing

    def handle(self, ip: str, message: Message, now: float) -> bool:
        """Act on a message that asks something of an acceptor; False if it is none."""
        match message:
            case Ask():
                self._on_ask(ip, message, now)
            case Prepare():
                self._on_prepare(ip, message, now)
            case Install():
                self._on_install(ip, message, now)
            case Write():
                self._on_write(ip, message)
            case Beat():
                self._on_heartbeat(ip, message, now)
            case _:
                return False
        return True

    def extend_leader_timeout(self, now: float, patience_ms: float) -> None:
        """Take nobody's silence for the end of a leader for so long, counted from now."""
        self.heard_at = max(self.heard_at, self._heard_at_expiring_in(now, patience_ms))

    def has_live_leader(self, now: float) -> bool:
        """Whether a leader was heard of a moment ago, or one is still given its time."""
        return now - self.heard_at < self.detector.timeout_ms(now)

    def _heard_at_expiring_in(self, now: float, patience_ms: float) -> float:
        """When a leader would have been heard last whose time is over after that."""
        return now - self.detector.timeout_ms(now) + patience_ms

    def observe_view(self, view: View | None) -> None:
        """Hear of a view; a later one than we know of tells where the primary is."""
        if view is not None and (self.latest_view is None or view.epoch > self.latest_view.epoch):
            self.latest_view = view

    def confirm_in_force(self, view: View) -> None:
        """A view is in force: its leader says so, or we have won it."""
        self.observe_view(view)
        if self._in_force is None or view.epoch > self._in_force.epoch:
            self._in_force = view

    def is_displaced(self) -> bool:
        """Whether a later view in force has given our slot away; one that may come to nothing has not."""
        view, later = self.durable_state.view, self._in_force
        return (
            view is not None
            and later is not None
            and later.epoch > view.epoch
            and self.durable_state.slot() is not None
            and later.slot_of(self.durable_state.identity) is None
        )

    def may_be_displaced(self) -> bool:
        """Whether we have heard of a later view without us: its leader can tell whether it is in force."""
        view, latest = self.durable_state.view, self.latest_view
        is_later = view is not None and latest is not None and latest.epoch > view.epoch
        return is_later and latest is not None and latest.slot_of(self.durable_state.identity) is None

    def release_slot(self) -> None:
        """Give our slot up: from here on we have no say until a view in force names us anew."""
        assert self._in_force is not None
        self.durable_state.view = None
        self.durable_state.promised = max(self.durable_state.promised, self._in_force.epoch)
        self._emit(Persist(snapshot_record(self.durable_state), ()))

    def prepare_to_join(self) -> bool:
        """Without a slot: accept nothing older than the latest view; only then may a later one name us."""
        if (
            self.latest_view is None
            or self.durable_state.slot() is not None
            or self.latest_view.epoch <= self.durable_state.promised
        ):
            return False
        self.durable_state.promised = self.latest_view.epoch
        return True

    def can_vote(self) -> bool:
        """Whether we have a slot: who has none has no say."""
        return self.durable_state.slot() is not None and not self.is_disk_failed

    def _on_ask(self, ip: str, message: Ask, now: float) -> None:
        durable_state = self.durable_state
        refuse_ms = self.detector.timeout_ms(now) * REFUSAL_SHARE
        led = now - self.heard_at < refuse_ms and self.heard_from != message.sender
        led = led or now - self.leading_at < refuse_ms
        ok = self.can_vote() and message.epoch > durable_state.promised and (message.handover or not led)
        self._send(
            ip,
            Answer(
                durable_state.identity,
                message.sender,
                message.epoch,
                ok,
                durable_state.promised,
                durable_state.view,
            ),
        )

    def _on_prepare(self, ip: str, message: Prepare, now: float) -> None:
        durable_state = self.durable_state
        again = message.epoch == durable_state.promised and message.sender == self._promised_to
        ok = self.can_vote() and (message.epoch > durable_state.promised or again)
        if ok:
            durable_state.promised, self._promised_to = message.epoch, message.sender
            # What was heard of a leader before is over; the candidate gets the time that syncs take.
            self.heard_at, self.heard_from = (
                self._heard_at_expiring_in(now, self._leader_timeout_ms),
                message.sender,
            )
        reply = Promised(
            durable_state.identity,
            message.sender,
            message.epoch,
            ok,
            durable_state.promised,
            durable_state.view,
        )
        if ok:
            self._persist(PromiseRecord(message.epoch), ip, reply)
        else:
            self._send(ip, reply)

    def _on_install(self, ip: str, message: Install, now: float) -> None:
        durable_state, view = self.durable_state, message.view
        slot = view.slot_of(durable_state.identity)
        known = durable_state.view
        # Who has no slot yet takes one only from a view in force, from the very first, or as one member more.
        added = view.extra_member()
        is_added = added is not None and added.identity == durable_state.identity
        invited = durable_state.slot() is not None or message.active or view.epoch == 1 or is_added
        # A holder begins to hold with the data in hand; a view in force only tells what it accepted.
        again = known is not None and known.epoch == view.epoch
        equipped = slot not in view.holders or message.document is not None or again
        ok = (
            view.epoch >= durable_state.promised
            and slot is not None
            and invited
            and equipped
            and not self.is_disk_failed
        )
        if message.active:
            self.confirm_in_force(view)  # it tells where the leader is, whether we can keep it or not
        if not ok:
            reply = Installed(
                durable_state.identity,
                message.sender,
                view.epoch,
                False,
                durable_state.promised,
                durable_state.view,
            )
            self._send(ip, reply)
            return
        self.observe_view(view)
        if message.sender == view.leader().identity:  # else a candidate brings us its base
            self.heard_at, self.heard_from = now, message.sender
        durable_state.promised = view.epoch
        document = message.document
        if again:
            document = None  # what was written since stays
        else:
            durable_state.view = view
            durable_state.document = durable_state.document if document is None else document
        reply = Installed(
            durable_state.identity,
            message.sender,
            view.epoch,
            True,
            durable_state.promised,
            durable_state.view,
        )
        self._persist(ViewRecord(durable_state.view, document), ip, reply)

    def _on_write(self, ip: str, message: Write) -> None:
        durable_state, document = self.durable_state, message.document
        view = durable_state.view
        ok = (
            view is not None
            and view.epoch == message.epoch
            and durable_state.promised <= message.epoch
            and durable_state.is_holder()
            and durable_state.document.accepts(document)
            and not self.is_disk_failed
        )
        reply = Written(
            durable_state.identity, message.sender, message.epoch, document.number, ok, durable_state.promised
        )
        if ok:
            durable_state.document = durable_state.document.with_change(document)
            self._persist(WriteRecord(document.latest_change()), ip, reply)
        else:
            self._send(ip, reply)

    def _on_heartbeat(self, ip: str, message: Beat, now: float) -> None:
        durable_state = self.durable_state
        known = durable_state.view.epoch if durable_state.view is not None else 0
        ok = message.epoch >= durable_state.promised and durable_state.slot() is not None
        if ok:
            self.heard_at, self.heard_from = now, message.sender
            self.detector.on_heartbeat(f"{message.sender} {message.epoch}", now)
        self._send(
            ip,
            Heard(
                durable_state.identity,
                message.sender,
                message.epoch,
                message.number,
                ok,
                durable_state.promised,
                known,
            ),
        )
        if message.epoch < known:
            self._send(
                ip, Known(durable_state.identity, message.sender, durable_state.view, durable_state.promised)
            )

    def _send(self, ip: str, message: Message) -> None:
        self._emit(Send(ip, message))

    def _persist(self, record: Record, ip: str, reply: Message) -> None:
        self._emit(Persist(record, (Send(ip, reply),)))
