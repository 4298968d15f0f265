"""Track the state of all backend servers as seen by one entry.

An entry knows its own requests exactly, and those of other entries only from
load reports, with a delay.
"""

import random
import typing as t

from bulrushhold.decisions import _backendserver
from bulrushhold.decisions import _cachedprompts
from bulrushhold.decisions import _datacentrefailures
from bulrushhold.decisions import _enginelosses
from bulrushhold.decisions import _enginespeeds
from bulrushhold.decisions import _incarnations
from bulrushhold.decisions import _reachability
from bulrushhold.decisions import _rejections
from bulrushhold.decisions import _reportedlosses
from bulrushhold.decisions import _serverdemands
from bulrushhold.decisions import _serverspeeds
from bulrushhold.decisions import _usableservers
from bulrushhold.decisions import _verification
from bulrushhold.decisions import _versionhistory
from bulrushhold.decisions import _versionsplit
from bulrushhold import messages

# Weights of the newest sample in the moving averages of latency and failures.
LATENCY_SMOOTHING: t.Final = 0.1
FAILURE_SMOOTHING: t.Final = 0.2
# A prompt that finds no free memory waits until another stream ends. The rest
# is reserved for growing streams and for load that isn't reported yet.
MAX_MEMORY_SHARE: t.Final = 0.85
EJECTION_S: t.Final = 1.0
# A lost engine looks idle and would attract the next prompts of all entries,
# although it is probably still down or has restarted under another ident. For
# this time it is the last choice.
PROBATION_S: t.Final = 6.0
# Load reports older than this are ignored.
LOAD_REPORT_TTL_S: t.Final = 2.0


def _do_nothing(*change: str) -> None:
    """Ignore a change; used until a listener is set."""


