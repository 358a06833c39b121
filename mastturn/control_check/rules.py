"""What must hold in every history of the control state; judged by what processes and operators have said."""

from __future__ import annotations

from dataclasses import dataclass, field

from consensus import views
from consensus.effects import Committed, Reply, Verdict
from consensus.primary import Get, Put
from consensus.views import AcceptedVersion, ChangeStatus, Document


class BrokenRuleError(Exception):
    """A history in which a rule does not hold; `rule` is its short name."""

    def __init__(self, rule: str, what: str) -> None:
        super().__init__(f"{rule}: {what}")
        self.rule = rule


@dataclass(frozen=True, slots=True)
class PendingCall:
    """An operator's call: what was known when it was first sent."""

    command: Put | Get
    floor: int  # the number of the newest document that anybody had been told of


@dataclass(slots=True)
class Rules:
    """Takes every outcome as it happens; raises BrokenRuleError on the first that may not be."""

    chain: dict[int, Document] = field(default_factory=dict)
    epochs: dict[int, int] = field(default_factory=dict)  # epoch: the newest number committed in it
    reported: int = 0  # the newest number that an operator was told of
    winners: dict[int, AcceptedVersion] = field(
        default_factory=dict
    )  # by base version: what was acknowledged
    refused: dict[AcceptedVersion, int] = field(default_factory=dict)
    taken: set[AcceptedVersion] = field(
        default_factory=set
    )  # all that was ever committed, also what is forgotten
    leaders: dict[int, str] = field(default_factory=dict)  # epoch: who led it
    acknowledged: int = 0
    reads: int = 0

    def committed(self, effect: Committed) -> None:
        """A process says that a document stays.

        Whatever an operator was told of was committed in some epoch, so all later epochs have it. A process
        that learns late that it had won an earlier epoch may begin with what was newest then: it is judged
        by the chain, and what it answers by what was known when the question was asked.
        """
        document = effect.document
        known = self.chain.setdefault(document.number, document)
        self.taken.update(document.taken[-1:])
        if known != document:
            raise BrokenRuleError("one chain", f"{_brief(known)} and {_brief(document)}")
        self._check_follows(document, self.chain.get(document.number - 1))
        self._check_follows(self.chain.get(document.number + 1), document)
        least = max((n for e, n in self.epochs.items() if e < effect.epoch), default=0)
        if document.number < least:
            what = f"epoch {effect.epoch} has {document.number}, an earlier one {least}"
            raise BrokenRuleError("no loss", what)
        self.epochs[effect.epoch] = max(self.epochs.get(effect.epoch, 0), document.number)
        for epoch, number in self.epochs.items():
            if epoch > effect.epoch and number < document.number:
                what = f"epoch {effect.epoch} commits {document.number}, epoch {epoch} has {number}"
                raise BrokenRuleError("one primary", what)
        if document.taken and document.taken[-1] in self.refused:
            raise BrokenRuleError("refused", f"{document.taken[-1]} was refused and is in force")

    def _check_follows(self, document: Document | None, before: Document | None) -> None:
        """Whether a document is the one before it with one change more."""
        if document is None or before is None:
            return
        if document.taken != (*before.taken, document.taken[-1])[-views.MAX_HISTORY :]:
            raise BrokenRuleError("one chain", f"{_brief(document)} does not follow {_brief(before)}")

    def leads(self, epoch: int, identity: str) -> None:
        """A process says that it leads an epoch."""
        if self.leaders.setdefault(epoch, identity) != identity:
            raise BrokenRuleError("one primary", f"epoch {epoch} has {self.leaders[epoch]} and {identity}")

    def ask(self, command: Put | Get) -> PendingCall:
        """An operator makes a call."""
        return PendingCall(command, self.reported)

    def replied(self, asked: PendingCall, reply: Reply) -> None:
        """An operator is told the outcome; MOVED tells nothing."""
        command, document = asked.command, reply.document
        if reply.verdict is Verdict.MOVED:
            return
        assert document is not None
        if self.chain.get(document.number) != document:
            raise BrokenRuleError("one chain", f"told {_brief(document)}, which nobody committed")
        if document.number < asked.floor:
            raise BrokenRuleError("old answer", f"{_brief(document)} after {asked.floor} was known")
        if isinstance(command, Put):
            self._put(command, reply.verdict, document)
        else:
            self.reads += 1
        self.reported = max(self.reported, document.number)

    def _put(self, put: Put, verdict: Verdict, document: Document) -> None:
        taken = AcceptedVersion(put.ver, put.digest)
        if verdict is Verdict.UNSURE:
            if document.change_status(put.ver, put.digest) is not ChangeStatus.UNKNOWN:
                raise BrokenRuleError("an answer", f"{taken} has none, though {_brief(document)} can tell")
            return
        if verdict is not Verdict.DONE:
            if taken in self.taken:
                raise BrokenRuleError("refused", f"{taken} is refused and was taken")
            self.refused[taken] = document.number
            return
        if (
            taken not in self.taken
            or document.change_status(put.ver, put.digest) is not ChangeStatus.ACCEPTED
        ):
            raise BrokenRuleError("no loss", f"{taken} is acknowledged and not in {_brief(document)}")
        if self.winners.setdefault(put.base, taken) != taken:
            raise BrokenRuleError("race", f"{taken} and {self.winners[put.base]} on version {put.base}")
        self.acknowledged += 1


def _brief(document: Document) -> str:
    return f"number {document.number} (version {document.ver}, {document.taken[-1:]})"
