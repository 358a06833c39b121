"""Formats the answer of `explain` as tables: ready sets, and recorded choices."""

from __future__ import annotations

from typing import Any

from mastturnd.tables import table


def format_explanation(explanation: dict[str, Any]) -> list[str]:
    """Return a balancer's ready sets and recorded choices as lines of text."""
    head = [
        "UPSTREAM",
        "ZONE",
        "PER S",
        "IN FLIGHT",
        "OTHERS",
        "TOKENS",
        "LOAD",
        "DRAWN",
        "CHOSEN",
        "HELD BACK",
    ]
    lines = [
        f"{explanation['node']}: of {explanation['draws']} draws the lowest load is kept: "
        "(in flight + 1) / per s"
    ]
    for group in explanation["groups"]:
        lines += ["", f"{group['svc']} {group['part'] or 'whole'}:", *table(head, _rows(group["upstreams"]))]
    for choice in explanation.get("choices", []):
        chosen = next(r for r in choice["considered"] if r["id"] == choice["chosen"])
        lines += [
            "",
            f"request {choice['request'] or '-'}, {choice['part'] or 'whole'}: {chosen['id']}, one of "
            f"{len(choice['considered'])} considered and {choice['ready']} ready",
            *table(head, _rows(choice["considered"])),
        ]
    return lines


def _rows(upstreams: list[dict[str, Any]]) -> list[list[object]]:
    return [
        [
            u["id"],
            u["zone"],
            f"{u['capacity_per_s']:.2f}",
            u["in_flight"],
            u["others"],
            u["tokens"],
            f"{u['load']:.4f}",
            f"{u['drawn'] * 100:.1f}%",
            f"{u['chosen'] * 100:.1f}%",
            _restrictions(u),
        ]
        for u in upstreams
    ]


def _restrictions(upstream: dict[str, Any]) -> str:
    """Return why an upstream is chosen less than its draws: it is silent, blocked or not trusted."""
    reasons = ["silent"] if upstream["silent"] else []
    reasons += [f"{upstream['blocked_ms']} ms"] if upstream["blocked_ms"] else []
    reasons += [trust] if (trust := str(upstream.get("trust", ""))) else []  # not sent by earlier releases
    return ", ".join(reasons)
