"""Observes the pauses between a stream's events."""

import typing as t

from bulrushhold import decisions
from bulrushhold.forwarding import _liveness

# Pauses between events are reported in batches.
REPORT_INTERVAL_S: t.Final = 0.2
# Standard deviations above the mean pause: these cover most pauses, and nearly
# all of them (the latter as in RFC 6298).
TYPICAL_PAUSE_DEVIATIONS: t.Final = 1.5
LONG_PAUSE_DEVIATIONS: t.Final = 4.0


class PauseMonitor:
    """The pauses of one run, and the stall timeouts that follow from all.

    :param objective: of the stream.
    :param now: when the run was sent.
    :param slowness: of the engine. The pauses of a slow one are longer than
        those of all engines; it must not be left for that.
    :ivar stall_timeouts: as of the last report.
    """

    def __init__(
        self,
        speeds: decisions.EngineSpeeds,
        service: str,
        objective: decisions.LatencyObjective,
        now: float,
        slowness: float = 1.0,
    ) -> None:
        self.slowness = max(1.0, slowness)
        self.speeds = speeds
        self.service = service
        self.objective = objective
        self.last_event_at = now
        self.was_silent = False
        self._begin_batch(now)

    def discard(self) -> None:
        """Leave out the present pause: the engine is silent, not slow."""
        self.was_silent = True

    def record_event(self, now: float, *, first: bool) -> None:
        """Record the arrival of events; before the first ones is no pause."""
        if self.was_silent:
            self.was_silent = False
        elif not first:
            self.samples.add(now - self.last_event_at)
            if now - self.reported_at > REPORT_INTERVAL_S:
                self.speeds.record_pauses(self.service, self.samples, now)
                self._begin_batch(now)
        self.last_event_at = now

    def _begin_batch(self, now: float) -> None:
        self.reported_at = now
        self.stall_timeouts = decisions.StallTimeouts(
            self._pause_s(now, TYPICAL_PAUSE_DEVIATIONS),
            self._pause_s(now, LONG_PAUSE_DEVIATIONS),
            self.objective.gap_s,
            _liveness.PROBE_TIMEOUT_S,
        )
        self.samples = decisions.PauseSamples(self.stall_timeouts.long_pause_s)

    def _pause_s(self, now: float, deviations: float) -> float:
        pause_s = self.speeds.pause_s(
            self.service, self.objective, now, deviations
        )
        return pause_s * self.slowness
