"""What others count on in every control process: promises, views, writes; synced before they count."""

from __future__ import annotations

from collections.abc import Callable

from consensus.codec import PromiseRecord, Record, ViewRecord, WriteRecord, whole
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
from consensus.views import Memory, View

LISTENS = 0.7  # of the time without a beat after which others may take over: the part in which we say no


class Acceptor:
    """Keeps the memory of one control process; nothing else changes it."""

    def __init__(self, memory: Memory, spec: Spec, emit: Callable[[Effect], None]) -> None:
        self.memory, self._emit = memory, emit
        self._lost_ms = spec.lost_ms
        self.detector = FailureDetector(spec.lost_ms, spec.beat_ms)
        self.heard_at = -1e12  # the last beat of a primary
        self.heard_from = ""  # its identity
        self._promised_to = ""  # a repeat of its question gets the same answer
        self.leading_at = -1e12  # as primary: when we last knew of a majority behind us
        self.latest: View | None = memory.view  # heard of, whether accepted or not
        self._in_force: View | None = None  # the latest that is known to be in force
        self.sick = False  # the disk refuses: we promise nothing

    def take(self, ip: str, message: Message, now: float) -> bool:
        """Act on a message that asks something of an acceptor; False if it is none."""
        match message:
            case Ask():
                self._asked(ip, message, now)
            case Prepare():
                self._prepare(ip, message, now)
            case Install():
                self._install(ip, message, now)
            case Write():
                self._write(ip, message)
            case Beat():
                self._beat(ip, message, now)
            case _:
                return False
        return True

    def grant(self, now: float, patience_ms: float) -> None:
        """Take nobody's silence for the end of a leader for so long, counted from now."""
        self.heard_at = max(self.heard_at, self._granted(now, patience_ms))

    def is_led(self, now: float) -> bool:
        """Whether a leader was heard of a moment ago, or one is still given its time."""
        return now - self.heard_at < self.detector.timeout_ms(now)

    def _granted(self, now: float, patience_ms: float) -> float:
        """When a leader would have been heard last whose time is over after that."""
        return now - self.detector.timeout_ms(now) + patience_ms

    def learn(self, view: View | None) -> None:
        """Hear of a view; a later one than we know of tells where the primary is."""
        if view is not None and (self.latest is None or view.epoch > self.latest.epoch):
            self.latest = view

    def confirm(self, view: View) -> None:
        """A view is in force: its leader says so, or we have won it."""
        self.learn(view)
        if self._in_force is None or view.epoch > self._in_force.epoch:
            self._in_force = view

    def is_displaced(self) -> bool:
        """Whether a later view in force has given our slot away; one that may come to nothing has not."""
        view, later = self.memory.view, self._in_force
        return (
            view is not None
            and later is not None
            and later.epoch > view.epoch
            and self.memory.slot() is not None
            and later.slot_of(self.memory.identity) is None
        )

    def may_be_displaced(self) -> bool:
        """Whether we have heard of a later view without us: its leader can tell whether it is in force."""
        view, latest = self.memory.view, self.latest
        is_later = view is not None and latest is not None and latest.epoch > view.epoch
        return is_later and latest is not None and latest.slot_of(self.memory.identity) is None

    def forget(self) -> None:
        """Give our slot up: from here on we have no say until a view in force names us anew."""
        assert self._in_force is not None
        self.memory.view = None
        self.memory.promised = max(self.memory.promised, self._in_force.epoch)
        self._emit(Persist(whole(self.memory), ()))

    def await_slot(self) -> bool:
        """Without a slot: accept nothing older than the latest view; only then may a later one name us."""
        if self.latest is None or self.memory.slot() is not None or self.latest.epoch <= self.memory.promised:
            return False
        self.memory.promised = self.latest.epoch
        return True

    def votes(self) -> bool:
        """Whether we have a slot: who has none has no say."""
        return self.memory.slot() is not None and not self.sick

    def _asked(self, ip: str, message: Ask, now: float) -> None:
        memory = self.memory
        refuse_ms = self.detector.timeout_ms(now) * LISTENS
        led = now - self.heard_at < refuse_ms and self.heard_from != message.sender
        led = led or now - self.leading_at < refuse_ms
        ok = self.votes() and message.epoch > memory.promised and (message.handover or not led)
        self._send(
            ip, Answer(memory.identity, message.sender, message.epoch, ok, memory.promised, memory.view)
        )

    def _prepare(self, ip: str, message: Prepare, now: float) -> None:
        memory = self.memory
        again = message.epoch == memory.promised and message.sender == self._promised_to
        ok = self.votes() and (message.epoch > memory.promised or again)
        if ok:
            memory.promised, self._promised_to = message.epoch, message.sender
            # What was heard of a leader before is over; the candidate gets the time that syncs take.
            self.heard_at, self.heard_from = self._granted(now, self._lost_ms), message.sender
        reply = Promised(memory.identity, message.sender, message.epoch, ok, memory.promised, memory.view)
        if ok:
            self._persist(PromiseRecord(message.epoch), ip, reply)
        else:
            self._send(ip, reply)

    def _install(self, ip: str, message: Install, now: float) -> None:
        memory, view = self.memory, message.view
        slot = view.slot_of(memory.identity)
        known = memory.view
        # Who has no slot yet takes one only from a view in force, from the very first, or as one member more.
        added = view.added()
        is_added = added is not None and added.identity == memory.identity
        invited = memory.slot() is not None or message.active or view.epoch == 1 or is_added
        # A holder begins to hold with the data in hand; a view in force only tells what it accepted.
        again = known is not None and known.epoch == view.epoch
        equipped = slot not in view.holders or message.document is not None or again
        ok = view.epoch >= memory.promised and slot is not None and invited and equipped and not self.sick
        if message.active:
            self.confirm(view)  # it tells where the leader is, whether we can keep it or not
        if not ok:
            reply = Installed(
                memory.identity, message.sender, view.epoch, False, memory.promised, memory.view
            )
            self._send(ip, reply)
            return
        self.learn(view)
        if message.sender == view.leader().identity:  # else a candidate brings us its base
            self.heard_at, self.heard_from = now, message.sender
        memory.promised = view.epoch
        document = message.document
        if again:
            document = None  # what was written since stays
        else:
            memory.view = view
            memory.document = memory.document if document is None else document
        reply = Installed(memory.identity, message.sender, view.epoch, True, memory.promised, memory.view)
        self._persist(ViewRecord(memory.view, document), ip, reply)

    def _write(self, ip: str, message: Write) -> None:
        memory, document = self.memory, message.document
        view = memory.view
        ok = (
            view is not None
            and view.epoch == message.epoch
            and memory.promised <= message.epoch
            and memory.is_holder()
            and memory.document.takes(document)
            and not self.sick
        )
        reply = Written(memory.identity, message.sender, message.epoch, document.number, ok, memory.promised)
        if ok:
            memory.document = memory.document.with_change(document)
            self._persist(WriteRecord(document.latest_change()), ip, reply)
        else:
            self._send(ip, reply)

    def _beat(self, ip: str, message: Beat, now: float) -> None:
        memory = self.memory
        known = memory.view.epoch if memory.view is not None else 0
        ok = message.epoch >= memory.promised and memory.slot() is not None
        if ok:
            self.heard_at, self.heard_from = now, message.sender
            self.detector.beat(f"{message.sender} {message.epoch}", now)
        self._send(
            ip,
            Heard(memory.identity, message.sender, message.epoch, message.number, ok, memory.promised, known),
        )
        if message.epoch < known:
            self._send(ip, Known(memory.identity, message.sender, memory.view, memory.promised))

    def _send(self, ip: str, message: Message) -> None:
        self._emit(Send(ip, message))

    def _persist(self, record: Record, ip: str, reply: Message) -> None:
        self._emit(Persist(record, (Send(ip, reply),)))
