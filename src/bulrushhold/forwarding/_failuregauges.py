"""Gauges of the shares of requests that plain servers fail."""

import collections.abc as cabc
import time
import typing as t

from bulrushhold import decisions
from bulrushhold import ports

UPDATE_INTERVAL_S: t.Final = 1.0


class FailureGauges:
    """Sets the highest share of each service whose servers state their pace.

    There is no gauge for each server, as each start has another ident.
    """

    def __init__(
        self,
        placement: decisions.Placement,
        metrics: ports.Metrics,
        clock: cabc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.placement = placement
        self.metrics = metrics
        self.clock = clock
        self.updated_at = float('-inf')

    def update(self) -> None:
        """Set all gauges, at most once in each interval."""
        now = self.clock()
        if now - self.updated_at < UPDATE_INTERVAL_S:
            return
        self.updated_at = now
        for service in self.placement.server_speeds.services:
            shares = [
                self.placement.failure_share(backend, now)
                for backend in self.placement.services.get(service, ())
            ]
            self.metrics.gauge(
                'failure_share',
                round(max(shares, default=0.0), 3),
                {'service': service},
            )
