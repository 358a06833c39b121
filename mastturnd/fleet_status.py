"""Queries every process of the fleet in parallel and marks what differs between them."""

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

RESPONSE_TIMEOUT_S = 2.0
MAX_CONCURRENT_CALLS = 16
MAX_RETRIES, RETRY_DELAY_S = 3, 0.6  # while a process answers 429
MAX_STATUS_BYTES = 4 * 1024 * 1024  # of one response
MAX_SILENT_MS = 1_000  # a member silent to the primary for longer is marked
NEW_PRIMARY_MS = 2_000  # balancers attach to a new primary within this


def gather(ctl: list[str], readyz_port: int | None, max_balancers: int | None = None) -> dict[str, Any]:
    """Query every process and return the fleet's state; raises NoAnswerError if no control process answers.

    Balancers are listed as the primary names them, but not queried, if `readyz_port` is None or there are
    more than `max_balancers` of them.
    """
    with concurrent.futures.ThreadPoolExecutor(MAX_CONCURRENT_CALLS) as pool:
        statuses = _control_processes(pool.map(fetch_status, ctl))
        if not statuses:
            raise NoAnswerError(
                f"none of {', '.join(ctl)} answers within {RESPONSE_TIMEOUT_S:g} s",
                "see that they run, or give --ctl=IP:PORT of others",
            )
        latest = max(statuses.values(), key=lambda a: int(a["epoch"]))
        more = [m["ctl"] for m in latest["members"] if m["ctl"] and m["ctl"] not in statuses]
        statuses |= _control_processes(pool.map(fetch_status, more))
        by_node = {a["node"]: a for a in statuses.values()}
        newest = max(int(a["epoch"]) for a in statuses.values())
        primaries = [a for a in statuses.values() if a["standing"] == "primary" and a["epoch"] == newest]
        primary = primaries[0] if primaries else None
        present = primary["present"] if primary is not None else []
        endpoints = [f"{p['ip']}:{readyz_port}" for p in present] if readyz_port else []
        if max_balancers is not None and len(endpoints) > max_balancers:
            endpoints = []
        answers = [a if a and _is_balancer(a) else None for a in pool.map(fetch_status, endpoints)]
    view = primary or max(statuses.values(), key=lambda a: int(a["epoch"]))
    names = [m["node"] for m in view["members"]]
    control = [
        _control_row(node, by_node.get(node), view) for node in [*names, *sorted(by_node.keys() - set(names))]
    ]
    balancers = [
        {"node": p["node"], "zone": p["zone"], "ip": p["ip"], "answer": a}
        for p, a in zip(present, answers or [None] * len(present), strict=True)
    ]
    fleet = {
        "leader": primary["node"] if primary is not None else "",
        "epoch": view["epoch"],
        "leads_ms": primary.get("leads_ms") if primary is not None else None,
        "ver": primary["ver"] if primary is not None else None,
        "control": control,
        "balancers": balancers,
        "balancers_asked": bool(endpoints) or not present,
        "upstreams": view["upstreams"],
    }
    fleet["judged"] = judged.gather(fleet["balancers"])
    fleet["differs"] = _differences(fleet) + judged.format_lines(fleet["judged"])
    return fleet


def is_settled(fleet: dict[str, Any]) -> bool:
    """Return whether there is a primary that has led for long enough to know the balancers present."""
    return bool(fleet["balancers"]) and (fleet["leads_ms"] is None or fleet["leads_ms"] >= NEW_PRIMARY_MS)


def _is_balancer(answer: dict[str, Any]) -> bool:
    """Return whether a status is that of a balancer, of any release."""
    return current_name(answer["role"]) == BALANCER


def _control_processes(answers: Iterable[dict[str, Any] | None]) -> dict[str, dict[str, Any]]:
    """Return the statuses of control processes by their operator address."""
    return {a["ctl"]: a for a in answers if a is not None and current_name(a["role"]) == CONTROL}


def fetch_status(endpoint: str) -> dict[str, Any] | None:
    """Return the status of a process; None if it sends no valid one."""
    answer = asking.call_once(
        endpoint, "GET", "/api/status", timeout_s=RESPONSE_TIMEOUT_S, max_bytes=MAX_STATUS_BYTES
    )
    for _ in range(MAX_RETRIES):
        if answer is None or answer.status != 429:
            break
        time.sleep(RETRY_DELAY_S)  # other clients share the rate limit
        answer = asking.call_once(
            endpoint, "GET", "/api/status", timeout_s=RESPONSE_TIMEOUT_S, max_bytes=MAX_STATUS_BYTES
        )
    if answer is None or answer.status != 200:
        return None
    try:
        statuses = answer.json()
    except NoAnswerError:
        return None
    return statuses if is_status(statuses) else None


