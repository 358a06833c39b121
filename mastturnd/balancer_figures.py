"""Metrics of a balancer."""

from __future__ import annotations

from typing import Any

from balancer.answer_log import AnswerLog
from balancer.request_counters import FIRST_EVENT_S, RequestCounters
from mastturnd.balancer_report import status
from mastturnd.exposition import Metric, by, by_labels, counter, gauge, histogram
from mastturnd.reported import ReportedRole
from passpost.response_end import Misuse

Status = dict[str, Any]  # as returned by `balancer_report.status`


def metrics(role: ReportedRole) -> list[Metric]:
    """Return the status of a balancer as metrics."""
    report = status(role)
    return [
        *_state_metrics(report),
        *_request_metrics(report, role.balancer.counters),
        *_answer_metrics(role.balancer.answer_log),
        *_control_state_metrics(report),
        *_upstream_metrics(report),
        gauge("process_resident_memory_bytes", "Memory in use.", report["memory_kb"] * 1024),
        counter("process_cpu_seconds_total", "Processor time.", report["processor_s"]),
    ]


def _state_metrics(report: Status) -> list[Metric]:
    return [
        gauge("station_ready", "1 while readiness is answered with 200.", report["ready"]),
        gauge("station_drained", "1 while the configuration drains this balancer.", report["drained"]),
        gauge("station_news_fresh", "1 while the control state is heard of.", report["fresh"]),
        gauge("station_configuration_version", "Version in force here, 0 without one.", report["ver"]),
    ]


def _request_metrics(report: Status, counters: RequestCounters) -> list[Metric]:
    ended = {name: float(count) for name, count in report["ended"].items()}
    refused, read = report["refused"], counters.tokens_read
    return [
        gauge("station_requests_in_flight", "Requests taken and not answered.", report["in_flight"]),
        by("station_requests_total", "counter", "Requests that have ended, by how.", "end", ended),
        by(
            "station_refusals_total",
            "counter",
            "Requests that got no run, by why.",
            "reason",
            refused,
        ),
        histogram(
            "station_first_event_seconds",
            "From the whole request to the first event of its stream.",
            FIRST_EVENT_S,
            counters.first_events,
            counters.first_events_s,
        ),
        by(
            "station_calls_to_cold_total",
            "counter",
            "Calls to upstreams that are slow yet after a start; again: after another upstream has failed.",
            "try",
            {which.value: float(n) for which, n in counters.calls_to_cold.items()},
        ),
        by(
            "station_prompt_tokens_total",
            "counter",
            "Prompt tokens sent to be read; again: of a request that was sent to be read before.",
            "read",
            {"first": read, "again": counters.tokens_reread},
        ),
        counter(
            "station_shared_tokens_again_total",
            "Tokens of shared parts sent to be read while another upstream has them.",
            counters.shared_tokens_reread,
        ),
    ]


def _answer_metrics(answers: AnswerLog) -> list[Metric]:
    return [
        by_labels(
            "station_upstream_answers_total",
            "Answers of upstreams that have ended, by how they tell their end and by what ended them.",
            ("framing", "end"),
            {(framing.value, end.value): n for (framing, end), n in answers.ends.items()},
        ),
        gauge(
            "station_upstreams_unframed",
            "Upstreams seen since the start whose answers have neither length nor chunks.",
            len(answers.unframed),
        ),
        by(
            "station_upstream_misuses_total",
            "counter",
            "What upstreams sent that belongs to no request that is out; its connection is given up.",
            "by",
            {misuse.value: answers.misuses[misuse] for misuse in Misuse},
        ),
    ]


def _control_state_metrics(report: Status) -> list[Metric]:
    age = report["news_age_s"]
    since = "Since the control state was last heard of."
    return [
        gauge("station_epoch", "The epoch of whoever leads, as last heard of.", report["epoch"]),
        *([gauge("station_news_age_seconds", since, age)] if age is not None else []),
        counter("station_list_calls_total", "Pages of the platform's list asked for.", report["list_calls"]),
    ]


def _upstream_metrics(report: Status) -> list[Metric]:
    parts = _counts_by_part(report)
    return [
        by("station_upstreams_up", "gauge", "Upstreams that are up.", "part", parts["up"]),
        by(
            "station_upstreams_silent",
            "gauge",
            "Upstreams that owe us a word.",
            "part",
            parts["silent"],
        ),
        by(
            "station_upstreams_distrusted",
            "gauge",
            "Upstreams that get nothing new as too many requests failed there.",
            "part",
            parts["distrusted"],
        ),
        by("station_upstream_calls", "gauge", "Our calls out.", "part", parts["calls"]),
        by(
            "station_upstream_tokens",
            "gauge",
            "Prompt tokens read for us.",
            "part",
            parts["tokens"],
        ),
    ]


def _counts_by_part(report: Status) -> dict[str, dict[str, float]]:
    """Count the upstreams by phase of a split request."""
    names = ("up", "silent", "distrusted", "calls", "tokens")
    parts: dict[str, dict[str, float]] = {name: {} for name in names}
    for entry in report["upstreams"]:
        part = entry["part"] or "whole"
        for name, more in (
            ("up", entry["state"] == "up"),
            ("silent", entry["silent"]),
            ("distrusted", entry["trust"] == "distrusted"),
            ("calls", entry["calls"]),
            ("tokens", entry["tokens"]),
        ):
            parts[name][part] = parts[name].get(part, 0) + more
    return parts
