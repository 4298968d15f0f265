"""State and helper functions shared by all opaque requests."""

import collections.abc as cabc
import time
import typing as t

import attrs

from bulrushhold import calls
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold.forwarding import _liveness
from bulrushhold.forwarding import _origins
from bulrushhold.forwarding import _places
from bulrushhold.forwarding import _retrypool
from bulrushhold.forwarding import _running
from bulrushhold.forwarding import _scheduling
from bulrushhold.forwarding import _versionchecks
from bulrushhold import node
from bulrushhold import ports
from bulrushhold import routes

RETRY_AFTER_S: t.Final = 0.5


@attrs.frozen
class ForwardingContext:
    """Objects shared by all requests of one entry.

    :param entry: name of this entry.
    :param permit_source: grants permits for servers with a request limit.
    :param places: gets places at brittle servers.
    :param origins: keeps which versions began streams.
    :param retry_pool: grants retries beyond this entry's share of a budget.
    :param scheduling: decides on streams of services with ordered admission.
    :ivar running: the requests that end as they become blocked.
    :ivar probes: liveness probes of engines.
    :ivar version_checks: whether engines run the version that is listed.
    """

    placement: decisions.Placement
    client: calls.BackendClient
    budget: decisions.ServiceRetryBudget
    metrics: ports.Metrics
    poison_requests: decisions.PoisonRequestDetector
    admission: decisions.AdmissionController
    entry: str
    permit_source: ports.PermitSource
    clock: cabc.Callable[[], float] = time.monotonic
    places: _places.PlaceSource = attrs.field(factory=_places.UnlimitedPlaces)
    origins: _origins.OriginSource = attrs.field(factory=_origins.LocalOrigins)
    scheduling: _scheduling.StreamScheduling = attrs.field(
        factory=_scheduling.LocalScheduling
    )
    retry_pool: _retrypool.RetryPool = attrs.field(
        factory=_retrypool.NoRetryPool
    )
    waiting_order: decisions.WaitingOrder = attrs.field(
        factory=decisions.WaitingOrder
    )
    running: _running.RunningRequests = attrs.field(init=False)
    probes: _liveness.LivenessProbes = attrs.field(init=False)
    version_checks: _versionchecks.VersionChecks = attrs.field(init=False)

    @running.default
    def _make_running(self) -> _running.RunningRequests:
        return _running.RunningRequests(self.poison_requests)

    @probes.default
    def _make_probes(self) -> _liveness.LivenessProbes:
        return _liveness.LivenessProbes(self.client)

    @version_checks.default
    def _make_version_checks(self) -> _versionchecks.VersionChecks:
        return _versionchecks.VersionChecks(
            self.client, self.placement, self.clock
        )

    def __attrs_post_init__(self) -> None:
        self.placement.on_replaced = self.confirm_crash
        self.placement.on_answering_again = self._clear_silence

    def _clear_silence(self, ident: str, seconds: float) -> None:
        self.poison_requests.clear_silences(ident)
        self.metrics.count('engines.answering_again')
        node.log_decision(
            'server answers again', backend=ident, seconds=round(seconds, 3)
        )

    def confirm_crash(self, ident: str) -> None:
        """Record the crash of a server that broke requests off.

        It was replaced, has ended, or has been silent for too long.
        """
        now = self.clock()
        self.placement.silent_since.pop(ident, None)
        if self.poison_requests.was_reset(ident, now):
            self.placement.record_failure(ident, now, unreachable=True)
            self.poison_requests.record_replaced(ident, now)


@attrs.frozen
class Job:
    """An accepted request with its route and target service.

    :param deadline: time by the context's clock when the caller gives up.
    :param fingerprint: identical for all repetitions of the request.
    :param canary: the target version of a rollout should get the first
        attempt.
    :param version: version that began the stream which the call resumes;
        ``None`` if the call begins one.
    :param priority: rank among the requests of its service, 0 being the most
        urgent; ``None`` if admission to the service isn't ordered.
    :param engine_priority: the priority that engines get with it.
    """

    call: calls.Call
    route: routes.Route
    service: str
    account: str
    deadline: float
    fingerprint: str = ''
    canary: bool = False
    version: str | None = None
    priority: int | None = None
    engine_priority: int | None = None


def log(job: Job, decision: str, **fields: t.Any) -> None:
    """Log a decision about a request."""
    node.log_decision(
        decision, request=job.call.ident, route=job.route.name, **fields
    )


def not_run_error(
    job: Job, reason: str, retry_after_s: float | None = RETRY_AFTER_S
) -> errors.RequestError:
    """Return the error for a request that did not run anywhere.

    :param retry_after_s: ``None`` if a retry can't help.
    """
    return errors.RequestError(
        reason,
        'forward',
        job.service,
        ran=errors.Ran.NO,
        status=503,
        retry_after=retry_after_s,
    )


def unknown_outcome_error(
    job: Job, reason: str, peer: str, *, timed_out: bool = False
) -> errors.RequestError:
    """Return the error for a request that may have run."""
    return errors.RequestError(
        reason,
        'forward',
        peer,
        ran=errors.Ran.UNKNOWN,
        status=504 if timed_out else 502,
    )
