"""Finds the service and the version for streams that callers resume."""

import asyncio
import math
import typing as t

import attrs

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold.forwarding import _context
from bulrushhold.forwarding import _origins
from bulrushhold import messages

# Kept for longer than a caller waits for its stream.
LIFETIME_MARGIN_S: t.Final = 5.0
MAX_LIFETIME_S: t.Final = 120.0
# Covers the lag of the platform's list, a slow answer and an election.
MAX_VERSIONS_WAIT_S: t.Final = 3.5
# Several versions that were known then are refused without a wait.
MAX_VERSIONS_AGE_S: t.Final = 3.0
ONLY_VERSION: t.Final = 'only version'


def record_origin(
    context: _context.ForwardingContext,
    job: _context.Job,
    ident: str,
    version: str | None,
) -> None:
    """Record which version began a stream.

    :param ident: id of the call that brought its first event.
    :param version: ``None`` if it will never be known.
    """
    lifetime_s = min(job.call.timeout_s, MAX_LIFETIME_S) + LIFETIME_MARGIN_S
    homes = context.origins.record(
        messages.StreamOrigin(
            _key(job, ident),
            job.service,
            version or '',
            lifetime_s,
            version_unknown=version is None,
        )
    )
    _context.log(
        job, 'origin recorded', began=ident, version=version, homes=homes
    )


def record_pending_origin(
    context: _context.ForwardingContext,
    job: _context.Job,
    ident: str,
    pending_s: float,
) -> None:
    """Record that the version that began a stream may be known soon.

    :param ident: id of the call that brought its first event.
    :param pending_s: time within which it may be.
    """
    homes = context.origins.record_pending(
        messages.PendingOrigin(_key(job, ident), pending_s)
    )
    _context.log(
        job,
        'origin pending',
        began=ident,
        pending_s=round(pending_s, 3),
        homes=homes,
    )


async def resolve(
    context: _context.ForwardingContext, job: _context.Job
) -> _context.Job:
    """Return the job with the service and version that began its stream.

    A job whose caller has no event yet is returned as it is.

    :raises RequestError: if the version is unknown, or has no engine. The
        stream must not go on at another one.
    """
    if job.call.last_event_id is None:
        return job
    context.metrics.count('streams.taken_up')
    finding = await _find_with_pending(context, job)
    origin, version = finding.origin, finding.version
    now, known_versions = context.clock(), context.placement.known_versions
    _context.log(
        job,
        'stream taken up',
        resumes=job.call.resumes,
        last=job.call.last_event_id,
        service=origin.service if origin else '',
        version=version,
        source=finding.source,
        age_s=round(finding.age_s, 3),
        asked=finding.asked,
        answered=finding.answered,
        pending_s=round(finding.pending_s, 3),
        list_age_s=_age_s(known_versions.listed_at, now),
        control_age_s=_age_s(known_versions.complete_at, now),
    )
    if origin is None or version is None:
        raise _refusal(
            context,
            job,
            'version_unknown',
            'the version that began the stream is unknown',
            None if finding.conclusive else _context.RETRY_AFTER_S,
        )
    if origin.service not in _services(job):
        raise _refusal(
            context,
            job,
            'service_changed',
            f'the stream began at {origin.service}, another service',
        )
    job = attrs.evolve(job, service=origin.service, version=version)
    if not context.placement.usable(
        job.service, context.clock(), version=job.version
    ):
        raise _refusal(
            context,
            job,
            'version_gone',
            f'no engine of version {version}',
        )
    if job.call.resumes:
        record_origin(context, job, job.call.resumes, version)
    return job


async def _find_with_pending(
    context: _context.ForwardingContext, job: _context.Job
) -> _origins.OriginFinding:
    """Find an origin, and wait for one that may follow.

    A caller that is refused instead may have no retry left.
    """
    arrived_at = context.clock()
    while True:
        finding = await _find(context, job, arrived_at)
        until = min(job.deadline, context.clock() + finding.pending_s)
        if finding.origin is not None or context.clock() >= until:
            return finding
        await asyncio.sleep(_origins.SEARCH_INTERVAL_S)


async def _find(
    context: _context.ForwardingContext, job: _context.Job, arrived_at: float
) -> _origins.OriginFinding:
    finding = await _find_record(context, job)
    services = _services(job)
    if _settles(finding):
        return finding
    if len(services) != 1 or _has_several_versions(context, *services):
        return finding
    [service] = services
    since = context.placement.incarnations.shown_from(arrived_at)
    is_current = await _wait_for_versions(context, job, service, since)
    if finding.conclusive:
        # The stream may have been younger than its record.
        finding = await _find_record(context, job)
        if _settles(finding):
            return finding
    known_versions = context.placement.known_versions
    version = known_versions.only_version(service, since)
    if version is not None and not known_versions.may_begin_elsewhere(
        job.route
    ):
        origin = messages.StreamOrigin(b'', service, version, 0.0)
        return attrs.evolve(finding, origin=origin, source=ONLY_VERSION)
    if not is_current:
        return attrs.evolve(finding, conclusive=False)
    # Another version has come meanwhile, and the record may have, too.
    return await _find_record(context, job)


async def _find_record(
    context: _context.ForwardingContext, job: _context.Job
) -> _origins.OriginFinding:
    if not job.call.resumes:
        return _origins.OriginFinding()
    finding = await context.origins.find(_key(job, job.call.resumes))
    if finding.pending_s > 0:
        # It may name a version that isn't known here.
        finding = attrs.evolve(finding, conclusive=False)
    return finding


def _settles(finding: _origins.OriginFinding) -> bool:
    """Return whether the only version must not be taken instead."""
    return finding.origin is not None or finding.pending_s > 0


def _has_several_versions(
    context: _context.ForwardingContext, service: str
) -> bool:
    """Return whether a service is known to have several versions now."""
    known_versions = context.placement.known_versions
    since = context.clock() - MAX_VERSIONS_AGE_S
    is_current = known_versions.is_current(service, since)
    return is_current and len(known_versions.all_versions(service)) > 1


async def _wait_for_versions(
    context: _context.ForwardingContext,
    job: _context.Job,
    service: str,
    since: float,
) -> bool:
    """Wait until the versions of a service are known; return whether.

    A caller that is refused instead may have no retry left.

    :param since: see :meth:`decisions.KnownVersions.is_current`.
    """
    versions = context.placement.known_versions
    deadline = min(job.deadline, context.clock() + MAX_VERSIONS_WAIT_S)
    while not versions.is_current(service, since):
        if context.clock() >= deadline:
            return False
        await asyncio.sleep(_origins.SEARCH_INTERVAL_S)
    return True


def _age_s(since: float, now: float) -> float | None:
    """Return an age in seconds; ``None``, as JSON has no infinity."""
    return round(now - since, 3) if math.isfinite(since) else None


def _services(job: _context.Job) -> set[str]:
    return decisions.stream_services(job.route)


def _key(job: _context.Job, ident: str) -> bytes:
    path = job.call.target.partition('?')[0]
    host = job.route.host.lower()
    return decisions.origin_key(job.account, host, path, ident)


def _refusal(
    context: _context.ForwardingContext,
    job: _context.Job,
    counter: str,
    reason: str,
    retry_after_s: float | None = None,
) -> errors.RequestError:
    context.metrics.count(f'streams.refused_{counter}')
    _context.log(job, 'stream refused', reason=reason)
    return _context.not_run_error(job, reason, retry_after_s)
