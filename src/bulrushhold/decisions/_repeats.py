"""A budget of repeated requests, shared by all entries without talk.

While backend servers fail, each repeat adds to the load of those that
are left. Each entry keeps its own part of what all may send: a share of
its own requests, which add up over entries by themselves, and an equal
part of a fixed allowance for quiet services.
"""

import collections
import typing as t

# Clocks and windows of entries differ a little, and requests that clients
# send to an entry that is just being lost count nowhere.
MARGIN: t.Final = 0.8


class RepeatBudget:
    """Repeats per service over a sliding window.

    :param ratio: repeats for each first sending.
    :param allowance: repeats in a window besides, of all entries.
    :param window_s: seconds.
    """

    def __init__(
        self, ratio: float, allowance: float, window_s: float
    ) -> None:
        self.ratio = ratio
        self.allowance = allowance
        self.window_s = window_s
        self.entries = 1
        self.firsts: dict[str, collections.deque[float]] = {}
        self.repeats: dict[str, collections.deque[float]] = {}

    def first(self, service: str, now: float) -> None:
        """Count a request that a caller sent for the service."""
        self._recent(self.firsts, service, now).append(now)

    def take(self, service: str, now: float) -> bool:
        """Whether one more repeat may be sent; it is then counted."""
        firsts = len(self._recent(self.firsts, service, now))
        repeats = self._recent(self.repeats, service, now)
        most = self.ratio * firsts + self.allowance / max(1, self.entries)
        if len(repeats) + 1 > most * MARGIN:
            return False
        repeats.append(now)
        return True

    def _recent(
        self,
        counts: dict[str, collections.deque[float]],
        service: str,
        now: float,
    ) -> collections.deque[float]:
        times = counts.setdefault(service, collections.deque())
        while times and now - times[0] > self.window_s:
            times.popleft()
        return times
