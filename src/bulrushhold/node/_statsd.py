"""Metrics by statsd, over UDP."""

import statsd

from bulrushhold import ports
from bulrushhold import settings


class StatsdMetrics(ports.Metrics):
    """Sends each figure as one datagram, which may be lost.

    :param prefix: put before every name, such as ``bulrushhold.entry``.
    """

    def __init__(self, target: settings.Metrics, prefix: str) -> None:
        self.client = statsd.StatsClient(
            target.host, target.port, prefix=prefix
        )

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.client.incr(name, amount)

    def time(self, name: str, seconds: float) -> None:
        """Record one duration, sent in milliseconds as statsd wants."""
        self.client.timing(name, seconds * 1000)

    def gauge(self, name: str, value: float) -> None:
        """Set a level."""
        self.client.gauge(name, value)


class NoMetrics(ports.Metrics):
    """Takes figures to nowhere, where no statsd is set."""

    def count(self, name: str, amount: int = 1) -> None:
        """Drop the figure."""

    def time(self, name: str, seconds: float) -> None:
        """Drop the figure."""

    def gauge(self, name: str, value: float) -> None:
        """Drop the figure."""


def make(target: settings.Metrics | None, prefix: str) -> ports.Metrics:
    """Return the metrics that the settings ask for."""
    return NoMetrics() if target is None else StatsdMetrics(target, prefix)
