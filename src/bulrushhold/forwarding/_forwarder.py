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
from bulrushhold.forwarding import _requestprogress
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


class Forwarder:
    """Handles all opaque requests of this entry."""

    def __init__(
        self, fleet: _fleet.FleetView, context: _context.ForwardingContext
    ) -> None:
        self.fleet = fleet
        self.context = context
        self.closing = False
        self.drain = _draining.Drain(
            context.metrics,
            context.placement.speeds.run_s,
            fleet.ready_peer_share,
            context.clock,
        )

    @property
    def drain_deadline(self) -> float:
        """When all requests must be answered."""
        return self.drain.deadline

    @drain_deadline.setter
    def drain_deadline(self, deadline: float) -> None:
        self.drain.finish_by(deadline)

    async def handle(
        self, call: calls.Call, caller_stream: calls.CallerStream
    ) -> calls.Reply | None:
        """Serve one request; return ``None`` if the response was streamed.

        :raises RequestError: if the request is refused or fails; its ``ran``
            tells whether it may have run.
        """
        started = self.context.clock()
        try:
            async with self.drain.track(call, caller_stream) as request:
                reply = await self._serve(request)
        except errors.RequestError as error:
            self.context.metrics.count(f'requests.refused.{error.status}')
            _log_refusal(call, error, self.fleet.map_version)
            raise
        self.context.metrics.count('requests.answered')
        self.context.metrics.time('requests', self.context.clock() - started)
        return reply

    async def _serve(
        self, request: _requestprogress.RequestProgress
    ) -> calls.Reply | None:
        if self.fleet.index is None and not self.closing:
            await self._wait_for_start(request.call)
        job = self._accept(request)
        if job.route.kind is routes.Kind.STREAM:
            job = await _resumption.resolve(self.context, job)
            return await self._serve_stream(request, self._with_priority(job))
        plain = _plain.PlainForwarder(
            self.context,
            self._with_priority(job),
            lambda: self.drain.before_dispatch(request),
        )
        request.attempts = plain
        return await plain.run()

    async def _serve_stream(
        self, request: _requestprogress.RequestProgress, job: _context.Job
    ) -> calls.Reply | None:
        request.job = job
        caller_stream = self.drain.guard(request)
        stream = _streams.StreamForwarder(
            self.context,
            job,
            caller_stream,
            lambda: self.drain.before_dispatch(request),
        )
        request.attempts = stream
        reply = await stream.run()
        if reply is None and not caller_stream.headers_sent:
            raise _context.unknown_outcome_error(
                job, 'the end of the stream is unknown', ''
            )
        return reply

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

    def _accept(
        self, request: _requestprogress.RequestProgress
    ) -> _context.Job:
        call, now = request.call, request.received_at
        index = self.fleet.index
        if self.closing:
            raise self.drain.refusal('shutting down')
        if index is None:
            raise errors.RequestError(
                'no route map yet',
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
        fingerprint = decisions.fingerprint(path, call.key, call.body)
        _blocks.refuse_blocked(self.context, fingerprint, service)
        job = _context.Job(
            call,
            route,
            service,
            account,
            now + min(call.timeout_s, route.timeout_s),
            fingerprint,
        )
        self.drain.accept(request, job)
        self.context.budget.count_request(service, now)
        return attrs.evolve(
            job,
            canary=self.context.placement.versions.takes_canary(service, now),
        )


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
