"""Checks the rules of a chaos run on its recorded history alone.

| rule | violation |
| --- | --- |
| `lost` | an attempt accepted by a live balancer ends without a complete answer in time |
| `answered twice` | an attempt has two outcomes |
| `duplicate` | a second copy is sent while an earlier one is in flight on an open connection |
| `once` | a request of an at-most-once class starts twice |
| `drain` | a send to an upstream that the balancer's agent listed as leaving or gone, after a grace period |
| `back` | a reader gets older data than before |
| `kept` | an acknowledged write is missing from the final list |
| `converged` | replicas, or readers' lists, still differ when the plan's bound after all faults has passed |

Exempt is what can't be guaranteed: an attempt at a balancer that was killed or stopped while it was open, and
a write acknowledged by a single replica whose old state was restored afterwards.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from mastturn.chaos.history import Row, of_kind

TIME_SLACK_S = 0.6  # beyond an attempt's deadline: the client times out half a second late
DRAIN_GRACE_S = 1.5
FAULTY_DRAIN_GRACE_S = 6.0  # grace if the agent or the balancer had a fault meanwhile (PROTOCOL, "Figures")
READER_LAG_S = 0.5  # the recorded reader may see a return this much later than the balancer
REPLICATION_S = 2.0  # replication delay while no fault is active


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule, with its time and description."""

    rule: str
    at_s: float
    description: str


@dataclass(frozen=True, slots=True)
class FaultPeriod:
    """Period of a fault on one program or link."""

    kind: str
    on: str
    begin: float
    end: float

    def overlaps(self, begin: float, end: float) -> bool:
        """Whether the period overlaps the given one."""
        return self.begin <= end and begin <= self.end


def fault_periods(rows: Iterable[Row]) -> list[FaultPeriod]:
    """Periods of all faults; one that did not heal never ends."""
    open_faults: dict[int, Row] = {}
    periods = []
    for row in of_kind(rows, "fault", "healed"):
        if row["what"] == "fault":
            open_faults[row["number"]] = row
        elif (start := open_faults.pop(row["number"], None)) is not None:
            periods += [FaultPeriod(start["kind"], name, start["t"], row["t"]) for name in start["on"]]
    for row in open_faults.values():
        periods += [FaultPeriod(row["kind"], name, row["t"], float("inf")) for name in row["on"]]
    return periods


def _has_fault(faults: list[FaultPeriod], names: tuple[str, ...], begin: float, end: float) -> bool:
    return any(
        period.overlaps(begin, end)
        and any(name == period.on or name in period.on.split(">") for name in names)
        for period in faults
    )


def check_attempts(rows: list[Row], faults: list[FaultPeriod]) -> list[Violation]:
    """Check `lost` and `answered twice`."""
    violations, ended = [], defaultdict(list)
    for row in of_kind(rows, "ended"):
        ended[row["txn"]].append(row)
    last = max(row["t"] for row in rows)
    for row in of_kind(rows, "asked"):
        ends = ended.get(row["txn"], [])
        if len(ends) > 1:
            violations.append(Violation("answered twice", ends[1]["t"], f"{row['txn']} has {len(ends)} ends"))
        end = ends[0]["t"] if ends else last
        late = end - row["t"] > row["within_s"] + TIME_SLACK_S
        is_complete = bool(ends) and ends[0]["how"] in ("served", "refused", "failed", "unreached")
        if is_complete and not late:
            continue
        balancer = row["at"]
        if any(
            period.on == balancer and period.kind in ("kill", "stop") and period.overlaps(row["t"], end)
            for period in faults
        ):
            continue
        reason = ends[0]["why"] if ends else "no end"
        violations.append(
            Violation("lost", end, f"{row['txn']} ({row['kind']}): {'late' if is_complete else reason}")
        )
    return violations


