"""Ends the requests of an entry that shuts down.

What was sent to a server before the shutdown may use all the time that is
left. What comes later is accepted only if it can be answered in any case: with
the whole answer, or with an error that says whether it ran. A response whose
end isn't certain is withheld for it.
"""

import asyncio
import collections.abc as cabc
import contextlib
import math
import time
import typing as t

from bulrushhold import calls
from bulrushhold import errors
from bulrushhold.forwarding import _context
from bulrushhold.forwarding import _durations
from bulrushhold.forwarding import _requestprogress
from bulrushhold.forwarding import _withheld
from bulrushhold import node
from bulrushhold import ports
from bulrushhold import routes

# Other entries accept immediately what a draining entry refuses.
ELSEWHERE_RETRY_S: t.Final = 0.05
# Time in which another entry may have started.
NOWHERE_RETRY_S: t.Final = 0.5
# Less isn't enough for a short pause and another attempt.
MIN_LEFT_S: t.Final = 1.8
# Covers nearly all streams, as a multiple of the mean duration.
LONG_RUN_FACTOR: t.Final = 1.4
# Bounds of the chance to end in time that a repeatable request must have: it
# must be better than that of finding another entry.
MIN_CHANCE: t.Final = 0.5
MAX_CHANCE: t.Final = 0.95
# Callers leave a stream without any event after this time, or this multiple of
# its objectives for the first event and for pauses.
PATIENCE_S: t.Final = 2.0
PATIENCE_AIMS: t.Final = 4.0
PATIENCE_GAPS: t.Final = 8.0


