"""Records a stream's run on one engine as evidence about its version."""

from bulrushhold import decisions
from bulrushhold.forwarding import _context


class RunEvidence:
    """The first event and the mean pause of a run, for a rollout.

    :param unread_tokens: prompt tokens that the engine has to read; 0 if it
        resumes the run from a copy.
    """

    def __init__(
        self,
        context: _context.ForwardingContext,
        job: _context.Job,
        engine: decisions.BackendServer,
        unread_tokens: int,
    ) -> None:
        self.clock = context.clock
        self.versions = context.placement.versions
        self.engine = engine
        self.route = job.route.name
        # The prompt of a caller that resumes a stream may be cached.
        resumed = job.call.last_event_id is not None
        self.unread_tokens = 0 if resumed else unread_tokens
        self.started_at = self.clock()
        self.first_event_at = self.last_event_at = self.started_at
        self.event_batches = 0
        self.was_silent = False

    def discard_times(self) -> None:
        """Leave out how long the run takes: its engine was silent.

        Any version may be on an engine that falls silent for a moment.
        """
        self.was_silent = True

    def record_failure(self) -> None:
        """Record a response with which the engine reported a failure."""
        self._record_response(self.clock(), failed=True)

    def record_event(self, now: float) -> None:
        """Record one or more events that arrived together."""
        if not self.event_batches:
            self.first_event_at = now
            self._record_response(now, failed=False)
        self.event_batches += 1
        self.last_event_at = now

    def record_end(self) -> None:
        """Record the mean pause of a complete run."""
        if self.event_batches > 1 and not self.was_silent:
            seconds = self.last_event_at - self.first_event_at
            self.versions.record_pause(
                self.engine, self.route, seconds / (self.event_batches - 1)
            )

    def _record_response(self, now: float, *, failed: bool) -> None:
        if self.unread_tokens and (failed or not self.was_silent):
            seconds = now - self.started_at
            self.versions.record(
                self.engine,
                self.route,
                failed=failed,
                latency_s=seconds * 1000 / self.unread_tokens,
            )