def check_duplicates(rows: list[Row], faults: list[FaultPeriod]) -> list[Violation]:
    """Check `duplicate`, as observed by the links in front of the upstreams."""
    violations: list[Violation] = []
    in_flight: dict[str, dict[tuple[str, int], float]] = defaultdict(dict)
    for row in of_kind(rows, "sent", "answered", "hung up"):
        key = (row["who"], row["connection"])
        if row["what"] == "sent":
            if others := [location for location in in_flight[row["txn"]] if location != key]:
                at = ", ".join(name for name, _ in others)
                violations.append(
                    Violation("duplicate", row["t"], f"{row['txn']} at {row['who']}, still out at {at}")
                )
            in_flight[row["txn"]][key] = row["t"]
        else:
            in_flight[row["txn"]].pop(key, None)
    return violations


def check_at_most_once(rows: list[Row], faults: list[FaultPeriod]) -> list[Violation]:
    """Check `once`: starts of at-most-once requests, as recorded by the upstreams."""
    plan = of_kind(rows, "plan")
    classes = set(plan[0]["once"]) if plan else set()
    begun = Counter(row["txn"] for row in of_kind(rows, "begun") if row["kind"] in classes)
    when = {row["txn"]: row["t"] for row in of_kind(rows, "begun")}
    return [
        Violation("once", when[txn], f"{txn} has begun {times} times")
        for txn, times in begun.items()
        if times > 1
    ]


def check_drains(rows: list[Row], faults: list[FaultPeriod]) -> list[Violation]:
    """Check `drain`: sends, compared with the list of the balancer's agent."""
    violations: list[Violation] = []
    gone: dict[tuple[str, str], float] = {}  # (agent, upstream): leaving or gone since
    returned: dict[tuple[str, str], float] = {}
    known: dict[str, set[str]] = defaultdict(set)
    for row in of_kind(rows, "told", "sent"):
        if row["what"] == "told":
            agent = row["source"]
            phases = {item[0]: item[-1] for item in row["members"]}
            if row["whole"]:
                phases |= {id_: "left" for id_ in known[agent] - set(phases)}
            for id_, phase in phases.items():
                known[agent].add(id_)
                if phase == "active":
                    if gone.pop((agent, id_), None) is not None:
                        returned[agent, id_] = row["t"]
                else:
                    gone.setdefault((agent, id_), row["t"])
            continue
        balancer = row["txn"].rpartition(".")[2]
        agent, upstream = balancer.replace("balancer-", "agent-"), row["who"].partition(">")[2]
        since = gone.get((agent, upstream))
        if since is None:
            continue
        is_faulty = _has_fault(faults, (agent, balancer), since - 1.0, row["t"])
        grace = FAULTY_DRAIN_GRACE_S if is_faulty else DRAIN_GRACE_S
        if row["t"] - since > grace:
            description = f"{row['txn']} to {upstream}, told {row['t'] - since:.2f} s ago"
            violations.append(Violation("drain", row["t"], description))
    # Exempt sends after a return that the balancer saw shortly before the recorded reader.
    return [
        violation
        for violation in violations
        if not any(0 <= t - violation.at_s <= READER_LAG_S for t in returned.values())
    ]


def check_monotonic_reads(rows: list[Row], faults: list[FaultPeriod]) -> list[Violation]:
    """Check `back`: revisions of a source, and incarnation, lifecycle and turn of each instance."""
    violations: list[Violation] = []
    revisions: dict[tuple[str, str], int] = {}
    latest: dict[tuple[str, str], tuple[int, int, int]] = {}
    gone: dict[tuple[str, str], tuple[int, int, int]] = {}
    listed: dict[str, set[str]] = defaultdict(set)
    for row in of_kind(rows, "told"):
        reader, source = row["who"], row["source"]
        before = revisions.get((reader, source), 0)
        if row["revision"] < before:
            violations.append(
                Violation("back", row["t"], f"{reader}: revision {row['revision']} after {before}")
            )
        revisions[reader, source] = max(before, row["revision"])
        current = set()
        for id_, incarnation, lifecycle, turn, phase in row["members"]:
            key, order = (reader, id_), (incarnation, lifecycle, turn)
            previous = latest.get(key, (-1, -1, -1))
            if order < previous or (phase != "left" and gone.get(key) == order):
                violations.append(Violation("back", row["t"], f"{reader}: {id_} at {order} after {previous}"))
            latest[key] = max(order, previous)
            if phase == "left":
                gone[key] = order
            else:
                gone.pop(key, None)
                current.add(id_)
        if row["whole"]:
            for id_ in listed[reader] - current:
                gone.setdefault((reader, id_), latest[reader, id_])
            listed[reader] = current
        else:
            listed[reader] = (listed[reader] | current) - {m[0] for m in row["members"] if m[-1] == "left"}
    return violations