def _control_row(node: str, answer: dict[str, Any] | None, view: dict[str, Any]) -> dict[str, Any]:
    member: dict[str, Any] = next((m for m in view["members"] if m["node"] == node), {})
    zone = member.get("zone") or (answer or {}).get("zone", "")
    return {"node": node, "zone": zone, "silent_ms": member.get("silent_ms"), "answer": answer}


def _differences(fleet: dict[str, Any]) -> list[str]:
    """Return what an operator should look at, one line each."""
    lines = []
    if not fleet["leader"]:
        lines.append("nobody leads, as far as anybody who answers knows")
    elif not fleet["balancers"]:
        lines.append(f"{fleet['leader']}: names no balancer: start one, or ask again if one runs")
    elif fleet["leads_ms"] is not None and fleet["leads_ms"] < NEW_PRIMARY_MS:
        lines.append(f"{fleet['leader']}: leads for {fleet['leads_ms']} ms, may not name all yet: ask again")
    answers = [(p["node"], p["answer"]) for p in fleet["control"] + fleet["balancers"] if p["answer"]]
    programs = Counter(a["program"] for _, a in answers)
    most_common = programs.most_common(1)[0][0] if programs else ""
    for row in fleet["control"]:
        node, answer = row["node"], row["answer"]
        if answer is None:
            lines.append(f"{node}: gives no answer")
            continue
        if answer["epoch"] != fleet["epoch"]:
            lines.append(f"{node}: knows epoch {answer['epoch']}, the newest is {fleet['epoch']}")
        holds = answer["standing"] in ("primary", "holder")
        if holds and fleet["ver"] is not None and answer["ver"] != fleet["ver"]:
            lines.append(f"{node}: holds configuration {answer['ver']}, the primary {fleet['ver']}")
        if not answer["disk_well"]:
            lines.append(f"{node}: its disk takes no writes, or not in time")
        if answer["standing"] == "newcomer":
            lines.append(f"{node}: has no slot and no vote")
        if (row["silent_ms"] or 0) > MAX_SILENT_MS:
            lines.append(f"{node}: not heard of by the primary for {row['silent_ms']} ms")
    for row in fleet["balancers"] if fleet["balancers_asked"] else []:
        node, answer = row["node"], row["answer"]
        if answer is None:
            lines.append(f"{node}: gives no answer")
            continue
        if fleet["ver"] is not None and answer["ver"] != fleet["ver"]:
            lines.append(f"{node}: serves configuration {answer['ver']}, the newest is {fleet['ver']}")
        if not answer["ready"] and not answer["drained"]:
            lines.append(f"{node}: is not ready")
        if not answer["fresh"]:
            lines.append(f"{node}: hears no news")
    for node, answer in answers:
        if answer["program"] != most_common:
            lines.append(f"{node}: runs program {answer['program']}, most run {most_common}")
    return lines


NOT_QUERIED = "balancers were not asked: give --readyz_port, or let MASTTURN_CONFIG name settings with it"


def summary(fleet: dict[str, Any]) -> str:
    """Return the primary, the configuration version and the count of processes that answer, as one line."""
    answering = [r for r in fleet["control"] if r["answer"]], [r for r in fleet["balancers"] if r["answer"]]
    counts = f"{len(answering[0])} of {len(fleet['control'])} control processes"
    if fleet["balancers_asked"]:
        counts += f" and {len(answering[1])} of {len(fleet['balancers'])} balancers"
    led = f"led by {fleet['leader']}" if fleet["leader"] else "led by nobody"
    version = "unknown" if fleet["ver"] is None else fleet["ver"] or "none yet"
    return f"{led}, epoch {fleet['epoch']}, configuration {version}; {counts} answer"


def format_lines(fleet: dict[str, Any]) -> list[str]:
    """Return the state of the fleet as lines of text."""
    control, balancers, parts = (table(head, rows) for head, rows in build_tables(fleet))
    note = [] if fleet["balancers_asked"] else [NOT_QUERIED]
    lines = [summary(fleet), "", *control, "", *balancers, *note, "", *parts]
    if fleet["differs"]:
        lines += ["", *(f"! {line}" for line in fleet["differs"])]
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
BALANCER_COLUMNS = (
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
PART_COLUMNS = ("SERVICE", "PART", "UP", "DRAINING", "CALLS", "TOKENS")
Table = tuple[tuple[str, ...], list[list[Any]]]


def build_tables(fleet: dict[str, Any]) -> list[Table]:
    """Return tables of control processes, balancers and upstreams; `!` marks processes that differ."""
    differing = {line.partition(":")[0] for line in fleet["differs"]}
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
        for row in fleet["control"]
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
        for row in fleet["balancers"]
        for a in (row["answer"] or {},)
    ]
    return [
        (CONTROL_COLUMNS, control),
        (BALANCER_COLUMNS, balancers),
        (PART_COLUMNS, _by_part(fleet["upstreams"])),
    ]


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
