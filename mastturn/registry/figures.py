"""A replica's figures in OpenMetrics text, read when asked for."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.openmetrics.exposition import generate_latest

from fleet.registry.history import REVISIONS_PER_SECOND, SLOTS
from fleet.registry.replica import Replica
from mastturn.registry.http import now_ms


@dataclass(frozen=True, slots=True)
class State:
    """What there is to tell of a replica beside its decisions."""

    replica: Replica
    watches: int
    failing: bool  # the disk
    writes: Counter[str]  # answers by status
    answers: int  # to readers and peers
    heard: dict[str, float]  # when each peer last answered, on the system's monotonic clock, in seconds


class _Figures:
    """What prometheus-client asks for values."""

    def __init__(self, state: State) -> None:
        self._state = state

    def collect(self) -> Iterable[Metric]:
        """The values as they stand."""
        state = self._state
        replica = state.replica
        history = replica.history
        entries = GaugeMetricFamily("registry_entries", "Entries by list and phase", labels=["list", "phase"])
        counts = Counter((entry.list, entry.phase) for entry in history.entries())
        for (list_name, phase), number in sorted(counts.items()):
            entries.add_metric([list_name, phase], number)
        yield entries
        plain = (
            ("registry_changes", "Changes in this life", (history.revision - history.epoch) // SLOTS),
            ("registry_epoch_seconds", "Begin of this life", history.epoch // SLOTS // REVISIONS_PER_SECOND),
            ("registry_watches", "Watches that wait", state.watches),
            ("registry_leases", "Leases held here", len(replica.leases)),
            ("registry_leases_late", "Of those, late ones", replica.leases.late_count(now_ms())),
            (
                "registry_in_doubt",
                "1: too many are late, nobody is taken off",
                float(replica.is_expiry_suspended()),
            ),
            ("registry_disk_failing", "1: writes are refused", float(state.failing)),
        )
        for name, words, value in plain:
            yield GaugeMetricFamily(name, words, value)
        silence = GaugeMetricFamily(
            "registry_peer_silence_seconds", "Since a peer's last answer", labels=["peer"]
        )
        for peer, heard in sorted(state.heard.items()):
            silence.add_metric([peer], round(time.monotonic() - heard, 3))
        yield silence
        answered = CounterMetricFamily("registry_answers", "Answers to readers and peers")
        answered.add_metric([], state.answers)
        yield answered
        writes = CounterMetricFamily("registry_writes", "Answers to writes by status", labels=["status"])
        for status, number in sorted(state.writes.items()):
            writes.add_metric([status], number)
        yield writes


def figures_text(state: State) -> bytes:
    """The whole text."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Figures(state))
    text: bytes = generate_latest(registry)  # type: ignore[no-untyped-call]
    return text
