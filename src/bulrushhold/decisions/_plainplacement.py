"""Choose the server for a request to a plain service.

Its servers differ in latency and failure rate.
"""

import random
import typing as t

from bulrushhold.decisions import _backendpool
from bulrushhold.decisions import _backendserver
from bulrushhold.decisions import _servicetimes

# A failed at-most-once request can't be retried, so a server's failure rate
# weighs more for it than for an idempotent one.
AT_MOST_ONCE_FAILURE_WEIGHT: t.Final = 20.0
IDEMPOTENT_FAILURE_WEIGHT: t.Final = 6.0
# Servers in other data centres are reached over slower links; factor of the
# expected wait.
REMOTE_WAIT_FACTOR: t.Final = 1.25
MIN_LATENCY_S: t.Final = 0.005
# Servers whose expected times differ by less are taken for equal, and one of
# them is chosen at random. Entries that know the same would otherwise all
# choose the same server.
EQUAL_TIME_SHARE: t.Final = 0.05
# Reports of changed requests at plain servers to other entries. A report at
# each change would exceed the budget of 3 KB/s at busy entries; at others, the
# begin and the end of a request are both reported.
REPORTS_PER_S: t.Final = 4.0
MAX_REPORT_CREDIT: t.Final = 2.0


class PlainPlacement(_backendpool.BackendPool):
    """Load balancer over the servers of plain services.

    :param data_centre: of this entry; backend servers there are preferred.
    """

    def __init__(self, rng: random.Random, data_centre: str = '') -> None:
        super().__init__()
        self.rng = rng
        self.data_centre = data_centre
        self.report_credit = MAX_REPORT_CREDIT
        self.credited_at = 0.0

    def request_started(
        self, backend: _backendserver.BackendServer, now: float
    ) -> None:
        """Count a plain request sent to a server."""
        backend.inflight += 1
        self._report_requests(backend, now)

    def request_ended(
        self, backend: _backendserver.BackendServer, now: float
    ) -> None:
        """Remove a plain request from a server."""
        backend.inflight -= 1
        self._report_requests(backend, now)

    def _report_requests(
        self, backend: _backendserver.BackendServer, now: float
    ) -> None:
        """Report the requests at a service's servers to other entries.

        An entry of many sends too few requests to know the queues of servers
        from their responses.
        """
        if backend.service not in self.server_speeds.services:
            return
        self.report_credit = min(
            MAX_REPORT_CREDIT,
            self.report_credit + REPORTS_PER_S * (now - self.credited_at),
        )
        self.credited_at = now
        if self.report_credit >= 1:
            self.report_credit -= 1
            self.on_load_change()

    def choose(
        self,
        service: str,
        now: float,
        *,
        at_most_once: bool,
        tried: set[str],
        canary: bool = False,
    ) -> _backendserver.BackendServer | None:
        """Return the server with the shortest expected wait.

        :param at_most_once: the request can't be retried if it fails.
        :param tried: idents of the servers already tried.
        :param canary: choose among servers of a rollout's target version.
        """
        weight = (
            AT_MOST_ONCE_FAILURE_WEIGHT
            if at_most_once
            else IDEMPOTENT_FAILURE_WEIGHT
        )

        usable = self._allowing(
            service, now, tried, at_most_once=at_most_once, canary=canary
        )
        # One that hasn't answered yet is no faster than others.
        usual_s = _mean_latency(usable)

        def wait(backend: _backendserver.BackendServer) -> float:
            load = backend.inflight + backend.remote_requests_now(now) + 1
            # Below half of its slots a server is about as fast as when idle.
            load = max(1.0, load / max(1.0, backend.slots * 0.5))
            latency = max(backend.latency or usual_s, MIN_LATENCY_S)
            penalty = 1 + weight * backend.failures_now(now)
            noise = 1 + 0.2 * self.rng.random()
            distance = REMOTE_WAIT_FACTOR if self.is_remote(backend) else 1.0
            return load * latency * penalty * noise * distance

        if service in self.server_speeds.services:
            return self._choose_by_time(usable, now, tried, weight)
        return self._best_of(usable, now, tried, wait)

    def _allowing(
        self,
        service: str,
        now: float,
        tried: set[str],
        *,
        at_most_once: bool,
        canary: bool = False,
    ) -> list[_backendserver.BackendServer]:
        """Return the servers that may receive a request now."""
        allowing = self.allowing(self.usable(service, now, canary=canary), now)
        if at_most_once:
            return self.verification.for_single_run(allowing, now, tried)
        return allowing

    def untried_plain(
        self, service: str, now: float, tried: set[str], *, at_most_once: bool
    ) -> list[_backendserver.BackendServer]:
        """Return the servers that :meth:`choose` would choose among."""
        return [
            backend
            for backend in self._allowing(
                service, now, tried, at_most_once=at_most_once
            )
            if backend.ident not in tried
        ]

    def _choose_by_time(
        self,
        usable: list[_backendserver.BackendServer],
        now: float,
        tried: set[str],
        failure_weight: float,
    ) -> _backendserver.BackendServer | None:
        """Return a server with about the shortest expected time."""
        service_times = self.server_speeds.service_times.estimates(
            [backend.ident for backend in usable], now
        )
        expected = {
            backend.ident: service_times[backend.ident]
            * self.explained_factor(backend, now)
            * (1 + failure_weight * self.failure_share(backend, now))
            * (REMOTE_WAIT_FACTOR if self.is_remote(backend) else 1.0)
            for backend in usable
        }
        best = self._best_of(usable, now, tried, lambda b: expected[b.ident])
        if best is None or best.ejected_until > now:
            return best
        limit = expected[best.ident] * (1 + EQUAL_TIME_SHARE)
        equal = [
            backend
            for backend in usable
            if expected[backend.ident] <= limit
            and backend.ident not in tried
            and backend.ejected_until <= now
        ]
        return self.rng.choice(equal)

    def failure_share(
        self, backend: _backendserver.BackendServer, now: float
    ) -> float:
        """Return the share of requests that a server is expected to fail.

        It is by the attempts of all entries if load reports are current and
        the service's servers state their pace, or else by those of this entry.
        """
        if (
            backend.service in self.server_speeds.services
            and self.has_current_loads(now)
        ):
            share = self.server_speeds.failures.share(backend.ident, now)
            if share is not None:
                return share
        return backend.failures_now(now)

    def record_attempt(self, ident: str, now: float, *, failed: bool) -> None:
        """Record an attempt at a plain server, to be reported to others.

        Failures to reach the server don't belong here: other entries learn of
        its loss at once, and may be able to reach it.
        """
        backend = self.backends.get(ident)
        if backend is not None:
            self.server_speeds.record_attempt(
                backend.service, ident, now, failed=failed
            )

    def explained_factor(
        self, backend: _backendserver.BackendServer, now: float
    ) -> float:
        """Return the expected time at a server, in its service times.

        It is what queue and pace explain of the latency.
        """
        reported = self.current_remote_load(backend, now).running
        others = backend.remote_requests_now(now, reported)
        rounds = _servicetimes.queue_rounds(
            backend.inflight, others, backend.slots
        )
        return rounds * self.server_speeds.paces.pace(backend.ident, now)

    def record_service_time(
        self, ident: str, latency_s: float, explained: float, now: float
    ) -> None:
        """Record the latency of an answered request.

        :param explained: the :meth:`explained_factor` as it was sent.
        """
        backend = self.backends.get(ident)
        if backend is None or backend.service not in (
            self.server_speeds.services
        ):
            return
        self.server_speeds.service_times.record(
            ident, latency_s, explained, now
        )

    def _best_of(
        self,
        usable: list[_backendserver.BackendServer],
        now: float,
        tried: set[str],
        cost: t.Callable[[_backendserver.BackendServer], float],
        *,
        healthy_only: bool = False,
        preferred: t.Container[str] = (),
    ) -> _backendserver.BackendServer | None:
        untried = [b for b in usable if b.ident not in tried]
        healthy = [b for b in untried if b.ejected_until <= now]
        if healthy:
            shortlist = [b for b in healthy if b.ident in preferred]
            return min(shortlist or healthy, key=cost)
        if healthy_only or not untried:
            return None
        # All are ejected: the one ejected first has most likely recovered.
        return min(untried, key=lambda b: b.ejected_until)

    def is_remote(self, backend: _backendserver.BackendServer) -> bool:
        """Whether a server isn't in the data centre of this entry."""
        return self.data_centre not in ('', backend.data_centre)


def _mean_latency(servers: list[_backendserver.BackendServer]) -> float:
    """Return the mean of the latencies that were measured; 0 if none was."""
    measured = [server.latency for server in servers if server.latency]
    return sum(measured) / len(measured) if measured else 0.0
