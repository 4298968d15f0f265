"""Authorizes each opaque request and dispatches it to its service."""

import asyncio
import contextlib
import random
import typing as t

import attrs

from bulrushhold import calls
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold.forwarding import _blocks
from bulrushhold.forwarding import _context
from bulrushhold.forwarding import _draining
from bulrushhold.forwarding import _fleet
from bulrushhold.forwarding import _plain
from bulrushhold.forwarding import _resumption
from bulrushhold.forwarding import _streams
from bulrushhold import node
from bulrushhold import routes

# A new process usually gets the route map within this time.
START_RETRY_S: t.Final = 0.5
# Covers a leader election after a cold start, but leaves each request most of
# its own timeout.
START_WAIT_S: t.Final = 1.5
START_WAIT_SHARE: t.Final = 0.4
# Other entries accept immediately what a draining entry refuses.
DRAIN_RETRY_S: t.Final = 0.05
# Covers nearly all streams, as a multiple of the mean duration.
LONG_RUN_FACTOR: t.Final = 1.4


class Forwarder:
    """Handles all opaque requests of this entry."""

    def __init__(
        self, fleet: _fleet.FleetView, context: _context.ForwardingContext
    ) -> None:
        self.fleet = fleet
        self.context = context
        self.closing = False
        self.drain = _draining.Drain(context.metrics, context.clock)

    @property
    def drain_deadline(self) -> float:
        """When this entry stops to wait for its requests."""
        return self.drain.deadline

    @drain_deadline.setter
    def drain_deadline(self, deadline: float) -> None:
        self.drain.start(deadline)

    async def handle(
        self, call: calls.Call, caller_stream: calls.CallerStream
    ) -> calls.Reply | None:
        """Serve one request; return ``None`` if the response was streamed.

        :raises RequestError: if the request is refused or fails; its ``ran``
            tells whether it may have run.
        """
        started = self.context.clock()
        try:
            with self.drain.track(call, caller_stream) as request:
                reply = await self._serve(request)
        except errors.RequestError as error:
            self.context.metrics.count(f'requests.refused.{error.status}')
            _log_refusal(call, error, self.fleet.map_version)
            raise
        self.context.metrics.count('requests.answered')
        self.context.metrics.time('requests', self.context.clock() - started)
        return reply

    async def _serve(
        self, request: _draining.RequestInProgress
    ) -> calls.Reply | None:
        if self.fleet.index is None:
            await self._wait_for_start(request.call)
        job = self._accept(request)
        if job.route.kind is routes.Kind.STREAM:
            job = await _resumption.resolve(self.context, job)
            job = self._with_priority(job)
            return await _streams.StreamForwarder(
                self.context,
                job,
                request.caller_stream,
                lambda: self._record_dispatch(request),
            ).run()
        job = self._with_priority(job)
        return await _plain.PlainForwarder(
            self.context, job, lambda: self._record_dispatch(request)
        ).run()

    def _record_dispatch(self, request: _draining.RequestInProgress) -> None:
        request.dispatched_at = self.context.clock()

    def _with_priority(self, job: _context.Job) -> _context.Job:
        """Return the job with its priority at its service, if it has one."""
        index = self.fleet.index
        assert index is not None
        account = index.accounts.get(job.call.key)
        return attrs.evolve(
            job,
            priority=index.priority(job.service, job.route, account),
            engine_priority=index.engine_priority(
                job.service, job.route, account
            ),
        )

    async def _wait_for_start(self, call: calls.Call) -> None:
        """Wait a limited time for the first route map.

        After a cold start no entry has the map, so that a refusal would only
        use up the caller's retries.
        """
        wait = min(START_WAIT_S, call.timeout_s * START_WAIT_SHARE)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait):
                await self.fleet.became_ready.wait()

    def _accept(self, request: _draining.RequestInProgress) -> _context.Job:
        call, now = request.call, request.received_at
        index = self.fleet.index
        if index is None or self.closing:
            raise errors.RequestError(
                'shutting down' if self.closing else 'no route map yet',
                'accept',
                status=503,
                retry_after=START_RETRY_S,
            )
        path = call.target.partition('?')[0]
        route = index.find(call.host, path)
        if route is None:
            raise errors.RequestError('no such route', 'accept', status=404)
        account = _authenticate(index, route, call)
        service = index.target(route, random.random())
        if route.kind is routes.Kind.STREAM:
            self._refuse_unfinishable(service, route, now)
        fingerprint = decisions.fingerprint(path, call.key, call.body)
        _blocks.refuse_blocked(self.context, fingerprint, service)
        self.context.budget.count_request(service, now)
        timeout_s = min(call.timeout_s, route.timeout_s)
        if self.drain.active:
            self.drain.log_accepted(
                request, self._expected_s(service, route, now), timeout_s
            )
        return _context.Job(
            call,
            route,
            service,
            account,
            now + timeout_s,
            fingerprint,
            self.context.placement.versions.takes_canary(service, now),
        )

    def _refuse_unfinishable(
        self, service: str, route: routes.Route, now: float
    ) -> None:
        """Refuse a stream that would outlast this draining entry.

        Callers notice the shutdown late. An immediate refusal lets them retry
        at another entry instead of losing the stream midway.
        """
        expected_s = self._expected_s(service, route, now)
        if now + LONG_RUN_FACTOR * expected_s > self.drain_deadline:
            raise errors.RequestError(
                'shutting down before the stream could complete',
                'accept',
                status=503,
                retry_after=DRAIN_RETRY_S,
            )

    def _expected_s(
        self, service: str, route: routes.Route, now: float
    ) -> float:
        """Return the mean duration of earlier requests, if it is known."""
        run_s = self.context.placement.speeds.run_s(service, now)
        return run_s or route.aim_s


def _authenticate(
    index: routes.RouteIndex, route: routes.Route, call: calls.Call
) -> str:
    account = index.accounts.get(call.key)
    if account is not None:
        return account.name
    if index.needs_keys and not route.public:
        raise errors.RequestError('unknown key', 'accept', status=401)
    return ''


def _log_refusal(
    call: calls.Call, error: errors.RequestError, version: int
) -> None:
    node.log_decision(
        'refused',
        request=call.ident,
        status=error.status,
        ran=error.ran.value,
        step=error.step,
        peer=error.peer,
        reason=error.reason,
        map_version=version,
    )
