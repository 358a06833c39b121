"""Settings of a process in its fleet, and the suspicion timeout for a fleet's size."""

from __future__ import annotations

import math
from dataclasses import dataclass

from fleet.registry.entries import InvalidEntryError

PERIOD_MS = 400.0  # interval between health checks of a process; each is checked once per period on average
CHECK_MS = 400.0  # timeout of a health check
INDIRECT_CHECKERS = 3  # processes that also check an accused one
MIN_ACCUSERS = 2  # accusers needed to mark a process failed
MAX_STALL_MS = 3_000.0  # a stall of this length (busy machine, full disk) is not a failure
WATCHED_VIEWS = 3  # peers whose views a process watches
MAX_NAME_LENGTH = 90  # two names and the separator fit into an entry's id
SEPARATOR = ">"
MAX_MEMBERS = 5_000  # a larger view is not plausible


@dataclass(frozen=True, slots=True)
class Settings:
    """Identity and timing of one process; durations in milliseconds.

    `suspicion_ms` is how long a silent process stays suspected before it is marked failed; `refused_ms` is
    the same if its machine refuses connections, which a restart explains but packet loss doesn't.
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
        """The name of the list of the fleet's processes."""
        return f"members.{self.fleet}"

    @property
    def accusations_list(self) -> str:
        """The name of the list of accusations."""
        return f"doubts.{self.fleet}"


def suspicion_ms(
    size: int, loss: float = 0.05, false_per_hour: float = 0.01, period_ms: float = PERIOD_MS
) -> float:
    """Returns the suspicion timeout that limits false failures in a fleet of `size` to `false_per_hour`.

    `loss` is the fraction of messages that are lost. A check fails if its request or its answer is lost:
    q = 1 - (1 - loss)^2. The accuser and the indirect checkers repeat it each period, and one that gets an
    answer withdraws. A live process is marked failed if all m checks of the accuser and all m of one indirect
    checker fail: INDIRECT_CHECKERS x q^(2m), for each of the size x 3,600,000 / period checks per hour.
    """
    if size < 1 or not 0 < loss < 0.5 or false_per_hour <= 0:
        raise ValueError("size, loss, false_per_hour: allowed are 1 or more, 0 to 0.5, above 0")
    check_failure = 1 - (1 - loss) ** 2
    checks = size * 3_600_000 / period_ms
    rounds = math.log(false_per_hour / (checks * INDIRECT_CHECKERS)) / (2 * math.log(check_failure))
    return max(math.ceil(rounds) * period_ms, MAX_STALL_MS)
