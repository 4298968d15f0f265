"""The silence of the engine that runs a stream."""

import typing as t

from bulrushhold import decisions
from bulrushhold.forwarding import _context
from bulrushhold.forwarding import _pausemonitor
from bulrushhold.forwarding import _promptread
from bulrushhold.forwarding import _runevidence


class EngineSilence:
    """Whether the engine of a run is silent, and for how long it was.

    Silence is no speed: it is left out of all estimates.

    :ivar since: when the silence began; ``None`` if there is none.
    :ivar seconds: how long the engine was silent before.
    """

    def __init__(
        self,
        context: _context.ForwardingContext,
        job: _context.Job,
        engine: decisions.BackendServer,
        read_monitor: _promptread.ReadMonitor,
        pauses: _pausemonitor.PauseMonitor,
        evidence: _runevidence.RunEvidence,
    ) -> None:
        self.context = context
        self.job = job
        self.engine = engine
        self.read_monitor = read_monitor
        self.pauses = pauses
        self.evidence = evidence
        self.since: float | None = None
        self.seconds = 0.0
        self.kept_for = ''

    def begin(self) -> None:
        """Record that the engine answers no probe."""
        if self.since is None:
            self.since = self.pauses.last_event_at
            self.context.placement.record_silence(
                self.engine.ident, self.context.clock()
            )
        self.read_monitor.discard()
        self.pauses.discard()
        self.evidence.discard_times()

    def end(self) -> None:
        """Record that the engine answers."""
        if self.since is not None:
            now = self.context.clock()
            self.seconds += now - self.since
            self.since = None
            self.kept_for = ''
            self.context.placement.record_answer(self.engine.ident, now)

    def log_kept(self, reason: str, **fields: t.Any) -> None:
        """Log why the engine isn't left, once for each reason."""
        if reason != self.kept_for:
            self.kept_for = reason
            self.context.metrics.count('engines.kept_silent')
            _context.log(
                self.job,
                'silent engine kept',
                engine=self.engine.ident,
                reason=reason,
                **fields,
            )
