"""Detects inert messages, which the search drops so that equivalent states are merged.

A message is inert for a process if its delivery can have no effect in any continuation: its request is below
a durable promise, or the campaign or term that it answers is over for good.
"""

from __future__ import annotations

from consensus.codec import SnapshotRecord
from consensus.messages import (
    InstallView,
    InstallViewAck,
    Message,
    Prepare,
    Promise,
    ViewUpdate,
    WriteAck,
    WriteRequest,
)
from mastturn.control_check.local import Facts


def is_inert(message: Message, kept: SnapshotRecord, facts: Facts, may_crash: bool, joins: bool) -> bool:
    """Returns whether a message can no longer affect the process with this disk.

    If the process may crash, only its durable state counts. A request that was already acted on counts as
    answered: the reply was sent with the sync, and would be the same again. `joins`: a process may still
    request a slot.
    """
    if message.to not in (facts.identity, ""):
        return True  # addressed to an identity that was wiped since
    promised = kept.promised if may_crash else facts.promised
    accepted = kept.view if may_crash else facts.view
    change = kept.document.latest_change() if may_crash else facts.change
    epoch_now = accepted.epoch if accepted is not None else 0
    match message:
        case Prepare(_, _, epoch):
            return promised >= epoch
        case InstallView(_, _, view, _, active):
            is_refused = promised > view.epoch and not (active and joins)
            return accepted == view or epoch_now > view.epoch or is_refused
        case WriteRequest(_, _, epoch, document):
            is_taken = change.number > document.number or change == document.latest_change()
            return promised > epoch or epoch_now > epoch or (epoch_now == epoch and is_taken)
        case Promise(sender, _, epoch):
            is_over = facts.campaign != epoch and promised >= epoch
            return is_over or (facts.campaign == epoch and (facts.is_installing or sender in facts.counted))
        case InstallViewAck(sender, _, epoch):
            is_over = facts.campaign != epoch and promised >= epoch
            return is_over or (facts.campaign == epoch and facts.is_installing and sender in facts.counted)
        case WriteAck(sender, _, epoch, write):
            is_done = facts.leads == epoch and write <= facts.committed
            is_over = facts.leads != epoch and facts.campaign != epoch and promised >= epoch
            is_counted = facts.leads == epoch and not facts.campaign and sender in facts.counted
            return is_done or is_over or (is_counted and write == facts.committed + 1)
        case ViewUpdate(_, _, view):
            return view is None or facts.has_slot or promised >= view.epoch
    return False
