"""Reads the results of drawn days from the journal, which has one entry per run."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from mastturn.days.draw import NAME_PREFIX


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of one run of a drawn day."""

    site: str
    day: str
    commit: str  # with a plus sign if there were uncommitted changes
    entry: str  # id of the journal entry
    rules: tuple[str, ...]  # violated rules with their counts
    fault: str
    missed_floors: tuple[str, ...]  # floors of the gate that were missed
    self_exits: float  # processes that exited by themselves
    worth: float
    passed: bool
    error: str  # set if the run did not complete


def read_outcomes(folder: Path) -> Iterator[Outcome]:
    """Yield all runs of drawn days in a journal, oldest first; unreadable entries are skipped."""
    for path in sorted(folder.glob("*.json")):
        try:
            entry = json.loads(path.read_text(encoding="utf-8"))
        except (OSError, ValueError):
            continue
        if not isinstance(entry, dict):
            continue
        for day in entry.get("days") or []:
            if str(day.get("name", "")).startswith(f"{NAME_PREFIX}-"):
                yield _outcome(entry, day)


def _outcome(entry: dict[str, Any], day: dict[str, Any]) -> Outcome:
    prices = {p[0]: p[1] for p in day.get("prices") or []}
    rules = day.get("rules") or {}
    return Outcome(
        str(entry.get("site")),
        str(day["name"]),
        str(entry.get("head") or "")[:7] + ("+" if entry.get("dirty") else ""),
        str(entry.get("id")),
        tuple(f"{name} {count}" for name, count in rules.items()),
        str(day.get("fault") or ""),
        tuple(str(s) for s in day.get("short") or []),
        float(prices.get("exits of its own") or 0.0),
        float(day.get("served") or 0.0),
        bool(day.get("gate")),
        str(entry.get("error") or ""),
    )


def table(outcomes: Iterable[Outcome]) -> list[str]:
    """Return Markdown tables: counts per site and commit, and each day that didn't pass."""
    all_outcomes = list(outcomes)
    lines = [
        "| site | commit | plays | days | broken rules | ends by itself | below a floor |",
        "|---|---|---|---|---|---|---|",
    ]
    for site, commit in dict.fromkeys((o.site, o.commit) for o in all_outcomes):
        group = [o for o in all_outcomes if (o.site, o.commit) == (site, commit)]
        counts = [
            len(group),
            len({o.day for o in group}),
            sum(bool(o.rules) for o in group),
            sum(bool(o.self_exits or o.fault) for o in group),
            sum(bool(o.missed_floors) for o in group),
        ]
        lines.append(f"| {site} | {commit} | " + " | ".join(map(str, counts)) + " |")
    lines += ["", "| site | day | commit | entry | what broke | worth |", "|---|---|---|---|---|---|"]
    for o in all_outcomes:
        if not o.passed or o.rules or o.fault or o.self_exits or o.error:
            self_exits = (f"{o.self_exits:g} ended by itself",) if o.self_exits else ()
            failures = "; ".join((*o.rules, *self_exits, *o.missed_floors, *filter(None, (o.fault, o.error))))
            lines.append(f"| {o.site} | {o.day} | {o.commit} | {o.entry} | {failures} | {o.worth:.3f} |")
    return lines
