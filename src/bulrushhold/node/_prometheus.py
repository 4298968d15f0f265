"""Metrics in the text format of Prometheus."""

import re

import prometheus_client

from bulrushhold import ports

# From a plain response to a long stream.
BUCKETS_S = (0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)
_INVALID_CHARACTERS = re.compile('[^a-zA-Z0-9_]')


class PrometheusMetrics(ports.Metrics):
    """Collects metrics in this process for Prometheus to scrape.

    :param prefix: prepended to every metric name.
    """

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix
        self.registry = prometheus_client.CollectorRegistry()
        self.counters: dict[str, prometheus_client.Counter] = {}
        self.histograms: dict[str, prometheus_client.Histogram] = {}
        self.gauges: dict[str, prometheus_client.Gauge] = {}

    def count(
        self,
        name: str,
        amount: int = 1,
        labels: ports.Labels = ports.NO_LABELS,
    ) -> None:
        """Add to a counter."""
        counter = self.counters.get(name)
        if counter is None:
            counter = prometheus_client.Counter(
                self._metric_name(name), name, labels, registry=self.registry
            )
            self.counters[name] = counter
        (counter.labels(**labels) if labels else counter).inc(amount)

    def time(self, name: str, seconds: float) -> None:
        """Record a duration in a histogram."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = prometheus_client.Histogram(
                self._metric_name(name) + '_seconds',
                name,
                registry=self.registry,
                buckets=BUCKETS_S,
            )
            self.histograms[name] = histogram
        histogram.observe(seconds)

    def gauge(
        self,
        name: str,
        value: float,
        labels: ports.Labels = ports.NO_LABELS,
    ) -> None:
        """Set a gauge."""
        gauge = self.gauges.get(name)
        if gauge is None:
            gauge = prometheus_client.Gauge(
                self._metric_name(name), name, labels, registry=self.registry
            )
            self.gauges[name] = gauge
        (gauge.labels(**labels) if labels else gauge).set(value)

    def remove_gauge(self, name: str, labels: ports.Labels) -> None:
        """Forget a gauge's value for labels that aren't used any more."""
        gauge = self.gauges.get(name)
        if gauge is not None:
            gauge.remove(*labels.values())

    def text(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return prometheus_client.generate_latest(self.registry)

    def _metric_name(self, name: str) -> str:
        return f'{self.prefix}_{_INVALID_CHARACTERS.sub("_", name)}'


def make(prefix: str) -> PrometheusMetrics:
    """Return metrics for Prometheus."""
    return PrometheusMetrics(prefix)
