"""The rules, read off a history alone. Nothing here has seen the run.

| rule | what breaks it |
| --- | --- |
| `lost` | a try that a living balancer took ends without a whole answer in its time |
| `answered twice` | a try has two ends |
| `duplicate` | a second copy goes out while an earlier one is still out on an open connection |
| `once` | a request of a class that must not run twice has begun twice |
| `drain` | a send to an upstream that the balancer's agent has told to be leaving or gone, after the grace |
| `back` | a reader is told something older than it was told before |
| `kept` | a write that was acknowledged is not in the list at the end |
| `converged` | replicas, or readers' lists, still differ so long after every fault has ended |

Excused is what nobody can keep: a try at a balancer that was killed or stopped while the try was open, and a
write that was acknowledged by one replica alone whose old state was then put back.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from mastturn.chaos.history import Row, of_kind

TIME_SLACK_S = 0.6  # beyond a try's time: the client gives up half a second late
DRAIN_GRACE_S = 1.5
TOLD_AT_LATEST_S = 6.0  # where the agent or the balancer was in trouble meanwhile (PROTOCOL, "Figures")
SOON_S = 0.5  # a reader beside the balancer may hear of a return a little later than the balancer does
PASSED_ON_S = 2.0  # until a change is at the other replicas, while no fault is on


@dataclass(frozen=True, slots=True)
class Breach:
    """One broken rule, in words, and when."""

    rule: str
    at_s: float
    words: str


@dataclass(frozen=True, slots=True)
class Span:
    """One fault on one thing."""

    kind: str
    on: str
    begin: float
    end: float

    def meets(self, begin: float, end: float) -> bool:
        """Whether it was on at some moment between."""
        return self.begin <= end and begin <= self.end


def spans(rows: Iterable[Row]) -> list[Span]:
    """All faults with their ends; one without an end lasts for ever."""
    open_: dict[int, Row] = {}
    found = []
    for row in of_kind(rows, "fault", "healed"):
        if row["what"] == "fault":
            open_[row["number"]] = row
        elif (began := open_.pop(row["number"], None)) is not None:
            found += [Span(began["kind"], name, began["t"], row["t"]) for name in began["on"]]
    for row in open_.values():
        found += [Span(row["kind"], name, row["t"], float("inf")) for name in row["on"]]
    return found


def _troubled(faults: list[Span], names: tuple[str, ...], begin: float, end: float) -> bool:
    return any(
        span.meets(begin, end) and any(name == span.on or name in span.on.split(">") for name in names)
        for span in faults
    )


def tries(rows: list[Row], faults: list[Span]) -> list[Breach]:
    """`lost` and `answered twice`."""
    found, ended = [], defaultdict(list)
    for row in of_kind(rows, "ended"):
        ended[row["txn"]].append(row)
    last = max(row["t"] for row in rows)
    for row in of_kind(rows, "asked"):
        ends = ended.get(row["txn"], [])
        if len(ends) > 1:
            found.append(Breach("answered twice", ends[1]["t"], f"{row['txn']} has {len(ends)} ends"))
        end = ends[0]["t"] if ends else last
        late = end - row["t"] > row["within_s"] + TIME_SLACK_S
        whole = bool(ends) and ends[0]["how"] in ("served", "refused", "failed", "unreached")
        if whole and not late:
            continue
        balancer = row["at"]
        if any(
            span.on == balancer and span.kind in ("kill", "stop") and span.meets(row["t"], end)
            for span in faults
        ):
            continue
        why = ends[0]["why"] if ends else "no end"
        found.append(Breach("lost", end, f"{row['txn']} ({row['kind']}): {'late' if whole else why}"))
    return found


def copies(rows: list[Row], faults: list[Span]) -> list[Breach]:
    """`duplicate`, as the links before the upstreams saw it."""
    found: list[Breach] = []
    out: dict[str, dict[tuple[str, int], float]] = defaultdict(dict)
    for row in of_kind(rows, "sent", "answered", "hung up"):
        place = (row["who"], row["connection"])
        if row["what"] == "sent":
            if others := [where for where in out[row["txn"]] if where != place]:
                at = ", ".join(name for name, _ in others)
                found.append(
                    Breach("duplicate", row["t"], f"{row['txn']} at {row['who']}, still out at {at}")
                )
            out[row["txn"]][place] = row["t"]
        else:
            out[row["txn"]].pop(place, None)
    return found


def once(rows: list[Row], faults: list[Span]) -> list[Breach]:
    """`once`: what must not run twice, as the upstreams saw it begin."""
    plan = of_kind(rows, "plan")
    classes = set(plan[0]["once"]) if plan else set()
    begun = Counter(row["txn"] for row in of_kind(rows, "begun") if row["kind"] in classes)
    when = {row["txn"]: row["t"] for row in of_kind(rows, "begun")}
    return [
        Breach("once", when[txn], f"{txn} has begun {times} times")
        for txn, times in begun.items()
        if times > 1
    ]


def drains(rows: list[Row], faults: list[Span]) -> list[Breach]:
    """`drain`: sends against what the reader beside the balancer was told."""
    found: list[Breach] = []
    gone: dict[tuple[str, str], float] = {}  # agent and upstream: since when it is leaving or gone
    back: dict[tuple[str, str], float] = {}
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
                        back[agent, id_] = row["t"]
                else:
                    gone.setdefault((agent, id_), row["t"])
            continue
        balancer = row["txn"].rpartition(".")[2]
        agent, upstream = balancer.replace("balancer-", "agent-"), row["who"].partition(">")[2]
        since = gone.get((agent, upstream))
        if since is None:
            continue
        bad = _troubled(faults, (agent, balancer), since - 1.0, row["t"])
        grace = TOLD_AT_LATEST_S if bad else DRAIN_GRACE_S
        if row["t"] - since > grace:
            words = f"{row['txn']} to {upstream}, told {row['t'] - since:.2f} s ago"
            found.append(Breach("drain", row["t"], words))
    # A return that the balancer heard of a moment before the reader did.
    return [b for b in found if not any(0 <= t - b.at_s <= SOON_S for t in back.values())]


def backwards(rows: list[Row], faults: list[Span]) -> list[Breach]:
    """`back`: revisions of one source, and of each instance its incarnation, word and turn."""
    found: list[Breach] = []
    revisions: dict[tuple[str, str], int] = {}
    latest: dict[tuple[str, str], tuple[int, int, int]] = {}
    gone: dict[tuple[str, str], tuple[int, int, int]] = {}
    listed: dict[str, set[str]] = defaultdict(set)
    for row in of_kind(rows, "told"):
        reader, source = row["who"], row["source"]
        before = revisions.get((reader, source), 0)
        if row["revision"] < before:
            found.append(Breach("back", row["t"], f"{reader}: revision {row['revision']} after {before}"))
        revisions[reader, source] = max(before, row["revision"])
        now = set()
        for id_, incarnation, word, turn, phase in row["members"]:
            place, order = (reader, id_), (incarnation, word, turn)
            had = latest.get(place, (-1, -1, -1))
            if order < had or (phase != "left" and gone.get(place) == order):
                found.append(Breach("back", row["t"], f"{reader}: {id_} at {order} after {had}"))
            latest[place] = max(order, had)
            if phase == "left":
                gone[place] = order
            else:
                gone.pop(place, None)
                now.add(id_)
        if row["whole"]:
            for id_ in listed[reader] - now:
                gone.setdefault((reader, id_), latest[reader, id_])
            listed[reader] = now
        else:
            listed[reader] = (listed[reader] | now) - {m[0] for m in row["members"] if m[-1] == "left"}
    return found


def kept(rows: list[Row], faults: list[Span]) -> list[Breach]:
    """`kept`: every acknowledged write, or a later word on the same instance, is in the list at the end."""
    best: dict[str, Row] = {}
    for row in of_kind(rows, "acknowledged"):
        if not _was_undone(row, faults) and (row["id"] not in best or _order(row) > _order(best[row["id"]])):
            best[row["id"]] = row
    # A later write may have been taken though nobody said so, or though its replica has forgotten it.
    gone_later = {
        row["id"]
        for row in of_kind(rows, "tried")
        if row["removed"] and row["id"] in best and _order(row) > _order(best[row["id"]])
    }
    found = []
    for final in of_kind(rows, "final"):
        listed = {item[0]: item for item in final["members"]}
        for id_, row in best.items():
            has = listed.get(id_)
            what = f"{id_} {row['incarnation']}"
            if row["removed"]:
                if has is not None and has[1] <= row["incarnation"]:
                    words = f"{what}, removed at {row['replica']}, is back at {final['who']}"
                    found.append(Breach("kept", row["t"], words))
            elif (has is None and id_ not in gone_later) or (has is not None and has[1] < row["incarnation"]):
                words = f"{what}, acknowledged by {row['replica']}, is not at {final['who']}"
                found.append(Breach("kept", row["t"], words))
    return found


def _order(row: Row) -> tuple[int, bool]:
    return (row["incarnation"], row["removed"])


def _was_undone(row: Row, faults: list[Span]) -> bool:
    """Whether its replica was put back to a state before it, and may not have passed it on."""
    for span in faults:
        if span.kind == "old_state" and span.on == row["replica"] and span.begin <= row["t"] <= span.end:
            cut = any(
                other.kind not in ("old_state", "delay", "throttle")
                and span.on in other.on.split(">")
                and other.meets(row["t"] - 0.1, span.end)
                for other in faults
            )
            if cut or span.end - row["t"] < PASSED_ON_S:
                return True
    return False


def converged(rows: list[Row], faults: list[Span]) -> list[Breach]:
    """`converged`: within the plan's bound after each moment at which the last fault had ended."""
    return [
        Breach("converged", row["t"], f"{row['differ']} still differ {row['after_s']:.1f} s after healing")
        for row in of_kind(rows, "converged")
        if row["differ"]
    ]


RULES: tuple[Callable[[list[Row], list[Span]], list[Breach]], ...] = (
    tries,
    copies,
    once,
    drains,
    backwards,
    kept,
    converged,
)


def judge(rows: list[Row]) -> list[Breach]:
    """Every broken rule of a history, in the order of their moments."""
    faults = spans(rows)
    return sorted((b for rule in RULES for b in rule(rows, faults)), key=lambda b: (b.at_s, b.rule))


def counts(rows: list[Row]) -> dict[str, int | float]:
    """What a run was made of."""
    ends = Counter(row["how"] for row in of_kind(rows, "ended"))
    heals = [row["after_s"] for row in of_kind(rows, "converged")]
    return {
        "requests": len(of_kind(rows, "asked")),
        **{how: ends[how] for how in ("served", "refused", "failed", "unreached", "lost")},
        "faults": len(of_kind(rows, "fault")),
        "answers to readers": len(of_kind(rows, "told")),
        "writes acknowledged": len(of_kind(rows, "acknowledged")),
        "healings": len(heals),
        "slowest to converge, s": round(max(heals, default=0.0), 3),
    }
