"""The requests of an entry that shuts down."""

import collections.abc as cabc
import contextlib
import time
import typing as t

import attrs

from bulrushhold import calls
from bulrushhold import node
from bulrushhold import ports


@attrs.define(eq=False)
class RequestInProgress:
    """A request that this entry has received and not yet answered.

    :param received_at: seconds, by the entry's clock.
    :ivar dispatched_at: when it was last sent to a backend server.
    """

    call: calls.Call
    caller_stream: calls.CallerStream
    received_at: float
    dispatched_at: float | None = None

    def log_fields(self, now: float) -> dict[str, t.Any]:
        """Return what tells an unfinished request from others."""
        dispatched_at = self.dispatched_at
        return {
            'request': self.call.ident,
            'seconds': round(now - self.received_at, 3),
            'dispatched_s': None
            if dispatched_at is None
            else round(now - dispatched_at, 3),
            'begun': self.caller_stream.headers_sent,
        }


class Drain:
    """The shutdown of an entry, and the requests that it has to end.

    :ivar started_at: when the entry was told to stop; infinite before.
    :ivar deadline: when it stops to wait for its requests.
    """

    def __init__(
        self,
        metrics: ports.Metrics,
        clock: cabc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.metrics = metrics
        self.clock = clock
        self.started_at = float('inf')
        self.deadline = float('inf')
        self.requests: set[RequestInProgress] = set()

    @property
    def active(self) -> bool:
        """Whether the entry is shutting down."""
        return self.started_at <= self.clock()

    def start(self, deadline: float) -> None:
        """Begin the shutdown.

        :param deadline: see :attr:`deadline`.
        """
        self.started_at = self.clock()
        self.deadline = deadline
        self.metrics.count('drain.in_progress', len(self.requests))

    @contextlib.contextmanager
    def track(
        self, call: calls.Call, caller_stream: calls.CallerStream
    ) -> cabc.Iterator[RequestInProgress]:
        """Track a request until it is answered."""
        request = RequestInProgress(call, caller_stream, self.clock())
        self.requests.add(request)
        try:
            yield request
        finally:
            self.requests.discard(request)

    def log_accepted(
        self, request: RequestInProgress, expected_s: float, limit_s: float
    ) -> None:
        """Log that a request was accepted during the shutdown.

        :param expected_s: how long such requests usually take.
        :param limit_s: time until its caller gives up.
        """
        left_s = self.deadline - self.clock()
        self.metrics.count('drain.accepted')
        node.log_decision(
            'accepted while draining',
            request=request.call.ident,
            expected_s=round(expected_s, 3),
            limit_s=round(limit_s, 3),
            left_s=round(left_s, 3),
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
