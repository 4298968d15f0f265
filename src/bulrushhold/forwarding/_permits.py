"""Chooses servers that allow a request, and acquires the permits for it.

:class:`_permitcheck.PermitCheckingClient`, through which all requests pass,
checks again as they are sent.
"""

import asyncio
import collections.abc as cabc
import enum
import random
import typing as t

import attrs

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold.forwarding import _context
from bulrushhold.forwarding import _permitsource
from bulrushhold import messages

# Longest wait for a permit, relative to the aim; the rest is for the response.
MAX_WAIT_AIM_SHARE: t.Final = 0.5
# The same relative to the remaining time, for requests without an aim and for
# streams of which the caller has received events.
MAX_WAIT_SHARE: t.Final = 0.25
MIN_RETRY_AFTER_S: t.Final = 0.5
# Time for which an entry leaves a brittle server out that has no place for it;
# longer if a request has waited for one in vain.
MIN_PLACE_HOLD_S: t.Final = 0.05
MAX_RELEASE_DELAY_S: t.Final = 0.1


class Permission(enum.Enum):
    """Whether a server's request limit allows a request."""

    NOT_LIMITED = 'not limited'
    PERMIT = 'permit'
    DENIED = 'denied'


@attrs.frozen
class PermittedChoice:
    """The server that gets a request.

    :param backend: ``None`` if no server can take it in time.
    :param has_permit: a permit was granted, as the server is limited.
    :param reason: why there is no server; ``''`` if none is available.
    :param retry_after_s: time after which the caller should retry if there
        is no server.
    """

    backend: decisions.BackendServer | None = None
    has_permit: bool = False
    reason: str = ''
    retry_after_s: float = _context.RETRY_AFTER_S


async def acquire(
    context: _context.ForwardingContext,
    job: _context.Job,
    ident: str,
    max_wait_s: float = 0.0,
) -> Permission:
    """Return whether a request may be sent to a server now.

    Waits for a permit, or a place, that is due in time. Without one, nothing
    is sent to the server for a while.
    """
    permission = await _acquire_permit(context, job, ident, max_wait_s)
    backend = context.placement.backends.get(ident)
    if (
        permission is Permission.DENIED
        or backend is None
        or not context.placement.is_brittle(backend)
    ):
        return permission
    if await context.places.take(backend, max_wait_s):
        return Permission.PERMIT
    hold_s = max(MIN_PLACE_HOLD_S, max_wait_s) * (1 + random.random())
    context.placement.demands.backoffs.record(ident, hold_s, context.clock())
    context.metrics.count('places.denied')
    _context.log(job, 'no place', backend=ident, hold_s=round(hold_s, 3))
    return Permission.DENIED


async def _acquire_permit(
    context: _context.ForwardingContext,
    job: _context.Job,
    ident: str,
    max_wait_s: float,
) -> Permission:
    """Return whether a server's request limit and backoff allow a request."""
    limits = context.placement.demands.limits
    if context.placement.demands.backoffs.is_active(ident, context.clock()):
        return Permission.DENIED
    deadline = context.clock() + max_wait_s
    while True:
        per_s = limits.current(ident)
        if per_s is None:
            return Permission.NOT_LIMITED
        now = context.clock()
        ask = messages.PermitAsk(
            ident,
            context.entry,
            per_s,
            limits.age_s(ident, now),
            max(0.0, deadline - now),
        )
        grant = await _request_permit(context, ask)
        if not grant.granted:
            _hold(context, job, ident, grant)
            return Permission.DENIED
        await asyncio.sleep(grant.wait_s)
        # A permit of a higher rate than the present one no longer counts.
        if (limits.current(ident) or per_s) >= per_s:
            return Permission.PERMIT


async def _request_permit(
    context: _context.ForwardingContext, ask: messages.PermitAsk
) -> messages.PermitGrant:
    try:
        return await context.permit_source.request(ask)
    except errors.PeerError:
        limits = context.placement.demands.limits
        if limits.current(ask.server) is None:
            # The limit has ended meanwhile, or the server isn't listed.
            return messages.PermitGrant(True, 0.0)
        context.metrics.count('limits.floor')
        now = context.clock()
        wait_s = limits.take_floor(
            ask.server, context.budget.recent_entries(now), now
        )
        if not wait_s:
            return messages.PermitGrant(True, 0.0)
        # The home may be back before the floor allows a request.
        hold_s = min(wait_s, _permitsource.HOME_BACKOFF_S)
        return messages.PermitGrant(False, hold_s, hold_s)