class BackendPool:
    """All known backend servers with their load and failures.

    :ivar on_load_change: called when this entry's load changes.
    :ivar on_replaced: called with the ident of a server that is no longer at
        its address, although it wasn't leaving.
    :ivar on_answering_again: called with the ident of a server that was
        silent, and for how long, in seconds.
    :ivar silent_since: when servers were found silent, by ident.
    :ivar load_age_s: age of the last load summary when it was received.
    :ivar capacity: memory of one engine in tokens, by service.
    :ivar lost: listed servers that were lost within ``PROBATION_S``, and
        earlier ones until the next look.
    :ivar reported_losses: those of them that only other entries have met.
    :ivar cached_prompts: the prompts that engines have read.
    :ivar verification: which servers have shown that they are ones.
    """

    def __init__(self) -> None:
        self.on_load_change: t.Callable[[], None] = _do_nothing
        self.on_replaced: t.Callable[[str], None] = _do_nothing
        self.on_answering_again: t.Callable[[str, float], None] = (
            lambda ident, seconds: None
        )
        self.silent_since: dict[str, float] = {}
        self.pending_losses: list[str] = []
        self.pending_replaced: list[str] = []
        self.last_report_at = 0.0
        self.load_age_s = 0.0
        self.remote_loads: dict[str, messages.EngineLoad] = {}
        self.stale_data_centres: list[str] = []
        self.capacity: dict[str, int] = {}
        self.speeds = _enginespeeds.EngineSpeeds()
        self.versions = _versionsplit.VersionSplit(random.Random())
        self.known_versions = _versionhistory.KnownVersions()
        self.incarnations = _incarnations.Incarnations()
        self.demands = _serverdemands.ServerDemands()
        self.losses = _enginelosses.EngineLosses(self._addresses_at)
        self.reachability = _reachability.Reachability(random.Random())
        self.backends: dict[str, _backendserver.BackendServer] = {}
        self.services: dict[str, list[_backendserver.BackendServer]] = {}
        self.lost: list[_backendserver.BackendServer] = []
        self.reported_losses = _reportedlosses.ReportedLosses()
        self.usable_cache = _usableservers.UsableCache()
        self.replaced_idents: set[str] = set()
        self.data_centre_failures = _datacentrefailures.DataCentreFailures()
        self.cached_prompts = _cachedprompts.CachedPrompts()
        self.server_speeds = _serverspeeds.ServerSpeeds()
        self.rejections = _rejections.Rejections()
        self.verification = _verification.Verification()

    def update(self, listed: list[messages.ListedBackend]) -> None:
        """Replace the list of servers; keep the state of remaining ones."""
        self._report_missing({item.ident for item in listed})
        backends = {}
        for item in listed:
            server = self.backends.get(item.ident)
            if server is None or (server.address, server.version) != (
                item.address,
                item.version,
            ):
                self.verification.forget(item.ident)
                server = _backendserver.BackendServer(
                    item.ident,
                    item.service,
                    item.address,
                    item.data_centre,
                    item.slots,
                    remote_load=self.remote_loads.get(
                        item.ident, _backendserver.NO_LOAD
                    ),
                    version=item.version,
                )
            server.leaving = item.leaving
            backends[item.ident] = server
        self.backends = backends
        self.lost = [b for b in self.lost if backends.get(b.ident) is b]
        self.replaced_idents &= backends.keys()
        for ident in self.silent_since.keys() - backends.keys():
            del self.silent_since[ident]
        self.reported_losses.retain(backends.keys())
        self.demands.retain(backends.keys())
        self.rejections.retain(backends.keys())
        self.verification.retain(backends.keys())
        self.incarnations.retain(backends.keys())
        self.server_speeds.update(
            {ident: backend.service for ident, backend in backends.items()}
        )
        self.usable_cache.clear()
        self.services = {}
        for backend in backends.values():
            self.services.setdefault(backend.service, []).append(backend)
        self.reachability.retain(self.services)
        self.known_versions.update_listed(
            _versionhistory.listed_versions(listed)
        )
        self.versions.update_listed(
            self.known_versions.listed,
            self.verification.usable_versions(backends.values()),
            self.known_versions.recorded,
        )

    def _report_missing(self, listed: set[str]) -> None:
        for ident, backend in self.backends.items():
            if ident not in listed and not self.is_leaving(backend):
                self.on_replaced(ident)

    def usable(
        self,
        service: str,
        now: float = 0.0,
        *,
        canary: bool = False,
        version: str | None = None,
    ) -> list[_backendserver.BackendServer]:
        """Return the servers that may receive new requests.

        The list must not be changed.

        :param canary: for a request that the target version of a running
            rollout should get.
        :param version: for a stream that this version has begun.
        """
        return self.usable_servers(
            service, now, canary=canary, version=version
        ).servers

    def usable_servers(
        self,
        service: str,
        now: float = 0.0,
        *,
        canary: bool = False,
        version: str | None = None,
    ) -> _usableservers.UsableServers:
        """Return the same as :meth:`usable`, with what is derived from it."""
        rule = self.versions.rule(service, now, canary=canary, version=version)
        gone = self.demands.leaving.until.keys() | self.replaced_idents
        gone |= self.verification.left_alone(self.backends, gone, now)
        return self.usable_cache.usable(service, rule, self.services, gone)

    def backend_at(self, address: str) -> _backendserver.BackendServer | None:
        """Return the listed server at an address."""
        for backend in self.backends.values():
            if backend.address == address:
                return backend
        return None

    def is_leaving(self, backend: _backendserver.BackendServer) -> bool:
        """Whether a server shuts down, by the list or by its own word."""
        return backend.leaving or backend.ident in self.demands.leaving

    def is_gone(self, backend: _backendserver.BackendServer) -> bool:
        """Whether a server is no longer at its address, and wasn't leaving."""
        if backend.ident in self.replaced_idents:
            return True
        is_listed = backend.ident in self.backends
        return not (is_listed or self.is_leaving(backend))

    def is_brittle(self, backend: _backendserver.BackendServer) -> bool:
        """Whether a server fails if it has to reject many requests."""
        return backend.service in self.demands.brittle

    def allowing(
        self, servers: list[_backendserver.BackendServer], now: float
    ) -> list[_backendserver.BackendServer]:
        """Return the servers that aren't held."""
        held = self.demands.held(now)
        return [s for s in servers if s.ident not in held] if held else servers

    def untried(
        self,
        service: str,
        now: float,
        tried: set[str],
        version: str | None = None,
    ) -> list[_backendserver.BackendServer]:
        """Return the servers not tried yet that allow a request now."""
        return [
            backend
            for backend in self.allowing(
                self.usable(service, now, version=version), now
            )
            if backend.ident not in tried
        ]

    def all_reject(self, service: str, now: float) -> bool:
        """Whether all servers of a service have just rejected requests."""
        usable = self.usable(service, now)
        servers = self.verification.without_strangers(usable) or usable
        return self.rejections.all_reject(servers, now)

    def next_held(
        self,
        service: str,
        now: float,
        tried: set[str],
        version: str | None = None,
    ) -> _backendserver.BackendServer | None:
        """Return the untried held server that allows a request first."""
        held = [
            backend
            for backend in self.usable(service, now, version=version)
            if backend.ident not in tried
            and self.demands.is_held(backend.ident, now)
        ]
        return min(
            held, key=lambda b: self.demands.free_at(b.ident), default=None
        )

    def can_hold(self, service: str, tokens: int) -> bool:
        """Return whether an otherwise empty engine has memory for a prompt."""
        capacity = self.capacity.get(service, 0)
        return not capacity or tokens <= capacity

    def max_memory(self, service: str, max_share: float) -> float:
        """Return the tokens that may be held on an engine.

        Infinite if the memory of the service's engines is unknown.

        :param max_share: share of an engine's memory, 0 to 1.
        """
        capacity = self.capacity.get(service, 0)
        return capacity * max_share if capacity else float('inf')

    def has_room(
        self,
        backend: _backendserver.BackendServer,
        now: float,
        tokens: int,
        max_share: float,
    ) -> bool:
        others = self.current_remote_load(backend, now).memory
        max_memory = self.max_memory(backend.service, max_share)
        return backend.memory + others + tokens <= max_memory

    def current_remote_load(
        self, backend: _backendserver.BackendServer, now: float
    ) -> messages.EngineLoad:
        """Return the load that other entries report, or none if outdated.

        Otherwise an engine that was full when reports ceased would seem full
        from then on, and streams would wait although engines are idle.
        """
        if self.has_current_loads(now):
            return backend.remote_load
        return _backendserver.NO_LOAD

    def current_loads(
        self, backends: list[_backendserver.BackendServer], now: float
    ) -> list[messages.EngineLoad]:
        """Return :meth:`current_remote_load` of several servers."""
        if self.has_current_loads(now):
            return [backend.remote_load for backend in backends]
        return [_backendserver.NO_LOAD] * len(backends)

    def has_current_loads(self, now: float) -> bool:
        """Whether the load that other entries report isn't outdated."""
        return now - self.last_report_at < LOAD_REPORT_TTL_S

    def may_hold_copy(
        self, backend: _backendserver.BackendServer, since: float
    ) -> bool:
        """Return whether a copy made at ``since`` can still exist."""
        return (
            backend.ident in self.backends
            and backend.ident not in self.replaced_idents
            and not self.is_leaving(backend)
            and backend.lost_at < since
        )

    # Recording events

    def record_failure(
        self, ident: str, now: float, *, unreachable: bool
    ) -> None:
        """Record a failed request.

        :param unreachable: the server can't be reached or doesn't answer.
        """
        backend = self.backends.get(ident)
        if backend is None:
            return
        self.verification.record_failure(ident, now, unreachable=unreachable)
        self._sample_failure(backend, 1.0, now)
        if unreachable:
            self.reported_losses.record_own(ident)
            if backend.ejected_until <= now:
                self.pending_losses.append(ident)
                self.on_load_change()
            self._eject(backend, now)

    def record_silence(self, ident: str, now: float) -> None:
        """Record that a server doesn't answer, until it does."""
        if ident in self.backends:
            self.silent_since.setdefault(ident, now)

    def record_answer(self, ident: str, now: float) -> None:
        """Record that a server has answered."""
        since = self.silent_since.pop(ident, None)
        backend = self.backends.get(ident)
        if since is None or backend is None:
            return
        is_published = ident not in self.pending_losses
        if is_published and now - backend.lost_at < PROBATION_S:
            self._publish_answer(ident)
        self._clear_loss(backend)
        self.on_answering_again(ident, now - since)

    def reported_to_probe(self, entry: str, now: float) -> list[str]:
        """Return the servers lost at others that an entry has to probe."""
        reported = self.reported_losses.to_probe(entry, now - PROBATION_S)
        return [i for i in reported if i not in self.silent_since]

    def record_reported_answer(self, ident: str) -> None:
        """Record that a server that others reported as lost has answered."""
        if self._clear_reported_loss(ident):
            self._publish_answer(ident)

    def _publish_answer(self, ident: str) -> None:
        self.reported_losses.publish_answer(ident)
        self.on_load_change()

    def _clear_reported_loss(self, ident: str) -> bool:
        """Forget a loss that others have reported.

        :return: whether there was one that this entry hasn't met itself.
        """
        backend = self.backends.get(ident)
        if backend is None or ident not in self.reported_losses.lost_at:
            return False
        self._clear_loss(backend)
        return True

    def _clear_loss(self, backend: _backendserver.BackendServer) -> None:
        backend.lost_at = float('-inf')
        backend.ejected_until = 0.0
        self.losses.record_alive(backend.address)
        if backend.ident in self.pending_losses:
            self.pending_losses.remove(backend.ident)
        location = (backend.service, backend.data_centre)
        self.data_centre_failures.remove(location, backend.ident)
        self.reported_losses.discard(backend.ident)

    def _addresses_at(self, location: tuple[str, str]) -> list[str]:
        service, data_centre = location
        return [
            backend.address
            for backend in self.services.get(service, ())
            if backend.data_centre == data_centre
        ]

    def _eject(
        self, backend: _backendserver.BackendServer, now: float
    ) -> None:
        if all(lost is not backend for lost in self.lost):
            self.lost.append(backend)
        backend.lost_at = now
        backend.ejected_until = now + EJECTION_S
        location = (backend.service, backend.data_centre)
        self.losses.record(backend.ident, location, now, backend.address)
        self.data_centre_failures.record(location, backend.ident, now)

    def recently_lost(self, now: float) -> list[_backendserver.BackendServer]:
        """Return the listed servers that were lost a short time ago.

        All others are healthy, except in a data centre that is failing. The
        list must not be changed.
        """
        if self.lost:
            self.lost = [b for b in self.lost if now - b.lost_at < PROBATION_S]
        return self.lost

    def retract_losses(self, service: str, since: float) -> None:
        """Forget losses that this entry has taken for crashes.

        It reaches none of the service's servers, whether they are up or not.
        """
        for backend in self.services.get(service, ()):
            if backend.lost_at < since:
                continue
            self._clear_loss(backend)
            location = (backend.service, backend.data_centre)
            self.data_centre_failures.forget(location)

    def record_success(
        self, ident: str, now: float, latency: float | None
    ) -> None:
        """Record a successful request and its latency, if measured."""
        backend = self.backends.get(ident)
        if backend is None:
            return
        self._sample_failure(backend, 0.0, now)
        self.verification.record_success(ident)
        self.record_answer(ident, now)
        self.losses.record_alive(backend.address)
        backend.ejected_until = 0.0
        if latency is not None:
            old = backend.latency or latency
            backend.latency = old + LATENCY_SMOOTHING * (latency - old)

    def record_reported_load(
        self, ident: str, running: int, waiting: int, now: float
    ) -> None:
        """Record the load that a server reported about itself."""
        backend = self.backends.get(ident)
        if backend is not None:
            remote_requests = running + waiting - backend.inflight
            backend.remote_requests = max(0.0, remote_requests)
            backend.remote_requests_at = now

    def stream_started(
        self, backend: _backendserver.BackendServer, tokens: int
    ) -> None:
        """Count a stream sent to an engine, with its prompt yet to be read."""
        backend.inflight += 1
        backend.reading += tokens
        self.on_load_change()

    def prompt_read(
        self, backend: _backendserver.BackendServer, tokens: int
    ) -> None:
        """Count a stream's prompt as read."""
        backend.reading -= tokens
        self.on_load_change()

    def stream_ended(
        self, backend: _backendserver.BackendServer, tokens: int
    ) -> None:
        """Remove a stream from an engine, with its unread prompt tokens."""
        backend.inflight -= 1
        backend.reading -= tokens
        self.on_load_change()

    def load_report(
        self,
        entry: str,
        traffic: dict[str, messages.ServiceTraffic],
        now: float,
    ) -> messages.LoadReport:
        """Return this entry's load report; clear the pending events."""
        self.demands.leaving.expire(now)
        lost, self.pending_losses = self.pending_losses, []
        replaced, self.pending_replaced = self.pending_replaced, []
        loads = {
            backend.ident: messages.EngineLoad(
                backend.reading, backend.inflight, backend.memory
            )
            for backend in self.backends.values()
            if backend.inflight or backend.memory
        }
        return messages.LoadReport(
            entry,
            loads,
            lost,
            replaced,
            traffic,
            speeds=self.speeds.snapshot(now),
            evidence=self.versions.evidence(),
            limits=self.demands.limits.take_unreported(now),
            samples=self.server_speeds.slowness.take_unreported(loads),
            failures=self.server_speeds.failures.take_unreported(now),
            answering=self.reported_losses.take_answers(),
        )

    def _apply_engines(self, summary: messages.LoadSummary) -> None:
        if not summary.since:
            self.remote_loads = dict(summary.engines)
            for ident, backend in self.backends.items():
                backend.remote_load = self.remote_loads.get(
                    ident, _backendserver.NO_LOAD
                )
            return
        self.remote_loads.update(summary.engines)
        for ident, load in summary.engines.items():
            if load == _backendserver.NO_LOAD:
                del self.remote_loads[ident]
            if ident in self.backends:
                self.backends[ident].remote_load = load

    def requeue_events(self, report: messages.LoadReport) -> None:
        """Queue the events of a report that may not have been delivered."""
        self.pending_losses = report.lost + self.pending_losses
        self.pending_replaced = report.replaced + self.pending_replaced
        self.demands.limits.requeue(report.limits)
        for ident in report.answering or ():
            if ident not in self.pending_losses:
                self.reported_losses.publish_answer(ident)

    def confirm_loads(self, now: float) -> None:
        """Record that the load of other entries hasn't changed."""
        self.last_report_at = now - self.load_age_s
        self.server_speeds.slowness.confirm(self.last_report_at)

    def apply_loads(self, summary: messages.LoadSummary, now: float) -> None:
        """Apply a summary of what other entries report."""
        self.load_age_s = summary.age_s
        self.last_report_at = now - summary.age_s
        self.stale_data_centres = summary.silent
        self.speeds.apply_remote_samples(summary.speeds)
        self._apply_engines(summary)
        self.server_speeds.apply_loads(summary, self.last_report_at, now)
        if summary.slowness or summary.failures:
            self.server_speeds.enable_reported(
                {ident: b.service for ident, b in self.backends.items()}
            )
        for ident in summary.lost:
            backend = self.backends.get(ident)
            if backend is None or backend.ejected_until > now:
                continue
            self.verification.record_failure(ident, now, unreachable=True)
            was_lost = now - backend.lost_at < PROBATION_S
            if not was_lost or ident in self.reported_losses.lost_at:
                self.reported_losses.record(ident, now)
            self._eject(backend, now)
        for ident in summary.answering or ():
            self._clear_reported_loss(ident)
        for ident in summary.replaced:
            if ident not in self.replaced_idents:
                self.replaced_idents.add(ident)
                self.on_replaced(ident)

    def mark_replaced(self, ident: str) -> None:
        """Record that another server now uses this one's address."""
        if ident not in self.replaced_idents:
            self.replaced_idents.add(ident)
            self.pending_replaced.append(ident)
            self.on_load_change()
            self.on_replaced(ident)

    def _sample_failure(
        self, backend: _backendserver.BackendServer, sample: float, now: float
    ) -> None:
        old = backend.failures_now(now)
        backend.failures = old + FAILURE_SMOOTHING * (sample - old)
        backend.failed_at = now
