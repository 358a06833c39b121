"""The whole fleet as its processes tell it: asked one by one, side by side, with what differs marked."""

from __future__ import annotations

import concurrent.futures
import time
from collections import Counter
from collections.abc import Iterable
from typing import Any

from mastturnd import asking, judged
from mastturnd.answers import is_status
from mastturnd.roles import BALANCER, CONTROL, current_name
from mastturnd.tables import table
from mastturnd.wrong import NoAnswerError

SILENT_S = 2.0
AT_ONCE = 16
TRIES, AGAIN_S = 3, 0.6  # where a process is asked too often
MOST_STATUS = 4 * 1024 * 1024  # bytes of one answer
BEHIND_MS = 1_000  # a member that the primary has not heard of for longer is marked
NEW_MS = 2_000  # balancers come back to a new primary within this


def gather(ctl: list[str], readyz_port: int | None, most: int | None = None) -> dict[str, Any]:
    """What every process says; raises NoAnswerError if no control process answers.

    Without the port of the balancers' readiness, or where they are more than `most`, balancers are only those
    that the primary names.
    """
    with concurrent.futures.ThreadPoolExecutor(AT_ONCE) as pool:
        told = _control_processes(pool.map(fetch_status, ctl))
        if not told:
            raise NoAnswerError(
                f"none of {', '.join(ctl)} answers within {SILENT_S:g} s",
                "see that they run, or give --ctl=IP:PORT of others",
            )
        latest = max(told.values(), key=lambda a: int(a["epoch"]))
        more = [m["ctl"] for m in latest["members"] if m["ctl"] and m["ctl"] not in told]
        told |= _control_processes(pool.map(fetch_status, more))
        by_node = {a["node"]: a for a in told.values()}
        newest = max(int(a["epoch"]) for a in told.values())
        leads = [a for a in told.values() if a["standing"] == "primary" and a["epoch"] == newest]
        primary = leads[0] if leads else None
        present = primary["present"] if primary is not None else []
        asked = [f"{p['ip']}:{readyz_port}" for p in present] if readyz_port else []
        if most is not None and len(asked) > most:
            asked = []
        answers = [a if a and _is_balancer(a) else None for a in pool.map(fetch_status, asked)]
    view = primary or max(told.values(), key=lambda a: int(a["epoch"]))
    names = [m["node"] for m in view["members"]]
    control = [
        _control(node, by_node.get(node), view) for node in [*names, *sorted(by_node.keys() - set(names))]
    ]
    balancers = [
        {"node": p["node"], "zone": p["zone"], "ip": p["ip"], "answer": a}
        for p, a in zip(present, answers or [None] * len(present), strict=True)
    ]
    found = {
        "leader": primary["node"] if primary is not None else "",
        "epoch": view["epoch"],
        "leads_ms": primary.get("leads_ms") if primary is not None else None,
        "ver": primary["ver"] if primary is not None else None,
        "control": control,
        "balancers": balancers,
        "balancers_asked": bool(asked) or not present,
        "upstreams": view["upstreams"],
    }
    found["judged"] = judged.gather(found["balancers"])
    found["differs"] = _differences(found) + judged.format_lines(found["judged"])
    return found


def is_settled(found: dict[str, Any]) -> bool:
    """Whether somebody leads, and has for long enough to know who is present."""
    return bool(found["balancers"]) and (found["leads_ms"] is None or found["leads_ms"] >= NEW_MS)


def _is_balancer(answer: dict[str, Any]) -> bool:
    """Whether a process says that it is one, of whatever release."""
    return current_name(answer["role"]) == BALANCER


def _control_processes(answers: Iterable[dict[str, Any] | None]) -> dict[str, dict[str, Any]]:
    """Those of control processes, by their addresses for operators."""
    return {a["ctl"]: a for a in answers if a is not None and current_name(a["role"]) == CONTROL}


def fetch_status(place: str) -> dict[str, Any] | None:
    """A process's own word; None if it gives none that can be read."""
    answer = asking.call_once(place, "GET", "/api/status", silent_s=SILENT_S, most=MOST_STATUS)
    for _ in range(TRIES):
        if answer is None or answer.status != 429:
            break
        time.sleep(AGAIN_S)  # others ask too
        answer = asking.call_once(place, "GET", "/api/status", silent_s=SILENT_S, most=MOST_STATUS)
    if answer is None or answer.status != 200:
        return None
    try:
        told = answer.json()
    except NoAnswerError:
        return None
    return told if is_status(told) else None


def _control(node: str, answer: dict[str, Any] | None, view: dict[str, Any]) -> dict[str, Any]:
    member: dict[str, Any] = next((m for m in view["members"] if m["node"] == node), {})
    zone = member.get("zone") or (answer or {}).get("zone", "")
    return {"node": node, "zone": zone, "silent_ms": member.get("silent_ms"), "answer": answer}