class Drain:
    """The shutdown of an entry, and the requests that it has to end.

    :param mean_run_s: returns the mean duration of a service's streams, if it
        is known. It serves to refuse streams, never as a promise.
    :param peer_share: returns the share of the other entries that accept
        requests.
    :ivar started_at: when the shutdown began; infinite before.
    :ivar deadline: when all requests must be answered.
    """

    def __init__(
        self,
        metrics: ports.Metrics,
        mean_run_s: cabc.Callable[[str, float], float | None],
        peer_share: cabc.Callable[[], float] = lambda: 1.0,
        clock: cabc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.metrics = metrics
        self.mean_run_s = mean_run_s
        self.peer_share = peer_share
        self.clock = clock
        self.started_at = float('inf')
        self.deadline = float('inf')
        self.requests: set[_requestprogress.RequestProgress] = set()
        self.durations = _durations.Durations()

    @property
    def active(self) -> bool:
        """Whether the entry is shutting down."""
        return self.started_at <= self.clock()

    @property
    def ending(self) -> bool:
        """Whether there is no time left for another request."""
        return self.deadline - self.clock() < MIN_LEFT_S

    def finish_by(self, deadline: float) -> None:
        """Begin the shutdown, or move its end.

        What waits, but can't be finished, is refused.

        :param deadline: see :attr:`deadline`.
        """
        self.deadline = deadline
        if not self.active:
            self.started_at = self.clock()
            self.metrics.count('drain.in_progress', len(self.requests))
        usual_s: dict[tuple[str, routes.Kind, str], float] = {}
        for request in self.requests:
            self._schedule_end(request, usual_s)

    @contextlib.asynccontextmanager
    async def track(
        self, call: calls.Call, caller_stream: calls.CallerStream
    ) -> cabc.AsyncIterator[_requestprogress.RequestProgress]:
        """Track a request until it is answered.

        :raises RequestError: if the shutdown ends it before.
        """
        cutoff = asyncio.timeout(None)
        request = _requestprogress.RequestProgress(
            call, caller_stream, self.clock(), cutoff
        )
        self.requests.add(request)
        try:
            async with cutoff:
                self._schedule_end(request)
                yield request
                self._record_duration(request)
        except TimeoutError:
            if not cutoff.expired():
                raise
            raise self._unfinished(request) from None
        finally:
            self.requests.discard(request)

    def accept(
        self, request: _requestprogress.RequestProgress, job: _context.Job
    ) -> None:
        """Accept a request.

        :raises RequestError: if it can't be finished before the shutdown.
        """
        request.job = job
        if not self.active:
            return
        needed_s = self._needed_s(job, self._usual_s(job))
        reason = self._refusal_reason(job, needed_s)
        if reason:
            raise self.refusal(reason)
        self._schedule_end(request)
        self.metrics.count('drain.accepted')
        node.log_decision(
            'accepted while draining',
            request=request.call.ident,
            needed_s=round(needed_s, 3),
            limit_s=round(job.deadline - self.clock(), 3),
            left_s=round(self.deadline - self.clock(), 3),
        )

    def before_dispatch(
        self, request: _requestprogress.RequestProgress
    ) -> None:
        """Prepare for an attempt at a server.

        :raises RequestError: if it can't be finished and hasn't run.
        """
        if self.active and not request.may_have_run:
            job = request.job
            assert job is not None
            needed_s = self._needed_s(job, self._usual_s(job))
            reason = self._refusal_reason(job, needed_s)
            if reason:
                raise self.refusal(reason)
        request.dispatched_at = self.clock()
        self._schedule_end(request)

    def guard(
        self, request: _requestprogress.RequestProgress
    ) -> calls.CallerStream:
        """Return the streamed response for a request's attempts."""

        async def begin() -> None:
            if request.cutoff.expired():
                # Its cancellation must not fall between two parts.
                await asyncio.sleep(0)
            else:
                request.cutoff.reschedule(None)

        return _withheld.WithheldStream(
            request.caller_stream, lambda: self._may_begin(request), begin
        )

    def log_unfinished(self) -> None:
        """Log each request that the end of the process cuts off."""
        now = self.clock()
        for request in self.requests:
            self.metrics.count('drain.cut')
            node.log_decision(
                'cut off by the shutdown',
                **request.log_fields(now),
                draining_s=round(now - self.started_at, 3),
            )

    # Decisions

    def _refusal_reason(self, job: _context.Job, needed_s: float) -> str:
        """Return why a request that no server has can't be accepted."""
        is_stream = job.route.kind is routes.Kind.STREAM
        if self.clock() + needed_s > self.deadline:
            return 'shutting down before the request could complete'
        if not is_stream or self._is_bounded(job):
            return ''
        if not job.route.repeatable and self.peer_share() > 0:
            return 'shutting down, and the stream can\'t be offered again'
        # A withheld stream is all that its caller sees for this time.
        if needed_s > LONG_RUN_FACTOR * _patience_s(job.route):
            return 'shutting down, and the caller would leave first'
        return ''

    def _is_bounded(self, job: _context.Job) -> bool:
        """Return whether its own time limit ends a request early enough."""
        return job.deadline <= self.deadline

    def _needed_s(self, job: _context.Job, usual_s: float) -> float:
        """Return the time below which a request is not accepted.

        :param usual_s: see :meth:`_usual_s`.
        """
        if job.route.kind is routes.Kind.STREAM:
            run_s = self.mean_run_s(job.service, self.clock())
            return usual_s or LONG_RUN_FACTOR * (run_s or job.route.aim_s)
        if self._is_bounded(job):
            return 0.0
        if job.route.repeatable:
            return max(usual_s, MIN_LEFT_S)
        if not usual_s and self.peer_share() > 0:
            # Its outcome would stay unknown if it took too long.
            return math.inf
        return usual_s + MIN_LEFT_S

    def _usual_s(self, job: _context.Job) -> float:
        """Return how long requests like this one take; 0 if unknown."""
        now = self.clock()
        return self.durations.quantile_s(
            job.service,
            job.route.kind,
            min(MAX_CHANCE, max(MIN_CHANCE, self.peer_share()))
            if job.route.repeatable
            else 1.0,
            [now - other.received_at for other in self._alike(job)],
            _single_run_route(job),
        )

    def _alike(
        self, job: _context.Job
    ) -> list[_requestprogress.RequestProgress]:
        """Return the requests of a service that are of the same kind."""
        return [
            other
            for other in self.requests
            if other.job is not None
            and other.job.service == job.service
            and other.job.route.kind is job.route.kind
            and _single_run_route(other.job) == _single_run_route(job)
        ]

    def _may_begin(self, request: _requestprogress.RequestProgress) -> bool:
        """Return whether a stream's caller may get its events as they come."""
        assert request.job is not None
        sent_before = (request.dispatched_at or 0.0) < self.started_at
        return not self.active or sent_before or self._is_bounded(request.job)

    def _record_duration(
        self, request: _requestprogress.RequestProgress
    ) -> None:
        job = request.job
        if job is not None:
            seconds = self.clock() - request.received_at
            self.durations.record(
                job.service, job.route.kind, seconds, _single_run_route(job)
            )

    # Ends

    def _schedule_end(
        self,
        request: _requestprogress.RequestProgress,
        usual_s: dict[tuple[str, routes.Kind, str], float] | None = None,
    ) -> None:
        """Set when a request is answered at the latest.

        :param usual_s: see :meth:`_usual_s`; by service, kind and
            :func:`_single_run_route`. What is missing is added.
        """
        if (
            not self.active
            or request.caller_stream.headers_sent
            or request.cutoff.expired()
        ):
            return
        end_at = self._end_at(request, {} if usual_s is None else usual_s)
        loop = asyncio.get_running_loop()
        request.cutoff.reschedule(loop.time() + end_at - self.clock())

    def _end_at(
        self,
        request: _requestprogress.RequestProgress,
        usual_s: dict[tuple[str, routes.Kind, str], float],
    ) -> float:
        job = request.job
        if job is None or request.dispatched_at is not None:
            return self.deadline
        key = job.service, job.route.kind, _single_run_route(job)
        if key not in usual_s:
            usual_s[key] = self._usual_s(job)
        needed_s = self._needed_s(job, usual_s[key])
        if self._refusal_reason(job, needed_s):
            return self.clock()
        if self._is_bounded(job):
            return self.deadline
        return self.deadline - needed_s

    def _unfinished(
        self, request: _requestprogress.RequestProgress
    ) -> errors.RequestError:
        self.metrics.count('drain.unfinished')
        node.log_decision(
            'ended by the shutdown',
            **request.log_fields(self.clock()),
            may_have_run=request.may_have_run,
        )
        if request.job is not None and request.may_have_run:
            return _context.unknown_outcome_error(
                request.job, 'shutting down before the answer was complete', ''
            )
        return self.refusal('shutting down before the request was sent')

    def refusal(self, reason: str) -> errors.RequestError:
        """Return the error of a request that another entry may serve."""
        self.metrics.count('drain.refused')
        return errors.RequestError(
            reason,
            'accept',
            status=503,
            retry_after=ELSEWHERE_RETRY_S
            if self.peer_share() > 0
            else NOWHERE_RETRY_S,
        )


def _single_run_route(job: _context.Job) -> str:
    """Return the name of a route whose requests may run only once, or ''."""
    return '' if job.route.repeatable else job.route.name


def _patience_s(route: routes.Route) -> float:
    return max(
        PATIENCE_S,
        PATIENCE_AIMS * route.aim_s,
        PATIENCE_GAPS * route.gap_s,
    )
