"""Gauges of engines and streams by software version."""

import collections
import collections.abc as cabc
import time
import typing as t

from bulrushhold import decisions
from bulrushhold import ports

UPDATE_INTERVAL_S: t.Final = 1.0
# Time for which a version that is gone is shown with zeros.
RETENTION_S: t.Final = 120.0
GAUGES: t.Final = ('engines', 'engine_requests')


class VersionGauges:
    """Sets the gauges of each service and version that has been listed.

    :ivar listed_at: when each was last listed. It is forgotten after a time:
        other systems may list any number of versions.
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
        self.listed_at: dict[tuple[str, str], float] = {}

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
        now = self.updated_at
        self.listed_at.update(dict.fromkeys(engines, now))
        for key, listed_at in list(self.listed_at.items()):
            service, version = key
            labels = {'service': service, 'version': version}
            if now - listed_at > RETENTION_S:
                del self.listed_at[key]
                for name in GAUGES:
                    self.metrics.remove_gauge(name, labels)
                continue
            self.metrics.gauge('engines', engines[key], labels)
            self.metrics.gauge('engine_requests', requests[key], labels)
