"""Which upstreams the balancers doubt, out of what each of them tells of its own."""

from __future__ import annotations

from typing import Any

WORDS = ("distrusted", "wary", "silent")
Counts = dict[str, int]  # balancers by word, and the most failures that one of them knows of


def gather(balancers: list[dict[str, Any]]) -> dict[str, Counts]:
    """By upstream: how many balancers call it silent, distrust it or are wary of it, and failures they know.

    Others' words: what is not of the form that this release tells is passed over.
    """
    found: dict[str, Counts] = {}
    for row in balancers:
        told = (row["answer"] or {}).get("upstreams")
        for entry in told if isinstance(told, list) else ():
            if not isinstance(entry, dict) or not isinstance(name := entry.get("id"), str):
                continue
            words = {"silent"} if entry.get("silent") is True else set()
            words |= {trust} if (trust := entry.get("trust")) in ("distrusted", "wary") else set()
            if not words:
                continue
            counts = found.setdefault(name, dict.fromkeys((*WORDS, "failures"), 0))
            for word in words:
                counts[word] += 1
            failures = entry.get("failures")
            if isinstance(failures, int) and not isinstance(failures, bool):
                counts["failures"] = max(counts["failures"], failures)
    return dict(sorted(found.items()))


def format_lines(found: dict[str, Counts]) -> list[str]:
    """The same for people, a line for each upstream."""
    lines = []
    for name, counts in found.items():
        words = ", ".join(f"{word} {counts[word]}" for word in WORDS if counts[word])
        lines.append(f"{name}: upstream in doubt, by balancers: {words}; {counts['failures']} failures")
    return lines
