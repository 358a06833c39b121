"""Metrics in the Prometheus text format (exposition format 0.0.4).

They are written by prometheus-client, which takes 1.8 MB and 30 ms of processor time to import. This module
is therefore imported on the first request for metrics, in a thread started by `mastturnd.figures`.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence

from prometheus_client import exposition
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily, Metric

__all__ = ["Metric", "by", "by_labels", "counter", "gauge", "histogram", "render"]


def gauge(name: str, text: str, value: float) -> Metric:
    """Return a gauge; its name ends with its unit."""
    return GaugeMetricFamily(name, text, value=float(value))


def counter(name: str, text: str, value: float) -> Metric:
    """Return a counter, which starts at 0 with the process; its name ends with `_total`."""
    return CounterMetricFamily(name, text, value=float(value))


def by(name: str, kind: str, text: str, label: str, values: Mapping[str, float]) -> Metric:
    """Return a metric with one sample per value of a label; `kind` is `gauge` or `counter`."""
    families: dict[str, type[GaugeMetricFamily] | type[CounterMetricFamily]] = {
        "gauge": GaugeMetricFamily,
        "counter": CounterMetricFamily,
    }
    family = families[kind](name, text, labels=[label])
    for key, value in values.items():
        family.add_metric([key], float(value))
    return family


def by_labels(name: str, text: str, labels: Sequence[str], values: Mapping[tuple[str, ...], float]) -> Metric:
    """Return a counter with one sample per combination of label values; its name ends with `_total`."""
    family = CounterMetricFamily(name, text, labels=labels)
    for key, value in sorted(values.items()):
        family.add_metric(key, float(value))
    return family


def histogram(name: str, text: str, bounds: Sequence[float], counts: Sequence[int], total: float) -> Metric:
    """Return a histogram from the counts between consecutive bounds, plus one count above the last bound."""
    buckets, cumulative = [], 0
    for bound, count in zip((*map(str, bounds), "+Inf"), counts, strict=True):
        cumulative += count
        buckets.append((bound, float(cumulative)))
    return HistogramMetricFamily(name, text, buckets=buckets, sum_value=total)


def render(metrics: Iterable[Metric]) -> bytes:
    """Return the text format; metrics without samples are left out."""
    return bytes(exposition.generate_latest(_MetricCollector([m for m in metrics if m.samples])))


class _MetricCollector:
    """Collector interface that the library's writer expects."""

    def __init__(self, metrics: Sequence[Metric]) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Return all metrics."""
        return iter(self._metrics)
