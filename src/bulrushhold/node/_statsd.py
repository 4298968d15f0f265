"""Metrics sent to statsd over UDP."""

import urllib.parse

import statsd

from bulrushhold import ports
from bulrushhold import settings


class StatsdMetrics(ports.Metrics):
    """Sends each value as a datagram, which may be lost.

    :param prefix: prepended to every name, such as ``bulrushhold.entry``.
    """

    def __init__(self, target: settings.Metrics, prefix: str) -> None:
        self.client = statsd.StatsClient(
            target.host, target.port, prefix=prefix
        )

    def count(
        self,
        name: str,
        amount: int = 1,
        labels: ports.Labels = ports.NO_LABELS,
    ) -> None:
        """Add to a counter."""
        self.client.incr(_labelled(name, labels), amount)

    def time(self, name: str, seconds: float) -> None:
        """Record a duration; statsd expects milliseconds."""
        self.client.timing(name, seconds * 1000)

    def gauge(
        self,
        name: str,
        value: float,
        labels: ports.Labels = ports.NO_LABELS,
    ) -> None:
        """Set a gauge."""
        self.client.gauge(_labelled(name, labels), value)

    def remove_gauge(self, name: str, labels: ports.Labels) -> None:
        """Do nothing: no value is kept here."""


class NullMetrics(ports.Metrics):
    """Discards all metrics; used if no statsd is configured."""

    def count(
        self,
        name: str,
        amount: int = 1,
        labels: ports.Labels = ports.NO_LABELS,
    ) -> None:
        """Discard the value."""

    def time(self, name: str, seconds: float) -> None:
        """Discard the value."""

    def gauge(
        self,
        name: str,
        value: float,
        labels: ports.Labels = ports.NO_LABELS,
    ) -> None:
        """Discard the value."""

    def remove_gauge(self, name: str, labels: ports.Labels) -> None:
        """Do nothing."""


def _labelled(name: str, labels: ports.Labels) -> str:
    """Return a name that ends in the labels' values.

    Values are percent-encoded, so that they separate no levels of the name
    and different values give different names.
    """
    values = [
        urllib.parse.quote(value, safe='').replace('.', '%2E')
        for value in labels.values()
    ]
    return '.'.join([name, *values])


def make(target: settings.Metrics | None, prefix: str) -> ports.Metrics:
    """Return metrics for statsd, or null metrics without a target."""
    return NullMetrics() if target is None else StatsdMetrics(target, prefix)