def check_durability(rows: list[Row], faults: list[FaultPeriod]) -> list[Violation]:
    """Check `kept`: the final lists hold each acknowledged write or a later one of the same instance."""
    latest_writes: dict[str, Row] = {}
    for row in of_kind(rows, "acknowledged"):
        if not _was_rolled_back(row, faults) and (
            row["id"] not in latest_writes or _order(row) > _order(latest_writes[row["id"]])
        ):
            latest_writes[row["id"]] = row
    # A later removal may have been applied without an acknowledgement, or before its replica lost its state.
    removed_later = {
        row["id"]
        for row in of_kind(rows, "tried")
        if row["removed"] and row["id"] in latest_writes and _order(row) > _order(latest_writes[row["id"]])
    }
    violations = []
    for final in of_kind(rows, "final"):
        listed = {item[0]: item for item in final["members"]}
        for id_, row in latest_writes.items():
            final_entry = listed.get(id_)
            write = f"{id_} {row['incarnation']}"
            if row["removed"]:
                if final_entry is not None and final_entry[1] <= row["incarnation"]:
                    description = f"{write}, removed at {row['replica']}, is back at {final['who']}"
                    violations.append(Violation("kept", row["t"], description))
            elif (final_entry is None and id_ not in removed_later) or (
                final_entry is not None and final_entry[1] < row["incarnation"]
            ):
                description = f"{write}, acknowledged by {row['replica']}, is not at {final['who']}"
                violations.append(Violation("kept", row["t"], description))
    return violations


def _order(row: Row) -> tuple[int, bool]:
    return (row["incarnation"], row["removed"])


def _was_rolled_back(row: Row, faults: list[FaultPeriod]) -> bool:
    """Whether the replica's state was restored to before the write, perhaps before it was replicated."""
    for period in faults:
        if (
            period.kind == "old_state"
            and period.on == row["replica"]
            and period.begin <= row["t"] <= period.end
        ):
            cut = any(
                other.kind not in ("old_state", "delay", "throttle")
                and period.on in other.on.split(">")
                and other.overlaps(row["t"] - 0.1, period.end)
                for other in faults
            )
            if cut or period.end - row["t"] < REPLICATION_S:
                return True
    return False


def check_convergence(rows: list[Row], faults: list[FaultPeriod]) -> list[Violation]:
    """Check `converged`: within the plan's bound each time that the last active fault has ended."""
    return [
        Violation("converged", row["t"], f"{row['differ']} still differ {row['after_s']:.1f} s after healing")
        for row in of_kind(rows, "converged")
        if row["differ"]
    ]


RULES: tuple[Callable[[list[Row], list[FaultPeriod]], list[Violation]], ...] = (
    check_attempts,
    check_duplicates,
    check_at_most_once,
    check_drains,
    check_monotonic_reads,
    check_durability,
    check_convergence,
)


def find_violations(rows: list[Row]) -> list[Violation]:
    """All violations in a history, ordered by time."""
    faults = fault_periods(rows)
    return sorted(
        (violation for rule in RULES for violation in rule(rows, faults)),
        key=lambda violation: (violation.at_s, violation.rule),
    )


def summarize(rows: list[Row]) -> dict[str, int | float]:
    """Counts of requests, outcomes, faults and writes of a run."""
    ends = Counter(row["how"] for row in of_kind(rows, "ended"))
    convergence_times = [row["after_s"] for row in of_kind(rows, "converged")]
    return {
        "requests": len(of_kind(rows, "asked")),
        **{how: ends[how] for how in ("served", "refused", "failed", "unreached", "lost")},
        "faults": len(of_kind(rows, "fault")),
        "answers to readers": len(of_kind(rows, "told")),
        "writes acknowledged": len(of_kind(rows, "acknowledged")),
        "healings": len(convergence_times),
        "slowest to converge, s": round(max(convergence_times, default=0.0), 3),
    }
