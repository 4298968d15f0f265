"""Stall timeouts: when to probe a stalled engine and when to abandon it.

An engine that fails a probe is abandoned at once. One that answers is only
busy, and resuming the stream elsewhere takes time and delays other streams.
So a stream waits up to twice the expected time of resuming it, which bounds
the total wait to a constant factor of the optimum (ski rental problem; Karlin
et al., Competitive snoopy caching, 1988). If all engines are slow, the
timeouts grow with them, so that failovers don't add to an overload.
"""

import typing as t

import attrs

MAX_WAIT_RATIO: t.Final = 2.0
# Share of the longest pause allowed; the rest is for activating the copy.
FAILOVER_GAP_SHARE: t.Final = 0.85
# Probing more often costs more than it detects.
MIN_PROBE_S: t.Final = 0.05


@attrs.frozen
class StallTimeouts:
    """Stall timeouts for one engine, in seconds.

    :param typical_pause_s: upper end of most pauses between its events.
    :param long_pause_s: upper end of nearly all pauses between its events.
    :param gap_s: longest pause allowed between events.
    :param probe_timeout_s: time after which an unanswered probe has failed.
    """

    typical_pause_s: float
    long_pause_s: float
    gap_s: float
    probe_timeout_s: float

    @property
    def probe_after_s(self) -> float:
        """Idle time after which the engine is probed.

        Early enough for the next event to come from another engine within
        the longest pause allowed, but not at every pause, which would keep
        engines busy with probes.
        """
        latest = self.gap_s - self.probe_timeout_s - self.long_pause_s
        return max(
            MIN_PROBE_S,
            min(self.long_pause_s, max(latest, self.typical_pause_s)),
        )

    def failover_timeout_s(self) -> float:
        """Return the idle time after which a stream resumes from its copy."""
        return max(
            MAX_WAIT_RATIO * self.long_pause_s,
            FAILOVER_GAP_SHARE * self.gap_s,
        )

    def reread_timeout_s(self, elsewhere_s: float) -> float:
        """Return the idle time after which another engine reads the prompt.

        :param elsewhere_s: time until another engine would have read it.
        """
        return max(self.failover_timeout_s(), MAX_WAIT_RATIO * elsewhere_s)


def first_event_timeout_s(here_s: float, elsewhere_s: float) -> float:
    """Return the timeout of the first event of a stream.

    :param here_s: time to the first event expected when the prompt was sent.
    :param elsewhere_s: time until another engine would have read it.
    """
    return MAX_WAIT_RATIO * max(here_s, elsewhere_s)
