"""Metrics of a control process without a disk."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastturnd.exposition import Metric, counter, gauge
from mastturnd.version import memory_kb, processor_s

if TYPE_CHECKING:
    from mastturnd.referral import ReferralNode


def metrics(node: ReferralNode) -> list[Metric]:
    """Return the metrics of such a process."""
    return [
        gauge("station_led", "1 while a primary is heard of.", node.leader() is not None),
        gauge("station_members_known", "Members of the latest view known here.", node.known_members()),
        gauge("process_resident_memory_bytes", "Memory in use.", memory_kb() * 1024),
        counter("process_cpu_seconds_total", "Processor time.", processor_s()),
    ]
