"""What came of the drawn days: read off the journal, where each play has left its entry."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from mastturn.days.draw import NAME


@dataclass(frozen=True, slots=True)
class Outcome:
    """One play of one drawn day."""

    site: str
    day: str
    commit: str  # a plus behind it: with changes that were not committed
    entry: str  # of the journal
    rules: tuple[str, ...]  # broken, each with how often
    fault: str
    short: tuple[str, ...]  # of the gate's floors
    ends: float  # processes that ended by themselves
    worth: float
    passed: bool
    error: str  # the play did not end


def read_outcomes(folder: Path) -> Iterator[Outcome]:
    """All plays of drawn days in a journal, the oldest first; entries that can't be read are left out."""
    for path in sorted(folder.glob("*.json")):
        try:
            entry = json.loads(path.read_text(encoding="utf-8"))
        except (OSError, ValueError):
            continue
        if not isinstance(entry, dict):
            continue
        for day in entry.get("days") or []:
            if str(day.get("name", "")).startswith(f"{NAME}-"):
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
    """Lines of Markdown: how many days of each site at each commit, and each day that didn't pass."""
    found = list(outcomes)
    lines = [
        "| site | commit | plays | days | broken rules | ends by itself | below a floor |",
        "|---|---|---|---|---|---|---|",
    ]
    for site, commit in dict.fromkeys((o.site, o.commit) for o in found):
        some = [o for o in found if (o.site, o.commit) == (site, commit)]
        counts = [
            len(some),
            len({o.day for o in some}),
            sum(bool(o.rules) for o in some),
            sum(bool(o.ends or o.fault) for o in some),
            sum(bool(o.short) for o in some),
        ]
        lines.append(f"| {site} | {commit} | " + " | ".join(map(str, counts)) + " |")
    lines += ["", "| site | day | commit | entry | what broke | worth |", "|---|---|---|---|---|---|"]
    for o in found:
        if not o.passed or o.rules or o.fault or o.ends or o.error:
            ends = (f"{o.ends:g} ended by itself",) if o.ends else ()
            what = "; ".join((*o.rules, *ends, *o.short, *filter(None, (o.fault, o.error))))
            lines.append(f"| {o.site} | {o.day} | {o.commit} | {o.entry} | {what} | {o.worth:.3f} |")
    return lines
