"""Records what responses say of the backend servers themselves."""

from bulrushhold import calls
from bulrushhold.forwarding import _context


def record_head(
    context: _context.ForwardingContext,
    job: _context.Job,
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
    if not head.matches_request:
        return
    _record_identity(context, ident, head)
    if head.load is not None and head.instance in ('', ident):
        _record_pace(context, job, ident, head.load)
    if head.load_malformed:
        context.metrics.count('loads.malformed')
        _log_malformed(context, job, ident, 'load')
    if head.from_backend or head.limit is not None:
        _record_limit(context, job, ident, head.limit, sent_at)
    if head.from_backend or head.brittleness is not None:
        _record_brittleness(context, job, ident, head.brittleness, sent_at)
    if head.leaving:
        _record_leaving(context, job, ident)
    if head.backoff is not None:
        _record_backoff(context, job, ident, head.backoff)


def _record_identity(
    context: _context.ForwardingContext,
    ident: str,
    head: calls.ResponseHead,
) -> None:
    # Another process has the server's address.
    if head.status == 421 or head.instance not in ('', ident):
        return
    if head.not_run:
        context.placement.verification.record_answer(ident)
    elif head.from_backend:
        context.placement.verification.record_head(ident)


def _record_pace(
    context: _context.ForwardingContext,
    job: _context.Job,
    ident: str,
    load: calls.BackendLoad,
) -> None:
    if load.pace is not None:
        context.metrics.count('pace.samples')
        context.placement.server_speeds.record_pace(
            job.service, ident, load.pace, context.clock()
        )


def _record_brittleness(
    context: _context.ForwardingContext,
    job: _context.Job,
    ident: str,
    brittleness: calls.Brittleness | None,
    sent_at: float,
) -> None:
    brittle = context.placement.demands.brittle
    if brittleness is None:
        changed = brittle.record(job.service, None, sent_at)
    elif brittleness.rejections_per_s is None:
        _log_malformed(context, job, ident, 'brittleness')
        return
    else:
        changed = brittle.record(
            job.service, brittleness.rejections_per_s, context.clock()
        )
    if changed:
        context.metrics.gauge('services.brittle', len(brittle.statements))
        _context.log(
            job,
            'service brittle' if brittleness else 'service no longer brittle',
            service=job.service,
            backend=ident,
            rejections_per_s=brittleness and brittleness.rejections_per_s,
        )


def _record_leaving(
    context: _context.ForwardingContext, job: _context.Job, ident: str
) -> None:
    if context.placement.demands.leaving.record(ident, context.clock()):
        _context.log(job, 'server leaving', backend=ident)


def _record_backoff(
    context: _context.ForwardingContext,
    job: _context.Job,
    ident: str,
    backoff: calls.Backoff,
) -> None:
    backoffs = context.placement.demands.backoffs
    if backoff.seconds is None:
        context.metrics.count('backoffs.malformed')
        _log_malformed(context, job, ident, 'backoff')
        return
    context.metrics.count('backoffs')
    if backoffs.record(ident, backoff.seconds, context.clock()):
        _context.log(
            job, 'server backoff', backend=ident, seconds=backoff.seconds
        )


def _record_limit(
    context: _context.ForwardingContext,
    job: _context.Job,
    ident: str,
    limit: calls.RequestLimit | None,
    sent_at: float,
) -> None:
    limits = context.placement.demands.limits
    before = limits.current(ident)
    if limit is None:
        # A response without a limit may be older than the newest one with a
        # limit, unless its request was sent later.
        changed = limits.record(ident, None, sent_at)
    elif limit.per_s is None:
        context.metrics.count('limits.malformed')
        _log_malformed(context, job, ident, 'limit')
        return
    else:
        changed = limits.record(ident, limit.per_s, context.clock())
    if changed:
        context.metrics.gauge('limits.servers', limits.limited_count())
        _context.log(
            job,
            'server limit',
            backend=ident,
            per_s=limits.current(ident),
            previous_per_s=before,
        )


def _log_malformed(
    context: _context.ForwardingContext,
    job: _context.Job,
    ident: str,
    demand: str,
) -> None:
    if context.placement.demands.mark_malformed(ident, demand):
        _context.log(job, f'malformed server {demand}', backend=ident)