def _differences(found: dict[str, Any]) -> list[str]:
    """What an operator should look at, one line each."""
    lines = []
    if not found["leader"]:
        lines.append("nobody leads, as far as anybody who answers knows")
    elif not found["balancers"]:
        lines.append(f"{found['leader']}: names no balancer: start one, or ask again if one runs")
    elif found["leads_ms"] is not None and found["leads_ms"] < NEW_MS:
        lines.append(f"{found['leader']}: leads for {found['leads_ms']} ms, may not name all yet: ask again")
    answers = [(p["node"], p["answer"]) for p in found["control"] + found["balancers"] if p["answer"]]
    programs = Counter(a["program"] for _, a in answers)
    usual = programs.most_common(1)[0][0] if programs else ""
    for row in found["control"]:
        node, answer = row["node"], row["answer"]
        if answer is None:
            lines.append(f"{node}: gives no answer")
            continue
        if answer["epoch"] != found["epoch"]:
            lines.append(f"{node}: knows epoch {answer['epoch']}, the newest is {found['epoch']}")
        holds = answer["standing"] in ("primary", "holder")
        if holds and found["ver"] is not None and answer["ver"] != found["ver"]:
            lines.append(f"{node}: holds configuration {answer['ver']}, the primary {found['ver']}")
        if not answer["disk_well"]:
            lines.append(f"{node}: its disk takes no writes, or not in time")
        if answer["standing"] == "newcomer":
            lines.append(f"{node}: has no slot and no vote")
        if (row["silent_ms"] or 0) > BEHIND_MS:
            lines.append(f"{node}: not heard of by the primary for {row['silent_ms']} ms")
    for row in found["balancers"] if found["balancers_asked"] else []:
        node, answer = row["node"], row["answer"]
        if answer is None:
            lines.append(f"{node}: gives no answer")
            continue
        if found["ver"] is not None and answer["ver"] != found["ver"]:
            lines.append(f"{node}: serves configuration {answer['ver']}, the newest is {found['ver']}")
        if not answer["ready"] and not answer["drained"]:
            lines.append(f"{node}: is not ready")
        if not answer["fresh"]:
            lines.append(f"{node}: hears no news")
    for node, answer in answers:
        if answer["program"] != usual:
            lines.append(f"{node}: runs program {answer['program']}, most run {usual}")
    return lines


UNASKED = "balancers were not asked: give --readyz_port, or let MASTTURN_CONFIG name settings with it"


def summary(found: dict[str, Any]) -> str:
    """Who leads, what is in force, and how many answer."""
    here = [r for r in found["control"] if r["answer"]], [r for r in found["balancers"] if r["answer"]]
    counts = f"{len(here[0])} of {len(found['control'])} control processes"
    if found["balancers_asked"]:
        counts += f" and {len(here[1])} of {len(found['balancers'])} balancers"
    led = f"led by {found['leader']}" if found["leader"] else "led by nobody"
    version = "unknown" if found["ver"] is None else found["ver"] or "none yet"
    return f"{led}, epoch {found['epoch']}, configuration {version}; {counts} answer"


def format_lines(found: dict[str, Any]) -> list[str]:
    """The same for people."""
    control, balancers, parts = (table(head, rows) for head, rows in tables_of(found))
    note = [] if found["balancers_asked"] else [UNASKED]
    lines = [summary(found), "", *control, "", *balancers, *note, "", *parts]
    if found["differs"]:
        lines += ["", *(f"! {line}" for line in found["differs"])]
    return lines


CONTROL_COLUMNS = (
    "CONTROL",
    "ZONE",
    "STANDING",
    "EPOCH",
    "CONFIG",
    "PROGRAM",
    "DISK WELL",
    "SILENT MS",
    "MB",
    "MARK",
)
BALANCERS = (
    "BALANCER",
    "ZONE",
    "READY",
    "DRAINED",
    "CONFIG",
    "PROGRAM",
    "TOLD BY",
    "OPEN",
    "ENDED",
    "MB",
    "MARK",
)
PARTS = ("SERVICE", "PART", "UP", "DRAINING", "CALLS", "TOKENS")
Table = tuple[tuple[str, ...], list[list[Any]]]


def tables_of(found: dict[str, Any]) -> list[Table]:
    """Control processes, balancers, and upstreams by part; `!` marks who differs."""
    differing = {line.partition(":")[0] for line in found["differs"]}
    control = [
        [
            row["node"],
            row["zone"],
            a.get("standing"),
            a.get("epoch"),
            a.get("ver") if a.get("standing") in ("primary", "holder") else None,
            a.get("program"),
            a.get("disk_well"),
            row["silent_ms"],
            _mb(a),
            "!" if row["node"] in differing else "",
        ]
        for row in found["control"]
        for a in (row["answer"] or {},)
    ]
    balancers = [
        [
            row["node"],
            row["zone"],
            a.get("ready"),
            a.get("drained"),
            a.get("ver"),
            a.get("program"),
            a.get("told_by"),
            a.get("in_flight"),
            sum(a["ended"].values()) if a else None,
            _mb(a),
            "!" if row["node"] in differing else "",
        ]
        for row in found["balancers"]
        for a in (row["answer"] or {},)
    ]
    return [(CONTROL_COLUMNS, control), (BALANCERS, balancers), (PARTS, _by_part(found["upstreams"]))]


def _mb(answer: dict[str, Any]) -> str | None:
    return f"{answer['memory_kb'] / 1024:.1f}" if answer else None


def _by_part(upstreams: list[dict[str, Any]]) -> list[list[object]]:
    rows: dict[tuple[str, str], list[int]] = {}
    for entry in upstreams:
        row = rows.setdefault((entry["svc"], entry["part"]), [0, 0, 0, 0])
        row[0] += entry["state"] == "up"
        row[1] += entry["state"] == "draining"
        row[2] += entry["calls"]
        row[3] += entry["tokens"]
    return [[svc, part, *row] for (svc, part), row in sorted(rows.items())]
