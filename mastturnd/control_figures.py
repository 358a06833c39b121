"""Metrics of a control process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from mastturnd.control_report import status
from mastturnd.exposition import Metric, by, counter, gauge

if TYPE_CHECKING:
    from control.node import ControlNode


def metrics(node: ControlNode) -> list[Metric]:
    """Return the status of a control process as metrics."""
    report = status(node)
    parts: dict[str, int] = {}
    calls: dict[str, float] = {}
    tokens: dict[str, float] = {}
    for entry in report["upstreams"]:
        part = entry["part"] or "whole"
        parts[part] = parts.get(part, 0) + (entry["state"] == "up")
        calls[part] = calls.get(part, 0) + entry["calls"]
        tokens[part] = tokens.get(part, 0) + entry["tokens"]
    return [
        gauge("station_leads", "1 while this process is the primary.", report["standing"] == "primary"),
        gauge("station_led", "1 while a primary is heard of.", report["led"]),
        gauge(
            "station_holds",
            "1 while this process holds the data.",
            report["standing"] in ("primary", "holder"),
        ),
        gauge("station_epoch", "The epoch of the latest view known here.", report["epoch"]),
        gauge("station_configuration_version", "Version held here, 0 without one.", report["ver"]),
        gauge("station_disk_well", "1 while the disk takes writes in time.", report["disk_well"]),
        counter("station_take_overs_total", "How often this process came to lead.", report["take_overs"]),
        counter("station_synced_writes_total", "Changes that this process has synced.", report["synced"]),
        counter("station_list_calls_total", "Pages of the platform's list asked for.", report["list_calls"]),
        gauge("station_balancers_present", "Balancers present; told by the primary.", len(report["present"])),
        by("station_upstreams_up", "gauge", "Upstreams that are up; told by the primary.", "part", parts),
        by("station_upstream_calls", "gauge", "Calls out of all balancers.", "part", calls),
        by("station_upstream_tokens", "gauge", "Prompt tokens to be read, of all balancers.", "part", tokens),
        gauge("station_known_outside", "Other processes whose addresses are kept.", node.contacts.count()),
        *_tally_metrics(report["tallies"]),
        gauge("process_resident_memory_bytes", "Memory in use.", report["memory_kb"] * 1024),
        counter("process_cpu_seconds_total", "Processor time.", report["processor_s"]),
    ]


def _tally_metrics(report: dict[str, Any]) -> list[Metric]:
    differing = [member for member in report["members"] if not member["equal"]]
    differs_s = max((member["differs_ms"] for member in differing), default=0) / 1000
    return [
        gauge("station_tallies_ready", "1 while calls on tallies are answered.", report["ready"]),
        gauge("station_tally_ids", "Adds whose ids are kept.", report["ids"]),
        gauge("station_tally_folded", "Adds of which only sums are kept.", report["folded"]),
        gauge("station_tallies_differ", "Other members that have not the same adds.", len(differing)),
        gauge("station_tallies_differ_seconds", "How long one of them has not, at the most.", differs_s),
        counter("station_tally_digests_total", "Digests compared with others.", report["digests_compared"]),
        counter("station_tally_adds_sent_total", "Adds sent in repairs.", report["adds_sent"]),
        counter("station_tally_adds_repaired_total", "Adds got in repairs.", report["adds_repaired"]),
    ]
