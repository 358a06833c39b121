"""A replica's figures in OpenMetrics text, read when asked for."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterable
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.openmetrics.exposition import generate_latest

from fleet.registry.history import PER_SECOND, SLOTS
from mastturn.registry.http import now_ms

if TYPE_CHECKING:
    from mastturn.registry.service import Service


class _Figures:
    """What prometheus-client asks for values."""

    def __init__(self, service: Service) -> None:
        self._service = service

    def collect(self) -> Iterable[Metric]:
        """The values as they stand."""
        service = self._service
        replica = service.replica
        history = replica.history
        entries = GaugeMetricFamily("registry_entries", "Entries by list and phase", labels=["list", "phase"])
        counts = Counter((entry.list, entry.phase) for entry in history.entries())
        for (list_name, phase), number in sorted(counts.items()):
            entries.add_metric([list_name, phase], number)
        yield entries
        plain = (
            ("registry_changes", "Changes in this life", (history.revision - history.epoch) // SLOTS),
            ("registry_epoch_seconds", "Begin of this life", history.epoch // SLOTS // PER_SECOND),
            ("registry_watches", "Watches that wait", service.waiters.count),
            ("registry_leases", "Leases held here", len(replica.leases)),
            ("registry_leases_late", "Of those, late ones", replica.leases.late(now_ms())),
            ("registry_in_doubt", "1: too many are late, nobody is taken off", float(replica.doubts())),
            ("registry_disk_failing", "1: writes are refused", float(bool(service.failing))),
        )
        for name, words, value in plain:
            yield GaugeMetricFamily(name, words, value)
        silence = GaugeMetricFamily(
            "registry_peer_silence_seconds", "Since a peer's last answer", labels=["peer"]
        )
        for peer, heard in sorted(service.peers_heard.items()):
            silence.add_metric([peer], round(time.monotonic() - heard, 3))
        yield silence
        writes = CounterMetricFamily("registry_writes", "Answers to writes by status", labels=["status"])
        for status, number in sorted(service.counts.items()):
            writes.add_metric([status], number)
        yield writes


def figures_text(service: Service) -> bytes:
    """The whole text."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Figures(service))
    text: bytes = generate_latest(registry)  # type: ignore[no-untyped-call]
    return text
