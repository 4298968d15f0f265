"""Observes how long an engine reads the prompt of a stream."""

import typing as t

from bulrushhold import decisions
from bulrushhold.forwarding import _context
from bulrushhold import messages

# What a long period of a slow pace adds to a read. Engines that are alive
# would otherwise be left for it, and the prompt read twice.
SLOW_PACE_ALLOWANCE_S: t.Final = 1.2


class ReadMonitor:
    """The read of one prompt, from its dispatch to the first event.

    :param objective: of the stream.
    :param ordered: admission to the service is ordered; its scheduling home
        needs to know how many tokens engines read.
    :ivar expected_first_event_s: time from the dispatch; 0 if unknown.
    """

    def __init__(
        self,
        context: _context.ForwardingContext,
        service: str,
        engine: decisions.BackendServer,
        objective: decisions.LatencyObjective,
        *,
        ordered: bool,
    ) -> None:
        self.placement = context.placement
        self.clock = context.clock
        self.service = service
        self.engine = engine
        self.objective = objective
        self.ordered = ordered
        self.reading: decisions.PromptRead | None = None
        self.expected_first_event_s = 0.0

    def start(self) -> None:
        """Record that the prompt was sent, and when its event is expected."""
        now = self.clock()
        speeds = self.placement.speeds
        tokens = self.engine.reading + self.engine.remote_load.reading
        self.reading = speeds.start_read(
            self.service, self.engine.ident, tokens, now
        )
        token_s = speeds.token_s(self.service, self.objective, now)
        self.reading.expected_s = tokens * token_s
        slowness = self.placement.slowness(self.service, now, token_s)
        self.expected_first_event_s = (
            tokens * token_s * slowness.get(self.engine.ident, 1.0)
        )

    def timeout_s(self, elsewhere_s: float) -> float:
        """Return the time after which the prompt is sent to another engine.

        :param elsewhere_s: time until another engine would have read it.
        """
        timeout_s = decisions.first_event_timeout_s(
            self.expected_first_event_s, elsewhere_s
        )
        if self.service in self.placement.server_speeds.services:
            timeout_s += SLOW_PACE_ALLOWANCE_S
        return timeout_s

    def finish(self) -> None:
        """Record that the first event has arrived."""
        if self.reading is not None:
            now = self.clock()
            sample = self.placement.speeds.record_read(
                self.reading, self.objective, now
            )
            self._record(sample, now)
            self.reading = None
            if self.ordered:
                self.placement.speeds.record_prompt(
                    self.service, self.objective.tokens, now
                )

    def discard(self) -> None:
        """Stop measuring: the engine was silent, which isn't its speed."""
        if self.reading is not None:
            self.placement.speeds.cancel_read(self.reading)
            self.reading = None

    def cancel(self) -> None:
        """Stop waiting for the first event.

        A read that took longer than expected shows that the engine is at
        least as slow. Without this sample, an engine of which no read is
        awaited to its end would never count as slow.
        """
        if self.reading is not None:
            now = self.clock()
            sample = self.reading.late_sample(now)
            if sample is not None:
                self._record(sample, now)
            self.placement.speeds.cancel_read(self.reading)
            self.reading = None

    def _record(self, sample: messages.SpeedSample, now: float) -> None:
        self.placement.server_speeds.record_read(
            self.service, self.engine.ident, sample, now
        )
