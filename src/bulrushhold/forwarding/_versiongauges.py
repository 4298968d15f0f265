"""Gauges of engines and streams by software version."""

import collections
import collections.abc as cabc
import time
import typing as t

from bulrushhold import decisions
from bulrushhold import ports

UPDATE_INTERVAL_S: t.Final = 1.0


class VersionGauges:
    """Sets the gauges of each service and version that has been listed."""

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
        self.known: set[tuple[str, str]] = set()

    def update(self) -> None:
        """Set all gauges, at most once in each interval."""
        if self.clock() - self.updated_at < UPDATE_INTERVAL_S:
            return
        self.updated_at = self.clock()
        engines: collections.Counter[tuple[str, str]] = collections.Counter()
        requests: collections.Counter[tuple[str, str]] = collections.Counter()
        for backend in self.placement.backends.values():
            key = backend.service, backend.version
            engines[key] += not self.placement.is_leaving(backend)
            requests[key] += backend.inflight
        self.known.update(engines)
        for key in self.known:
            service, version = key
            labels = {'service': service, 'version': version}
            self.metrics.gauge('engines', engines[key], labels)
            self.metrics.gauge('engine_requests', requests[key], labels)
