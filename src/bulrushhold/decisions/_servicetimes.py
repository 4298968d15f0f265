"""Expected times at servers of plain services.

A server works on as many requests at once as it has slots, and queues the
others. Its expected time is the product of its own service time, of the time
that the queue takes relative to it, and of its pace.
"""

import collections.abc as cabc
import math
import typing as t

import attrs

# Weight of the newest sample in the moving average of service times.
SMOOTHING: t.Final = 0.1
# A service time returns to the mean of all servers with this half-life, so
# that a server which gets no requests is tried again.
HALF_LIFE_S: t.Final = 20.0
MIN_SERVICE_TIME_S: t.Final = 0.001
# Load reports hold the requests as of up to a second ago. The standard
# deviation of their number is that of a Poisson distribution.
MIN_DEVIATION: t.Final = 0.3


def queue_rounds(own: float, others: float, slots: int) -> float:
    """Return the expected time at a server, in its service times.

    :param own: requests of this entry there, known exactly.
    :param others: estimated requests of all other entries.
    """
    slots = max(1, slots)
    # Requests that have to end before a new one begins.
    ahead = own + others - slots + 1
    deviation = math.sqrt(max(MIN_DEVIATION, others))
    ratio = ahead / deviation
    density = math.exp(-ratio * ratio / 2) / math.sqrt(2 * math.pi)
    share = (1 + math.erf(ratio / math.sqrt(2))) / 2
    return 1 + (ahead * share + deviation * density) / slots


@attrs.define
class _Average:
    seconds: float
    updated_at: float


class ServiceTimes:
    """Service times of servers without their queues and paces."""

    def __init__(self) -> None:
        self.averages: dict[str, _Average] = {}

    def record(
        self, ident: str, latency_s: float, explained: float, now: float
    ) -> None:
        """Record an answered request.

        :param explained: factor of the latency that queue and pace explain.
        """
        sample = max(MIN_SERVICE_TIME_S, latency_s / explained)
        average = self.averages.get(ident)
        if average is None:
            self.averages[ident] = _Average(sample, now)
            return
        average.seconds += SMOOTHING * (sample - average.seconds)
        average.updated_at = now

    def estimates(
        self, idents: cabc.Sequence[str], now: float
    ) -> dict[str, float]:
        """Return the service times of servers of one service, in seconds."""
        known = [self.averages[i] for i in idents if i in self.averages]
        if not known:
            return dict.fromkeys(idents, MIN_SERVICE_TIME_S)
        mean = sum(average.seconds for average in known) / len(known)
        estimates = dict.fromkeys(idents, mean)
        for ident in idents:
            average = self.averages.get(ident)
            if average is not None:
                age_s = max(0.0, now - average.updated_at)
                share = 0.5 ** (age_s / HALF_LIFE_S)
                estimates[ident] = mean + (average.seconds - mean) * share
        return estimates

    def retain(self, idents: cabc.Set[str]) -> None:
        """Forget all servers but these."""
        self.averages = {
            i: average for i, average in self.averages.items() if i in idents
        }
