"""State and helper functions shared by all opaque requests."""

import collections.abc as cabc
import time
import typing as t

import attrs

from bulrushhold import calls
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import node
from bulrushhold import ports
from bulrushhold import routes

RETRY_AFTER_S: t.Final = 0.5


@attrs.frozen
class ForwardingContext:
    """Objects shared by all requests of one entry.

    :param entry: name of this entry.
    :param permit_source: grants permits for servers with a request limit.
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


@attrs.frozen
class Job:
    """An accepted request with its route and target service.

    :param deadline: time by the context's clock when the caller gives up.
    :param fingerprint: identical for all repetitions of the request.
    :param canary: the target version of a rollout should get the first
        attempt.
    """

    call: calls.Call
    route: routes.Route
    service: str
    account: str
    deadline: float
    fingerprint: str = ''
    canary: bool = False


def log(job: Job, decision: str, **fields: t.Any) -> None:
    """Log a decision about a request."""
    node.log_decision(
        decision, request=job.call.ident, route=job.route.name, **fields
    )


def not_run_error(
    job: Job, reason: str, retry_after_s: float = RETRY_AFTER_S
) -> errors.RequestError:
    """Return the error for a request that did not run anywhere."""
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


def record_response(
    context: ForwardingContext,
    job: Job,
    ident: str,
    head: calls.ResponseHead,
    sent_at: float,
) -> None:
    """Record what a response says of the server itself.

    :param sent_at: when the request was sent.
    """
    if head.load is not None:
        context.placement.record_reported_load(
            ident, head.load.running, head.load.waiting, context.clock()
        )
    if head.matches_request and (head.from_backend or head.limit is not None):
        _record_limit(context, job, ident, head.limit, sent_at)
    if head.matches_request and head.leaving:
        if context.placement.leaving_servers.record(ident, context.clock()):
            log(job, 'server leaving', backend=ident)
    if head.matches_request and head.backoff is not None:
        _record_backoff(context, job, ident, head.backoff)


def _record_backoff(
    context: ForwardingContext, job: Job, ident: str, backoff: calls.Backoff
) -> None:
    backoffs = context.placement.backoffs
    if backoff.seconds is None:
        context.metrics.count('backoffs.malformed')
        if backoffs.mark_malformed(ident):
            log(job, 'malformed server backoff', backend=ident)
        return
    context.metrics.count('backoffs')
    if backoffs.record(ident, backoff.seconds, context.clock()):
        log(job, 'server backoff', backend=ident, seconds=backoff.seconds)


def _record_limit(
    context: ForwardingContext,
    job: Job,
    ident: str,
    limit: calls.RequestLimit | None,
    sent_at: float,
) -> None:
    limits = context.placement.limits
    before = limits.current(ident)
    if limit is None:
        # A response without a limit may be older than the newest one with a
        # limit, unless its request was sent later.
        changed = limits.record(ident, None, sent_at)
    elif limit.per_s is None:
        if limits.mark_malformed(ident):
            log(job, 'malformed server limit', backend=ident)
        return
    else:
        changed = limits.record(ident, limit.per_s, context.clock())
    if changed:
        context.metrics.gauge('limits.servers', limits.limited_count())
        log(
            job,
            'server limit',
            backend=ident,
            per_s=limits.current(ident),
            previous_per_s=before,
        )
