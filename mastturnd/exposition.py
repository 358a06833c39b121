"""Figures in the text form that metrics collectors read (exposition format 0.0.4).

They are written by prometheus-client, which takes 1.8 MB and 30 ms of processor time when it is first loaded:
nothing loads this module until somebody asks for figures, and then `mastturnd.figures` has a thread do it.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence

from prometheus_client import exposition
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily, Metric

__all__ = ["Metric", "by", "by_labels", "counter", "gauge", "histogram", "render"]


def gauge(name: str, text: str, value: float) -> Metric:
    """A figure that goes up and down; the name ends with its unit."""
    return GaugeMetricFamily(name, text, value=float(value))


def counter(name: str, text: str, value: float) -> Metric:
    """A figure that only rises, from 0 with the process; the name ends with `_total`."""
    return CounterMetricFamily(name, text, value=float(value))


def by(name: str, kind: str, text: str, label: str, values: Mapping[str, float]) -> Metric:
    """A figure for each value of one label; `kind` is `gauge` or `counter`."""
    families: dict[str, type[GaugeMetricFamily] | type[CounterMetricFamily]] = {
        "gauge": GaugeMetricFamily,
        "counter": CounterMetricFamily,
    }
    family = families[kind](name, text, labels=[label])
    for key, value in values.items():
        family.add_metric([key], float(value))
    return family


def by_labels(name: str, text: str, labels: Sequence[str], values: Mapping[tuple[str, ...], float]) -> Metric:
    """A counter for each combination of the values of several labels; the name ends with `_total`."""
    family = CounterMetricFamily(name, text, labels=labels)
    for key, value in sorted(values.items()):
        family.add_metric(key, float(value))
    return family


def histogram(name: str, text: str, bounds: Sequence[float], counts: Sequence[int], total: float) -> Metric:
    """How many values lay up to each bound and above the one before; one count more for those above all."""
    buckets, cumulative = [], 0
    for bound, count in zip((*map(str, bounds), "+Inf"), counts, strict=True):
        cumulative += count
        buckets.append((bound, float(cumulative)))
    return HistogramMetricFamily(name, text, buckets=buckets, sum_value=total)


def render(metrics: Iterable[Metric]) -> bytes:
    """The text form; a metric without samples is left out."""
    return bytes(exposition.generate_latest(_MetricCollector([m for m in metrics if m.samples])))


class _MetricCollector:
    """What the library asks for all figures."""

    def __init__(self, metrics: Sequence[Metric]) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """All of them."""
        return iter(self._metrics)
