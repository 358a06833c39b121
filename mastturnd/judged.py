"""Summarizes which upstreams the balancers report as silent, distrusted or on probation."""

from __future__ import annotations

from typing import Any

CONDITIONS = ("distrusted", "wary", "silent")
Counts = dict[str, int]  # count of balancers by condition, and the highest failure count of one of them


def gather(balancers: list[dict[str, Any]]) -> dict[str, Counts]:
    """Return, by upstream, how many balancers report each condition, and the highest failure count.

    Entries that do not have the form of this release are skipped: they may come from any program.
    """
    summary: dict[str, Counts] = {}
    for row in balancers:
        upstreams = (row["answer"] or {}).get("upstreams")
        for entry in upstreams if isinstance(upstreams, list) else ():
            if not isinstance(entry, dict) or not isinstance(name := entry.get("id"), str):
                continue
            conditions = {"silent"} if entry.get("silent") is True else set()
            conditions |= {trust} if (trust := entry.get("trust")) in ("distrusted", "wary") else set()
            if not conditions:
                continue
            counts = summary.setdefault(name, dict.fromkeys((*CONDITIONS, "failures"), 0))
            for condition in conditions:
                counts[condition] += 1
            failures = entry.get("failures")
            if isinstance(failures, int) and not isinstance(failures, bool):
                counts["failures"] = max(counts["failures"], failures)
    return dict(sorted(summary.items()))


def format_lines(summary: dict[str, Counts]) -> list[str]:
    """Return one line of text for each upstream."""
    lines = []
    for name, counts in summary.items():
        conditions = ", ".join(
            f"{condition} {counts[condition]}" for condition in CONDITIONS if counts[condition]
        )
        lines.append(f"{name}: upstream in doubt, by balancers: {conditions}; {counts['failures']} failures")
    return lines
