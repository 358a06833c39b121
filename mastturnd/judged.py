"""Which upstreams the balancers doubt, out of what each of them tells of its own."""

from __future__ import annotations

from typing import Any

CONDITIONS = ("distrusted", "wary", "silent")
Counts = dict[str, int]  # balancers by word, and the most failures that one of them knows of


def gather(balancers: list[dict[str, Any]]) -> dict[str, Counts]:
    """By upstream: how many balancers call it silent, distrust it or are wary of it, and failures they know.

    Others' words: what is not of the form that this release tells is passed over.
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
    """The same for people, a line for each upstream."""
    lines = []
    for name, counts in summary.items():
        conditions = ", ".join(
            f"{condition} {counts[condition]}" for condition in CONDITIONS if counts[condition]
        )
        lines.append(f"{name}: upstream in doubt, by balancers: {conditions}; {counts['failures']} failures")
    return lines
