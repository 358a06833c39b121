"""What one process is told of its fleet, and the spans that follow from the fleet's size."""

from __future__ import annotations

import math
from dataclasses import dataclass

from fleet.registry.entries import InvalidEntryError

PERIOD_MS = 400.0  # between two checks of each process: on average each is checked as often
CHECK_MS = 400.0  # the longest wait for a check's answer
INDIRECT_CHECKERS = 3  # that check whom another accuses
MIN_ACCUSERS = 2  # nobody is failed on the word of fewer
MAX_STALL_MS = 3_000.0  # a process that stands still for so long (a busy machine, a full disk) is no failure
WATCHED_VIEWS = 3  # of others' views that a process holds open
MAX_NAME_LENGTH = 90  # two of them and a sign between make an id of the list's form
SEPARATOR = ">"
MAX_MEMBERS = 5_000  # more than that in a view is no fleet of ours


@dataclass(frozen=True, slots=True)
class Settings:
    """One process among the others; spans are milliseconds.

    `suspicion_ms`: how long one that is silent stays suspected before it is failed; `refused_ms`: the same of
    one whose machine answers that nobody listens, which no loss explains but a restart does.
    """

    name: str
    fleet: str
    host_port: str
    zone: str = ""
    version: str = ""
    period_ms: float = PERIOD_MS
    check_ms: float = CHECK_MS
    suspicion_ms: float = MAX_STALL_MS
    refused_ms: float = 2 * PERIOD_MS

    def __post_init__(self) -> None:
        for field in ("name", "fleet"):
            value = getattr(self, field)
            if not 0 < len(value) <= MAX_NAME_LENGTH or SEPARATOR in value or not value.isprintable():
                raise InvalidEntryError(
                    f"{field}: allowed is 1 to {MAX_NAME_LENGTH} printable characters without {SEPARATOR!r}"
                )
        for field in ("period_ms", "check_ms", "suspicion_ms", "refused_ms"):
            if not 0 < getattr(self, field) < math.inf:
                raise InvalidEntryError(f"{field}: allowed is a finite number above 0")

    @property
    def members_list(self) -> str:
        """The list of the fleet's processes."""
        return f"members.{self.fleet}"

    @property
    def accusations_list(self) -> str:
        """The list of who accuses whom."""
        return f"doubts.{self.fleet}"


def suspicion_ms(
    size: int, loss: float = 0.05, false_per_hour: float = 0.01, period_ms: float = PERIOD_MS
) -> float:
    """How long to suspect, so that a fleet of `size` fails a live process so seldom where `loss` of all
    messages are lost.

    A check fails if question or answer is lost: q = 1 - (1 - loss)^2. Accuser and helpers check again each
    period, and one that is answered withdraws. To be failed all m checks of the accuser and those of one of
    the helpers must fail: INDIRECT_CHECKERS x q^(2m), for each of the fleet's size x 3,600,000 / period
    checks an hour.
    """
    if size < 1 or not 0 < loss < 0.5 or false_per_hour <= 0:
        raise ValueError("size, loss, false_per_hour: allowed are 1 or more, 0 to 0.5, above 0")
    check_failure = 1 - (1 - loss) ** 2
    checks = size * 3_600_000 / period_ms
    rounds = math.log(false_per_hour / (checks * INDIRECT_CHECKERS)) / (2 * math.log(check_failure))
    return max(math.ceil(rounds) * period_ms, MAX_STALL_MS)
