"""What servers of different speeds tell an entry, by service.

It is used for services of which a response has stated a pace, here or, as the
slowness of engines or the failures of plain servers show, at another entry.
The others' decisions are as if all servers were alike.
"""

import collections.abc as cabc

from bulrushhold.decisions import _enginepace
from bulrushhold.decisions import _engineslowness
from bulrushhold.decisions import _serverfailures
from bulrushhold.decisions import _servicetimes
from bulrushhold import messages


class ServerSpeeds:
    """Paces, slowness, service times and failures of all servers.

    :ivar services: those whose servers state their pace.
    """

    def __init__(self) -> None:
        self.services: set[str] = set()
        self.paces = _enginepace.EnginePaces()
        self.slowness = _engineslowness.EngineSlowness()
        self.service_times = _servicetimes.ServiceTimes()
        self.failures = _serverfailures.ServerFailures()

    def record_pace(
        self, service: str, ident: str, pace: float, now: float
    ) -> None:
        """Record the pace that a response states."""
        self.services.add(service)
        self.paces.record(ident, pace, now)

    def record_read(
        self,
        service: str,
        ident: str,
        sample: messages.SpeedSample,
        now: float,
    ) -> None:
        """Record how long an engine took to read prompts."""
        if service in self.services:
            self.slowness.record(ident, sample, now)

    def record_attempt(
        self, service: str, ident: str, now: float, *, failed: bool
    ) -> None:
        """Record an attempt at a plain server."""
        if service in self.services:
            self.failures.record(ident, now, failed=failed)

    def apply_loads(
        self, summary: messages.LoadSummary, summed_at: float, now: float
    ) -> None:
        """Apply what control knows of slow engines and of failures.

        :param summed_at: time of which the summary tells.
        """
        complete = not summary.since
        self.slowness.apply_remote(
            summary.slowness, summed_at, complete=complete
        )
        self.failures.apply_others(
            summary.failures or {}, now, complete=complete
        )

    def update(self, service_by_ident: cabc.Mapping[str, str]) -> None:
        """Replace the list of servers; forget those that are gone."""
        idents = service_by_ident.keys()
        self.paces.retain(idents)
        self.slowness.retain(idents)
        self.service_times.retain(idents)
        self.failures.retain(idents)
        self.enable_reported(service_by_ident)

    def enable_reported(
        self, service_by_ident: cabc.Mapping[str, str]
    ) -> None:
        """Note the services of the servers of which control sends figures."""
        for ident in (*self.slowness.remote, *self.failures.others):
            service = service_by_ident.get(ident)
            if service is not None:
                self.services.add(service)