def _hold(
    context: _context.ForwardingContext,
    job: _context.Job,
    ident: str,
    grant: messages.PermitGrant,
) -> None:
    now = context.clock()
    context.placement.demands.limits.hold(
        ident, now + grant.hold_s, now + grant.wait_s
    )
    context.metrics.count('limits.held')
    _context.log(
        job,
        'no permit',
        backend=ident,
        per_s=context.placement.demands.limits.current(ident),
        wait_s=round(grant.wait_s, 3),
        hold_s=round(grant.hold_s, 3),
    )


async def choose_permitted(
    context: _context.ForwardingContext,
    job: _context.Job,
    choose: cabc.Callable[[], decisions.BackendServer | None],
    tried: set[str],
    *,
    begun: bool = False,
    version: str | None = None,
) -> PermittedChoice:
    """Choose a server that a request may be sent to now.

    Waits for a server that allows no request now only if no other one does.

    :param choose: returns the best server that isn't held.
    :param begun: the caller has received some events of the stream.
    :param version: version that the server must have, if it matters.
    """
    demands = context.placement.demands
    # Servers that gave no permit although the request can wait.
    denied: set[str] = set()
    started_at = context.clock()
    wait_until = started_at + _max_wait_s(job, started_at, begun=begun)
    while True:
        now = context.clock()
        max_wait_s = max(0.0, wait_until - now)
        backend = choose()
        if backend is None:
            backend = context.placement.next_held(
                job.service, now, tried, version
            )
            if backend is None:
                return PermittedChoice()
            wait_s = demands.free_at(backend.ident) - now
            if wait_s > max_wait_s:
                return PermittedChoice(
                    reason='all servers have limits or want no requests',
                    retry_after_s=retry_after_s(wait_s),
                )
            is_resting = demands.backoffs.is_active(backend.ident, now)
            if is_resting or backend.ident in denied:
                await asyncio.sleep(max(0.0, wait_s) + _release_delay_s())
                continue
        elif not _needs_permit(context, backend):
            return PermittedChoice(backend)
        elif _has_alternative(context, job, backend, tried, version):
            max_wait_s = 0.0
        permission = await acquire(context, job, backend.ident, max_wait_s)
        if permission is not Permission.DENIED:
            has_permit = permission is Permission.PERMIT
            return PermittedChoice(backend, has_permit)
        if max_wait_s:
            denied.add(backend.ident)


def _needs_permit(
    context: _context.ForwardingContext, backend: decisions.BackendServer
) -> bool:
    limits = context.placement.demands.limits
    is_limited = limits.current(backend.ident) is not None
    return is_limited or context.placement.is_brittle(backend)


def _has_alternative(
    context: _context.ForwardingContext,
    job: _context.Job,
    backend: decisions.BackendServer,
    tried: set[str],
    version: str | None,
) -> bool:
    now = context.clock()
    return any(
        other.ident != backend.ident and other.ejected_until <= now
        for other in context.placement.untried(
            job.service, now, tried, version
        )
    )


def _release_delay_s() -> float:
    """Return a random delay, so that waiting requests don't go at once."""
    return random.random() * MAX_RELEASE_DELAY_S


def _max_wait_s(job: _context.Job, now: float, *, begun: bool) -> float:
    remaining_s = max(0.0, job.deadline - now) * MAX_WAIT_SHARE
    if begun or not job.route.aim_s:
        return remaining_s
    return min(remaining_s, job.route.aim_s * MAX_WAIT_AIM_SHARE)


def retry_after_s(wait_s: float) -> float:
    """Return Retry-After for a request that no server allows now.

    Random, so that the callers don't all come back at once.
    """
    return max(MIN_RETRY_AFTER_S, wait_s) * (1 + random.random())
