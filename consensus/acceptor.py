"""The acceptor role of the consensus protocol: promises, accepted views and replicated writes.

Every answer that other processes rely on is sent only after the state behind it has been synced to disk.
"""

from __future__ import annotations

from collections.abc import Callable

from consensus.codec import PromiseRecord, Record, ViewRecord, WriteRecord, snapshot_record
from consensus.effects import Effect, Persist, Send, Spec
from consensus.failure_detector import FailureDetector
from consensus.messages import (
    Heartbeat,
    HeartbeatAck,
    InstallView,
    InstallViewAck,
    Message,
    Prepare,
    PreVoteRequest,
    PreVoteResponse,
    Promise,
    ViewUpdate,
    WriteAck,
    WriteRequest,
)
from consensus.views import DurableState, View

# Share of the leader timeout after a heartbeat during which other candidates are refused.
REFUSAL_SHARE = 0.7


class Acceptor:
    """The acceptor of one control process; the only code that changes its `DurableState`."""

    def __init__(self, durable_state: DurableState, spec: Spec, emit: Callable[[Effect], None]) -> None:
        self.durable_state, self._emit = durable_state, emit
        self._leader_timeout_ms = spec.leader_timeout_ms
        self.detector = FailureDetector(spec.leader_timeout_ms, spec.heartbeat_ms)
        self.heard_at = -1e12  # When the last heartbeat of a primary arrived.
        self.heard_from = ""  # Identity of the process that sent it.
        # Identity of the last candidate promised to; a retransmitted `Prepare` gets the same answer.
        self._promised_to = ""
        self.leading_at = -1e12  # As primary: when a majority was last known to be reachable.
        # The latest view seen in any message, accepted or not.
        self.latest_view: View | None = durable_state.view
        self._in_force: View | None = None  # The latest view that is known to be in force.
        self.is_disk_failed = False  # While the disk refuses writes, nothing is promised or accepted.

    def handle(self, ip: str, message: Message, now: float) -> bool:
        """Handles a message that is addressed to an acceptor; returns False if it is of another kind."""
        match message:
            case PreVoteRequest():
                self._on_ask(ip, message, now)
            case Prepare():
                self._on_prepare(ip, message, now)
            case InstallView():
                self._on_install(ip, message, now)
            case WriteRequest():
                self._on_write(ip, message)
            case Heartbeat():
                self._on_heartbeat(ip, message, now)
            case _:
                return False
        return True

    def extend_leader_timeout(self, now: float, remaining_ms: float) -> None:
        """Postpones the leader timeout to at least `remaining_ms` milliseconds from now."""
        self.heard_at = max(self.heard_at, self._heard_at_expiring_in(now, remaining_ms))

    def has_live_leader(self, now: float) -> bool:
        """Whether the leader timeout, which starts at the last heartbeat, has not expired yet."""
        return now - self.heard_at < self.detector.timeout_ms(now)

    def _heard_at_expiring_in(self, now: float, remaining_ms: float) -> float:
        """Returns the heartbeat time that makes the leader timeout expire in `remaining_ms`."""
        return now - self.detector.timeout_ms(now) + remaining_ms

    def observe_view(self, view: View | None) -> None:
        """Records a view seen in a message if it is later than the latest one known, accepted or not."""
        if view is not None and (self.latest_view is None or view.epoch > self.latest_view.epoch):
            self.latest_view = view

    def confirm_in_force(self, view: View) -> None:
        """Records that a view is in force: its leader has said so, or this process has won its campaign."""
        self.observe_view(view)
        if self._in_force is None or view.epoch > self._in_force.epoch:
            self._in_force = view

    def is_displaced(self) -> bool:
        """Whether a later view that is in force has given this process's slot to another.

        A later view that is not known to be in force doesn't count, since its campaign may still fail.
        """
        view, later = self.durable_state.view, self._in_force
        return (
            view is not None
            and later is not None
            and later.epoch > view.epoch
            and self.durable_state.slot() is not None
            and later.slot_of(self.durable_state.identity) is None
        )

    def may_be_displaced(self) -> bool:
        """Whether a later view without this process is known; its leader can tell whether it is in force."""
        view, latest = self.durable_state.view, self.latest_view
        is_later = view is not None and latest is not None and latest.epoch > view.epoch
        return is_later and latest is not None and latest.slot_of(self.durable_state.identity) is None

    def release_slot(self) -> None:
        """Gives up the slot: this process has no vote until a view in force names it again."""
        assert self._in_force is not None
        self.durable_state.view = None
        self.durable_state.promised = max(self.durable_state.promised, self._in_force.epoch)
        self._emit(Persist(snapshot_record(self.durable_state), ()))

    def prepare_to_join(self) -> bool:
        """Promises the epoch of the latest known view if this process has no slot; returns whether it did.

        A process without a slot may be named in a later view only after it has promised to accept no older
        one.
        """
        if (
            self.latest_view is None
            or self.durable_state.slot() is not None
            or self.latest_view.epoch <= self.durable_state.promised
        ):
            return False
        self.durable_state.promised = self.latest_view.epoch
        return True

    def can_vote(self) -> bool:
        """Whether this process has a vote: it has a slot, and its disk accepts writes."""
        return self.durable_state.slot() is not None and not self.is_disk_failed

    def _on_ask(self, ip: str, message: PreVoteRequest, now: float) -> None:
        durable_state = self.durable_state
        refuse_ms = self.detector.timeout_ms(now) * REFUSAL_SHARE
        has_leader = now - self.heard_at < refuse_ms and self.heard_from != message.sender
        has_leader = has_leader or now - self.leading_at < refuse_ms
        ok = (
            self.can_vote()
            and message.epoch > durable_state.promised
            and (message.handover or not has_leader)
        )
        self._send(
            ip,
            PreVoteResponse(
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
        is_repeat = message.epoch == durable_state.promised and message.sender == self._promised_to
        ok = self.can_vote() and (message.epoch > durable_state.promised or is_repeat)
        if ok:
            durable_state.promised, self._promised_to = message.epoch, message.sender
            # The previous leader's heartbeats no longer count; the candidate gets the time that its syncs
            # need.
            self.heard_at, self.heard_from = (
                self._heard_at_expiring_in(now, self._leader_timeout_ms),
                message.sender,
            )
        reply = Promise(
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

    def _on_install(self, ip: str, message: InstallView, now: float) -> None:
        durable_state, view = self.durable_state, message.view
        slot = view.slot_of(durable_state.identity)
        known = durable_state.view
        # A process without a slot takes one only from a view in force, from the very first view, or as the
        # added member.
        added = view.extra_member()
        is_added = added is not None and added.identity == durable_state.identity
        may_take_slot = durable_state.slot() is not None or message.active or view.epoch == 1 or is_added
        # A new holder needs the document with the view, except for a view that it has already accepted.
        is_repeat = known is not None and known.epoch == view.epoch
        has_data = slot not in view.holders or message.document is not None or is_repeat
        ok = (
            view.epoch >= durable_state.promised
            and slot is not None
            and may_take_slot
            and has_data
            and not self.is_disk_failed
        )
        if message.active:
            # It names the current leader, even if this process cannot accept the view.
            self.confirm_in_force(view)
        if not ok:
            reply = InstallViewAck(
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
        # Otherwise a candidate is bringing its base view to an added member.
        if message.sender == view.leader().identity:
            self.heard_at, self.heard_from = now, message.sender
        durable_state.promised = view.epoch
        document = message.document
        if is_repeat:
            document = None  # Keep the writes accepted since the view was first installed.
        else:
            durable_state.view = view
            durable_state.document = durable_state.document if document is None else document
        reply = InstallViewAck(
            durable_state.identity,
            message.sender,
            view.epoch,
            True,
            durable_state.promised,
            durable_state.view,
        )
        self._persist(ViewRecord(durable_state.view, document), ip, reply)

    def _on_write(self, ip: str, message: WriteRequest) -> None:
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
        reply = WriteAck(
            durable_state.identity, message.sender, message.epoch, document.number, ok, durable_state.promised
        )
        if ok:
            durable_state.document = durable_state.document.with_change(document)
            self._persist(WriteRecord(document.latest_change()), ip, reply)
        else:
            self._send(ip, reply)

    def _on_heartbeat(self, ip: str, message: Heartbeat, now: float) -> None:
        durable_state = self.durable_state
        known = durable_state.view.epoch if durable_state.view is not None else 0
        ok = message.epoch >= durable_state.promised and durable_state.slot() is not None
        if ok:
            self.heard_at, self.heard_from = now, message.sender
            self.detector.on_heartbeat(f"{message.sender} {message.epoch}", now)
        self._send(
            ip,
            HeartbeatAck(
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
                ip,
                ViewUpdate(
                    durable_state.identity, message.sender, durable_state.view, durable_state.promised
                ),
            )

    def _send(self, ip: str, message: Message) -> None:
        self._emit(Send(ip, message))

    def _persist(self, record: Record, ip: str, reply: Message) -> None:
        self._emit(Persist(record, (Send(ip, reply),)))
