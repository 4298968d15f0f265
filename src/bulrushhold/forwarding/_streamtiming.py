"""Times the events of a stream as its caller sees them."""

import typing as t

from bulrushhold.forwarding import _context


class StreamTiming:
    """When a stream's events are sent to its caller.

    :ivar first_s: time to the first event.
    :ivar interrupted_at: when it was lost, until it receives events again.
    """

    def __init__(
        self, context: _context.ForwardingContext, job: _context.Job
    ) -> None:
        self.job = job
        self.clock = context.clock
        self.metrics = context.metrics
        self.started_at = self.clock()
        self.first_s: float | None = None
        self.last_event_at = 0.0
        self.longest_pause_s = 0.0
        self.interrupted_at: float | None = None

    def record_event_sent(self) -> None:
        """Record that events are sent to the caller."""
        now = self.clock()
        if self.first_s is None:
            self.first_s = now - self.started_at
            self.metrics.time('streams.first', self.first_s)
        else:
            pause = now - self.last_event_at
            self.longest_pause_s = max(self.longest_pause_s, pause)
        self.last_event_at = now

    def record_interruption(self) -> None:
        """Record that a stream of which the caller has events was lost."""
        if self.interrupted_at is None:
            self.interrupted_at = self.clock()

    def record_resumption(self, ident: str) -> None:
        """Record that a stream receives events again.

        :param ident: of the engine that sends them.
        """
        if self.interrupted_at is None:
            return
        seconds = self.clock() - self.interrupted_at
        self.interrupted_at = None
        self.metrics.time('streams.resumed', seconds)
        _context.log(
            self.job, 'stream resumed', engine=ident, seconds=round(seconds, 3)
        )

    def log_fields(self) -> dict[str, t.Any]:
        """Return the fields of a stream's last log line."""
        first_s = self.first_s
        return {
            'first_s': None if first_s is None else round(first_s, 3),
            'longest_pause_s': round(self.longest_pause_s, 3),
            'seconds': round(self.clock() - self.started_at, 3),
        }
